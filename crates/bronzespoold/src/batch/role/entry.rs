//! An entry: callers, readiness, relays.

use {
    super::{Frame, HEAD_TIME, Result, Signals, bind, finder, start_relay},
    crate::{
        batch::{Finder, follow_seeds, ready::Readiness, watch_control},
        clock::Clock,
        http::{Handler, serve},
        telemetry::{Event, event},
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::watch,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time between failing readiness and refusing connections: balancers look once a second, and
/// leave out a process after two misses.
const READY_PAUSE: Duration = Duration::from_millis(2_200);

/// Addresses of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Gates {
    /// For callers.
    pub callers: SocketAddr,
    /// For balancers, which ask there whether the process takes new connections.
    pub ready: SocketAddr,
}

/// Serves callers until a signal asks to stop; then answers what has been read.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn run_entry<C: Handler>(
    frame: &Frame,
    clock: Clock,
    gates: Gates,
    mut signals: Signals,
    callers: impl FnOnce(Rc<Finder>) -> C,
) -> Result<()> {
    let finder = finder(frame, clock);
    let flag = Rc::new(Cell::new(false));
    let (stop, stopped) = watch::channel(false);
    let (front, ready) = (bind(gates.callers).await?, bind(gates.ready).await?);
    let handler = Rc::new(callers(Rc::clone(&finder)));
    let served = spawn_local(serve(front, handler, HEAD_TIME, stopped.clone()));
    let readiness = Rc::new(Readiness::new(Rc::clone(&flag)));
    spawn_local(serve(ready, readiness, HEAD_TIME, stopped));
    start_relay(frame, &finder).await?;
    let watched = watch_control(Rc::clone(&finder), Some(frame.own), Rc::clone(&flag));
    let pings = spawn_local(watched);
    let (known, reread) = (frame.seeds.clone(), frame.reread);
    spawn_local(follow_seeds(signals.reload, known, reread, move |s| finder.reseed(s)));
    // Either way the process is to stop.
    let _ = signals.stop.recv().await;
    event::StopAsked { role: "entry" }.emit();
    pings.abort();
    flag.set(false);
    sleep(READY_PAUSE).await;
    let _ = stop.send(true);
    if timeout(frame.grace.saturating_sub(READY_PAUSE), served).await.is_err() {
        event::GraceExceeded { role: "entry" }.emit();
    }
    Ok(())
}
