//! Starts the agent, and drains and stops it.

use {
    crate::{
        agent::{
            endpoint::{Endpoint, IDLE_TIME_MAX},
            reconciler::TaskReconciler,
            server::Server,
            state::State,
            usage::UsageReporter,
            worker::Worker,
        },
        client::{SessionClient, Timing},
        clock::Clock,
        limits::Listener,
        memory,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Capacity, Code, Place, Refusal, Service, Time, name::Cluster},
        flow::view::View,
        wire::{bronzespool_capnp::agent, message::Call, serve::serve_within},
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

/// Interval between two checks for running requests while the agent drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for control to record that the agent drains.
const DRAIN_REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for control to record that the agent has left, enough for a change of its leader.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of an agent.
#[derive(Clone, Debug)]
pub struct Options {
    /// Cluster that the agent belongs to.
    pub cluster: Cluster,
    /// Region, data centre, rack and instance of the agent.
    pub place: Place,
    /// Address to listen on for calls of entries.
    pub listen: SocketAddr,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Address of the platform's worker interface, if the instance runs tasks.
    pub worker: Option<SocketAddr>,
    /// Services that the endpoint serves.
    pub services: Vec<Service>,
    /// Capacity of the endpoint.
    pub capacity: Capacity,
    /// Addresses of the hubs, the preferred one first.
    pub hubs: Vec<SocketAddr>,
    /// Intervals of the session with a hub.
    pub timing: Timing,
    /// Interval at which the worker's usage is read and reported.
    pub usage_interval: Duration,
    /// Longest wait for requests in flight during a graceful stop.
    pub grace: Duration,
}

/// Runs an agent until `stop` turns true, then drains its requests in flight.
///
/// # Errors
///
/// If the listen address cannot be bound.
pub async fn run(
    options: Options,
    clock: Clock,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    let state = Rc::new(new_state(&options, clock, listener.local_addr()?));
    let session_client =
        SessionClient::new(clock, options.timing, &options.hubs, Rc::clone(&state));
    *state.session_client.borrow_mut() = Some(Rc::clone(&session_client));
    let server: agent::Client = capnp_rpc::new_client(Server { state: Rc::clone(&state) });
    let server_task = spawn_local(serve_within(
        listener,
        server,
        Listener::Peers.admission(),
        memory::inbound_budget(),
    ));
    let session_task = spawn_local(Rc::clone(&session_client).run());
    if let Some(address) = options.worker {
        let worker = Worker::new(address);
        spawn_local(TaskReconciler::new(Rc::clone(&state), worker).run());
        spawn_local(UsageReporter::new(Rc::clone(&state), worker).run(options.usage_interval));
    }
    spawn_local(run_trim(Rc::clone(&state)));
    event::RoleStarted { role: "agent", instance: state.instance().clone() }.emit();
    let _ = stop.wait_for(|s| *s).await;
    state.start_draining();
    drain(&state, options.grace).await;
    leave(&state, options.grace).await;
    session_client.close().await;
    session_task.abort();
    server_task.abort();
    Ok(())
}

fn new_state(options: &Options, clock: Clock, address: SocketAddr) -> State {
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
        session_end: Cell::new(Time::ZERO),
        leaving: Cell::new(false),
        center_drained: Cell::new(false),
        open_reports: Cell::new(0),
        lost_reports: Cell::new(0),
        attempt_finished: Notify::new(),
        tasks: RefCell::default(),
        tasks_index: Cell::new(0),
        tasks_changed: Notify::new(),
        session_client: RefCell::default(),
    }
}

/// Closes expired idle connections to the endpoint periodically, since otherwise only the arrival
/// of a request does.
async fn run_trim(state: Rc<State>) {
    loop {
        sleep(IDLE_TIME_MAX).await;
        state.trim_connections();
    }
}

/// Tells control that the endpoint is leaving and waits until no request is running and all
/// outcomes are reported, for at most `grace`.
async fn drain(state: &Rc<State>, grace: Duration) {
    if let Err(refusal) = report_drain(state, grace.min(DRAIN_REPORT_TIMEOUT)).await {
        event::DrainReportFailed { refusal: refusal.to_string() }.emit();
    }
    let idle = async {
        while state.is_busy() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    if timeout(grace, idle).await.is_err() {
        event::GraceExceeded { role: "agent" }.emit();
    }
}

/// Tells control that this incarnation drains. Without an incarnation there is nothing to tell: a
/// session that is opened from now on announces the agent as leaving.
async fn report_drain(state: &State, limit: Duration) -> Result<(), Refusal> {
    let (Some(session_client), Some(incarnation)) = (state.session_client(), state.incarnation())
    else {
        return Ok(());
    };
    session_client.call(&Call::DrainIncarnation(incarnation), limit).await?;
    Ok(())
}

/// Tells control that no attempt of this incarnation will start any more, so that control releases
/// the claims whose requests were refused here or have not arrived. Without that, the agent's next
/// start would seal them.
async fn leave(state: &State, grace: Duration) {
    let Some(session_client) = state.session_client() else {
        return;
    };
    let left = match state.settled_incarnation() {
        Some(incarnation) => {
            session_client.call(&Call::Leave(incarnation), grace.min(LEAVE_TIMEOUT)).await
        }
        None => Err(Code::InProgress.into()),
    };
    if let Err(refusal) = left {
        event::LeaveReportFailed { refusal: refusal.to_string() }.emit();
    }
}
