//! An entry: callers, readiness, relays.

use {
    super::{HEAD_TIMEOUT, ProcessOptions, Result, Signals, bind, new_leader_client, start_relay},
    crate::{
        batch::{LeaderClient, follow_seeds, ready::Readiness, watch_control},
        clock::Clock,
        http::{Handle, serve},
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
pub struct EntryAddresses {
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
pub async fn run_entry<C: Handle>(
    options: &ProcessOptions,
    clock: Clock,
    gates: EntryAddresses,
    mut signals: Signals,
    callers: impl FnOnce(Rc<LeaderClient>) -> C,
) -> Result<()> {
    let leader_client = new_leader_client(options, clock);
    let flag = Rc::new(Cell::new(false));
    let (stop, stopped) = watch::channel(false);
    let (front, ready) = (bind(gates.callers).await?, bind(gates.ready).await?);
    let handler = Rc::new(callers(Rc::clone(&leader_client)));
    let served = spawn_local(serve(front, handler, HEAD_TIMEOUT, stopped.clone()));
    let readiness = Rc::new(Readiness::new(Rc::clone(&flag)));
    spawn_local(serve(ready, readiness, HEAD_TIMEOUT, stopped));
    start_relay(options, &leader_client).await?;
    let watched =
        watch_control(Rc::clone(&leader_client), Some(options.advertised), Rc::clone(&flag));
    let pings = spawn_local(watched);
    let (known, load_seeds) = (options.seeds.clone(), options.load_seeds);
    spawn_local(follow_seeds(signals.reload, known, load_seeds, move |s| {
        leader_client.set_seeds(s)
    }));
    // Either way the process is to stop.
    let _ = signals.stop.recv().await;
    event::StopAsked { role: "entry" }.emit();
    pings.abort();
    flag.set(false);
    sleep(READY_PAUSE).await;
    let _ = stop.send(true);
    if timeout(options.grace.saturating_sub(READY_PAUSE), served).await.is_err() {
        event::GraceExceeded { role: "entry" }.emit();
    }
    Ok(())
}
