//! Starts and stops the entry role.

use {
    crate::{
        client::{SessionClient, Timing},
        clock::Clock,
        entry::{
            agent_links::AgentLinks,
            report::Reporter,
            server::{Audience, Server},
            state::State,
            traffic::Traffic,
        },
        http::{serve, serve_bounded},
        limits::Listener,
        telemetry::{Event as _, event},
    },
    bronzespool::core::{Center, Instance, Time, name::Cluster},
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

/// Time between failing the readiness check and refusing connections, so that the platform's load
/// balancer stops sending requests first.
const READINESS_PAUSE: Duration = Duration::from_millis(500);

/// Options of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Cluster that the entry belongs to.
    pub cluster: Cluster,
    /// Instance of this process.
    pub instance: Instance,
    /// Time within which a request's head, and then its body, must arrive.
    pub header_timeout: Duration,
    /// Data centre of this process.
    pub center: Center,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators; if absent, operators use the address for callers.
    pub operators: Option<SocketAddr>,
    /// Addresses of the hubs, the preferred one first.
    pub hubs: Vec<SocketAddr>,
    /// Intervals and timeouts of the session.
    pub timing: Timing,
    /// Longest wait for requests in flight at a graceful stop.
    pub grace: Duration,
}

/// Runs an entry until `stop` turns true, then until its requests in flight have ended or the grace
/// time has passed.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn run(
    options: Options,
    clock: Clock,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    let state = Rc::new(State {
        clock,
        cluster: options.cluster.clone(),
        header_timeout: options.header_timeout,
        instance: options.instance.clone(),
        view: RefCell::default(),
        agents: AgentLinks::new(clock),
        session_expiry: Cell::new(Time::ZERO),
        stopping: Cell::new(false),
        request_count: Cell::new(0),
        entry_id: fastrand::u64(..),
        reporter: Reporter::default(),
        traffic: RefCell::new(Traffic::new(options.center.clone(), fastrand::u64(..))),
        admission_wakeup: Notify::new(),
        admitting: Cell::new(false),
        view_changed: Notify::new(),
        session_client: RefCell::default(),
    });
    let session_client =
        SessionClient::new(clock, options.timing, &options.hubs, Rc::clone(&state));
    *state.session_client.borrow_mut() = Some(Rc::clone(&session_client));
    let session_task = spawn_local(Rc::clone(&session_client).run());
    state.start_traffic();
    spawn_local(Rc::clone(&state).run_reports());
    let (end, ended) = watch::channel(false);
    let audience = if options.operators.is_some() { Audience::Callers } else { Audience::Both };
    let server = Rc::new(Server { state: Rc::clone(&state), audience });
    let callers = spawn_local(serve(listener, server, options.header_timeout, ended.clone()));
    if let Some(address) = options.operators {
        let listener = TcpListener::bind(address).await?;
        let server = Rc::new(Server { state: Rc::clone(&state), audience: Audience::Operators });
        let bound = Listener::Local.bound();
        spawn_local(serve_bounded(listener, server, options.header_timeout, ended, bound));
    }
    event::RoleStarted { role: "entry", instance: options.instance.clone() }.emit();
    let _ = stop.wait_for(|s| *s).await;
    state.stopping.set(true);
    sleep(READINESS_PAUSE.min(options.grace)).await;
    let _ = end.send(true);
    if timeout(options.grace, callers).await.is_err() {
        event::GraceExceeded { role: "entry" }.emit();
    }
    session_client.close().await;
    session_task.abort();
    Ok(())
}
