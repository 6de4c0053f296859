//! The entry role: serves callers, reports readiness to load balancers, and relays calls.

use {
    super::{HEAD_TIMEOUT, ProcessOptions, Result, Signals, bind, new_leader_client, start_relay},
    crate::{
        batch::{LeaderClient, follow_seeds, ready::Readiness, watch_control},
        clock::Clock,
        http::{Handler, serve, serve_bounded},
        limits::Listener,
        telemetry::{Event, event},
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::watch,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time between reporting unready and refusing connections. Load balancers check once a second and
/// remove a process after two failed checks.
const DRAIN_PAUSE: Duration = Duration::from_millis(2_200);

/// Listen addresses of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For load balancers, which check there whether the process accepts new connections.
    pub ready: SocketAddr,
}

/// Serves callers until a signal asks the process to stop, then answers the requests already read.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn run_entry<C: Handler>(
    options: &ProcessOptions,
    clock: Clock,
    addresses: EntryAddresses,
    mut signals: Signals,
    callers: impl FnOnce(Rc<LeaderClient>) -> C,
) -> Result<()> {
    let leader_client = new_leader_client(options, clock);
    let is_ready = Rc::new(Cell::new(false));
    let (stop, stopped) = watch::channel(false);
    let (caller_listener, ready_listener) =
        (bind(addresses.callers).await?, bind(addresses.ready).await?);
    let handler = Rc::new(callers(Rc::clone(&leader_client)));
    let server = spawn_local(serve(caller_listener, handler, HEAD_TIMEOUT, stopped.clone()));
    let readiness = Rc::new(Readiness::new(Rc::clone(&is_ready)));
    let bound = Listener::Local.bound();
    spawn_local(serve_bounded(ready_listener, readiness, HEAD_TIMEOUT, stopped, bound));
    start_relay(options, &leader_client).await?;
    let watch =
        watch_control(Rc::clone(&leader_client), Some(options.advertised), Rc::clone(&is_ready));
    let watch_task = spawn_local(watch);
    let (seeds, load_seeds) = (options.seeds.clone(), options.load_seeds);
    spawn_local(follow_seeds(signals.reload, seeds, load_seeds, move |s| {
        leader_client.set_seeds(s);
    }));
    // A closed signal stream means stop as well.
    let _ = signals.stop.recv().await;
    event::StopAsked { role: "entry" }.emit();
    watch_task.abort();
    is_ready.set(false);
    sleep(DRAIN_PAUSE).await;
    let _ = stop.send(true);
    if timeout(options.grace.saturating_sub(DRAIN_PAUSE), server).await.is_err() {
        event::GraceExceeded { role: "entry" }.emit();
    }
    Ok(())
}
