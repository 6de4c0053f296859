//! Starts and stops a control instance.

use {
    crate::{
        batch::PassedCalls,
        clock::Clock,
        control::{
            addresses::{Addresses, name_from_address},
            hub::{Hub, PUSH_TIMEOUT, SessionTiming},
            leader::Leader,
            replica::Replica,
            server::{ControlNode, Server},
            transport::Transport,
            writer::Writer,
        },
        limits::Listener,
        memory,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        consensus::{self, FileStorage, Settings, Storage},
        core::{Code, Instance, Shape, name::Cluster, settings::JobPolicy},
        flow::claim::Retention,
        wire::{bronzespool_capnp::control, serve::serve_within},
    },
    displaydoc::Display,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        path::{Path, PathBuf},
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::spawn_local},
};

/// Result of running a control instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a control instance has ended.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// the replicated log failed: {0}
    Log(consensus::Error),
    /// cannot empty the data folder: {0}
    Clear(consensus::Error),
}

impl std::error::Error for Error {}

/// Options of a control instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// Cluster that the instance belongs to.
    pub cluster: Cluster,
    /// Instance of this process.
    pub instance: Instance,
    /// Address to listen on for all other processes.
    pub listen: SocketAddr,
    /// Control instances that are known at the first start.
    pub peers: Vec<(Instance, SocketAddr)>,
    /// Whether this instance may bootstrap the cluster together with the peers.
    pub may_bootstrap: bool,
    /// Whether instances that are not in the settings may join, under names from
    /// [`super::name_from_address`].
    pub allow_unlisted: bool,
    /// Folder of the log.
    pub data_dir: PathBuf,
    /// Capacity that guarantees must leave free.
    pub reserve: Option<Shape>,
    /// How jobs of steps are scheduled.
    pub policy: JobPolicy,
    /// Interval between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Shortest silence of the leader before an election.
    pub election_timeout: Duration,
    /// Lease of a session.
    pub session_lease: Duration,
    /// Interval between two renewals of a session.
    pub renew_interval: Duration,
    /// Most sessions that are open here at once.
    pub sessions_max: usize,
    /// Time for which answers to protected requests are kept.
    pub answer_retention: Duration,
    /// Time for which used keys are refused.
    pub key_retention: Duration,
}

impl Options {
    /// Options of an instance that knows the other instances by their addresses only, or `None` if
    /// no instance name can be made from an address. The instance listens on its own address and
    /// does not bootstrap the cluster, unless the methods below change that.
    pub fn from_addresses(
        own: SocketAddr,
        seeds: &[SocketAddr],
        data_dir: PathBuf,
    ) -> Option<Self> {
        const ELECTION: Duration = Duration::from_millis(700);
        const HEARTBEAT: Duration = Duration::from_millis(120);
        const SESSION: Duration = Duration::from_millis(1_000);
        const RENEW: Duration = Duration::from_millis(300);
        const DAY: Duration = Duration::from_secs(86_400);
        let with_name = |a: SocketAddr| name_from_address(a).map(|n| (n, a));
        let joining = (!seeds.contains(&own)).then_some(own);
        Some(Self {
            cluster: Cluster::try_from("open").ok()?,
            instance: name_from_address(own)?,
            listen: own,
            peers: seeds.iter().copied().chain(joining).map(with_name).collect::<Option<_>>()?,
            may_bootstrap: false,
            allow_unlisted: true,
            data_dir,
            reserve: None,
            policy: JobPolicy::default(),
            heartbeat_interval: HEARTBEAT,
            election_timeout: ELECTION,
            session_lease: SESSION,
            renew_interval: RENEW,
            sessions_max: SESSIONS_MAX,
            answer_retention: DAY,
            key_retention: DAY,
        })
    }

    /// Sets whether the instance may bootstrap the cluster together with its peers.
    #[must_use]
    pub const fn may_bootstrap(mut self, may_bootstrap: bool) -> Self {
        self.may_bootstrap = may_bootstrap;
        self
    }

    /// Sets how jobs of steps are scheduled.
    #[must_use]
    pub const fn policy(mut self, policy: JobPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets an address to listen on that differs from the address that others use, as behind a
    /// proxy.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }
}

/// Most sessions of a control instance. If all other hubs are lost, it holds the sessions of 890
/// agents and of the entries; twice that leaves room for sessions that have not expired yet.
pub const SESSIONS_MAX: usize = 2_000;
/// Share of the election timeout for which the leader lease lasts. During the lease the leader
/// answers reads without contacting other replicas.
const READ_LEASE_PERCENT: u32 = 80;
/// Share of a session's lease that is added before the session counts as ended.
const LEASE_MARGIN_PERCENT: u32 = 10;

/// Runs a control instance until `stop` turns true.
///
/// # Errors
///
/// If its address cannot be bound or its log fails.
pub async fn run(options: Options, clock: Clock, mut stop: watch::Receiver<bool>) -> Result<()> {
    let listener =
        TcpListener::bind(options.listen).await.map_err(|e| Error::Listen(options.listen, e))?;
    let mut storage = FileStorage::open(&options.data_dir).map_err(Error::Log)?;
    let restored = storage.load().map_err(Error::Log)?;
    let log = consensus::Node::open(consensus_settings(&options), restored, clock.now());
    let replica = Replica::new(clock, log.map_err(Error::Log)?, session_timeout(&options));
    let node = build_node(&options, clock, Rc::clone(&replica));
    let addresses = Addresses::new(&options.peers);
    let transport = Transport::new(&options.instance, addresses, options.election_timeout / 2);
    let server: control::Client = capnp_rpc::new_client(Server(Rc::clone(&node)));
    let serving = spawn_local(serve_within(
        listener,
        server,
        Listener::Peers.admission(),
        memory::inbound_budget(),
    ));
    spawn_local(Rc::clone(&node).run_progress());
    spawn_local(Rc::clone(&node.leader).run_scheduler());
    spawn_local(Rc::clone(&node.leader).run_controllers());
    spawn_local(Rc::clone(&node.leader).run_cancels());
    spawn_local(Rc::clone(&node.leader.batch).run());
    spawn_local(Rc::clone(&node.leader.batch).run_gauges());
    spawn_local(Rc::clone(&node.leader.batch).run_estimates());
    event::RoleStarted { role: "control", instance: options.instance.clone() }.emit();
    let planned_stop = async {
        let _ = stop.wait_for(|s| *s).await;
        node.stopping.set(true);
        replica.transfer_leadership().await;
    };
    tokio::select! {
        error = Rc::clone(&replica)
            .run(Writer::start(storage), transport, options.allow_unlisted) =>
        {
            if error.code() == Code::ReplicaUnknown {
                clear_data_dir(&options.data_dir).map_err(Error::Clear)?;
            }
            return Err(Error::Log(error));
        }
        () = planned_stop => {}
    }
    serving.abort();
    Ok(())
}

/// Has the data folder of an identity that is no longer a member emptied, so that the next start
/// joins under a new identity.
fn clear_data_dir(data_dir: &Path) -> consensus::Result<()> {
    event::ReplicaRemoved { data: data_dir.display().to_string() }.emit();
    FileStorage::clear_at_next_open(data_dir)
}

/// Longest time from a decision to the end of the session of an agent that has not received it: an
/// unanswered push, a whole session lease and the clock drift.
fn session_timeout(options: &Options) -> Duration {
    (options.session_lease + PUSH_TIMEOUT) * (100 + LEASE_MARGIN_PERCENT) / 100
}

fn consensus_settings(options: &Options) -> Settings {
    let names = options.peers.iter().map(|(name, _)| name.clone()).collect();
    let mut settings = Settings::new(options.instance.clone(), names, fastrand::u64(..));
    settings.may_bootstrap = options.may_bootstrap;
    settings.allow_unlisted = options.allow_unlisted;
    settings.election_timeout = options.election_timeout;
    settings.heartbeat_interval = options.heartbeat_interval;
    settings.lease_duration = options.election_timeout * READ_LEASE_PERCENT / 100;
    settings
}

fn build_node(options: &Options, clock: Clock, replica: Rc<Replica>) -> Rc<ControlNode> {
    let margin = options.session_lease * LEASE_MARGIN_PERCENT / 100;
    let timing = SessionTiming { lease: options.session_lease, margin };
    let hub = Hub::new(
        clock,
        options.cluster.clone(),
        options.instance.clone(),
        timing,
        options.sessions_max,
        Rc::clone(&replica),
    );
    let retention = Retention {
        record_time: options.answer_retention,
        key_time: options.key_retention,
        ..Retention::default()
    };
    let lease = options.session_lease + margin;
    let leader = Leader::new(
        clock,
        Rc::clone(&replica),
        retention,
        options.reserve,
        lease,
        options.instance.clone(),
        options.policy,
    );
    Rc::new(ControlNode {
        clock,
        replica,
        hub,
        leader,
        addresses: Addresses::new(&options.peers),
        links: RefCell::default(),
        progress_interval: options.renew_interval / 2,
        stopping: Cell::new(false),
        passed: PassedCalls::default(),
    })
}
