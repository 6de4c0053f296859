//! Starts and stops the agent.

use {
    crate::{
        agent::{
            endpoint::{Endpoint, IDLE_MAX},
            server::Server,
            state::State,
            tasks::Tasks,
            usage::Reporter,
            worker::Worker,
        },
        client::{Keeper, Timing},
        clock::Clock,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Capacity, Place, Service, Time, name::Cluster},
        flow::view::View,
        wire::{bronzespool_capnp::agent, serve::serve},
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{Notify, watch},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Pause between two looks at what still runs.
const IDLE_PAUSE: Duration = Duration::from_millis(20);

/// What an agent needs to know.
#[derive(Clone, Debug)]
pub struct Options {
    /// Cluster that it belongs to.
    pub cluster: Cluster,
    /// Where it stands.
    pub place: Place,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Address of the platform's worker interface.
    pub worker: Option<SocketAddr>,
    /// Services that the endpoint serves.
    pub services: Vec<Service>,
    /// What the endpoint offers.
    pub capacity: Capacity,
    /// Hubs, the preferred one first.
    pub hubs: Vec<SocketAddr>,
    /// Spans of the session.
    pub timing: Timing,
    /// Time between two usage reports of the worker.
    pub usage_interval: Duration,
    /// Longest wait for requests in flight at a graceful stop.
    pub grace: Duration,
}

/// Runs an agent until `stop` turns true and its requests in flight have ended.
///
/// # Errors
///
/// If its address cannot be bound.
pub async fn run(
    options: Options,
    clock: Clock,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    let state = Rc::new(state(&options, clock, listener.local_addr()?));
    let keeper = Keeper::new(clock, options.timing, &options.hubs, Rc::clone(&state));
    *state.keeper.borrow_mut() = Some(Rc::clone(&keeper));
    let server: agent::Client = capnp_rpc::new_client(Server { state: Rc::clone(&state) });
    let served = spawn_local(serve(listener, server));
    let kept = spawn_local(Rc::clone(&keeper).run());
    if let Some(address) = options.worker {
        let worker = Worker::new(address);
        spawn_local(Tasks::new(Rc::clone(&state), worker).run());
        spawn_local(Reporter::new(Rc::clone(&state), worker).run(options.usage_interval));
    }
    spawn_local(sweep(Rc::clone(&state)));
    event::RoleStarted { role: "agent", instance: state.instance().clone() }.emit();
    let _ = stop.wait_for(|s| *s).await;
    state.leave();
    finish(&state, options.grace).await;
    keeper.close().await;
    kept.abort();
    served.abort();
    Ok(())
}

fn state(options: &Options, clock: Clock, address: SocketAddr) -> State {
    State {
        clock,
        cluster: options.cluster.clone(),
        place: options.place.clone(),
        nonce: fastrand::u64(1..),
        address,
        endpoint: Endpoint::new(options.endpoint),
        services: options.services.clone(),
        capacity: options.capacity,
        view: RefCell::new(View::default()),
        admission: RefCell::default(),
        until: Cell::new(Time::ZERO),
        leaving: Cell::new(false),
        reports: Cell::new(0),
        finished: Notify::new(),
        tasks: RefCell::default(),
        tasks_index: Cell::new(0),
        tasks_changed: Notify::new(),
        keeper: RefCell::default(),
    }
}

/// Closes idle connections to the endpoint also while no request arrives.
async fn sweep(state: Rc<State>) {
    loop {
        sleep(IDLE_MAX).await;
        state.trim();
    }
}

/// Tells control that the endpoint is leaving and waits for what runs.
async fn finish(state: &Rc<State>, grace: Duration) {
    let call = bronzespool::wire::message::Call::Drain {
        instance: state.instance().clone(),
        leaving: true,
    };
    if let Some(keeper) = state.keeper()
        && let Err(refusal) = keeper.call(&call, grace.min(Duration::from_secs(2))).await
    {
        event::DrainReportFailed { refusal: refusal.to_string() }.emit();
    }
    let idle = async {
        while state.busy() {
            sleep(IDLE_PAUSE).await;
        }
    };
    if timeout(grace, idle).await.is_err() {
        event::GraceExceeded { role: "agent" }.emit();
    }
}
