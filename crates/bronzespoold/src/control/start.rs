//! Starts and stops a control instance.

use {
    crate::{
        clock::Clock,
        control::{
            addresses::{Addresses, named},
            hub::{Hub, PUSH_TIME, Spans},
            leader::Leader,
            peers::Peers,
            replica::Replica,
            server::{Node, Server},
            storage::Writer,
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        consensus::{self, FileStorage, Settings, Storage},
        core::{Code, Instance, Shape, name::Cluster},
        flow::claim::Retention,
        wire::{bronzespool_capnp::control, serve::serve},
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

/// Why a control instance has ended.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// the replicated log has failed: {0}
    Log(consensus::Error),
    /// the data folder cannot be emptied: {0}
    Clear(std::io::Error),
}

impl std::error::Error for Error {}

/// What a control instance needs to know.
#[derive(Clone, Debug)]
pub struct Options {
    /// Cluster that it belongs to.
    pub cluster: Cluster,
    /// Instance of this process.
    pub instance: Instance,
    /// Address for all other processes.
    pub listen: SocketAddr,
    /// All control instances of the first start.
    pub peers: Vec<(Instance, SocketAddr)>,
    /// Whether this instance may found the cluster with the peers.
    pub founder: bool,
    /// Whether instances that no setting names may join, by names from [`super::named`].
    pub open: bool,
    /// Folder of the log.
    pub data: PathBuf,
    /// Capacity that guarantees leave free.
    pub reserve: Option<Shape>,
    /// Time between two messages of the leader.
    pub heartbeat: Duration,
    /// Shortest silence of the leader before an election.
    pub election: Duration,
    /// Lease of a session.
    pub session: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Time for which answers to protected requests are kept.
    pub answers: Duration,
    /// Time for which used keys are refused.
    pub horizon: Duration,
}

impl Options {
    /// Options of an instance that knows the others by their addresses alone; `None` if an address
    /// makes no name. It listens at its own address and founds nothing unless told otherwise.
    pub fn found_by_address(own: SocketAddr, seeds: &[SocketAddr], data: PathBuf) -> Option<Self> {
        const ELECTION: Duration = Duration::from_millis(700);
        const HEARTBEAT: Duration = Duration::from_millis(120);
        const SESSION: Duration = Duration::from_millis(1_000);
        const RENEW: Duration = Duration::from_millis(300);
        const DAY: Duration = Duration::from_secs(86_400);
        let known = |a: SocketAddr| named(a).map(|n| (n, a));
        let joins = (!seeds.contains(&own)).then_some(own);
        Some(Self {
            cluster: Cluster::try_from("open").ok()?,
            instance: named(own)?,
            listen: own,
            peers: seeds.iter().copied().chain(joins).map(known).collect::<Option<_>>()?,
            founder: false,
            open: true,
            data,
            reserve: None,
            heartbeat: HEARTBEAT,
            election: ELECTION,
            session: SESSION,
            renew: RENEW,
            answers: DAY,
            horizon: DAY,
        })
    }

    /// Whether it may found the cluster with its peers.
    #[must_use]
    pub const fn founder(mut self, founder: bool) -> Self {
        self.founder = founder;
        self
    }

    /// Listens elsewhere than at the address that others know, as behind a proxy.
    #[must_use]
    pub const fn listen(mut self, address: SocketAddr) -> Self {
        self.listen = address;
        self
    }
}

/// Share of the election time in which a leader answers reads alone.
const LEASE_PERCENT: u32 = 80;
/// Share of a session's lease that is added before it counts as ended.
const MARGIN_PERCENT: u32 = 10;

/// Runs a control instance until `stop` turns true.
///
/// # Errors
///
/// If its address cannot be bound or its log fails.
pub async fn run(options: Options, clock: Clock, mut stop: watch::Receiver<bool>) -> Result<()> {
    let listener =
        TcpListener::bind(options.listen).await.map_err(|e| Error::Listen(options.listen, e))?;
    let mut storage = FileStorage::open(&options.data).map_err(Error::Log)?;
    let restored = storage.load().map_err(Error::Log)?;
    let log = consensus::Node::open(settings(&options), restored, clock.now());
    let replica = Replica::new(clock, log.map_err(Error::Log)?, session_span(&options));
    let node = node(&options, clock, Rc::clone(&replica));
    let addresses = Addresses::new(&options.peers);
    let peers = Peers::new(&options.instance, addresses, options.election / 2);
    let server: control::Client = capnp_rpc::new_client(Server(Rc::clone(&node)));
    let served = spawn_local(serve(listener, server));
    spawn_local(Rc::clone(&node).run_progress());
    spawn_local(Rc::clone(&node.leader).run_scheduler());
    spawn_local(Rc::clone(&node.leader).run_rounds());
    spawn_local(Rc::clone(&node.leader).run_cancels());
    spawn_local(Rc::clone(&node.leader.batch).run());
    spawn_local(Rc::clone(&node.leader.batch).run_gauges());
    event::PartUp { role: "control", instance: options.instance.clone() }.tell();
    let planned = async {
        let _ = stop.wait_for(|s| *s).await;
        node.stopping.set(true);
        replica.hand_over().await;
    };
    tokio::select! {
        error = Rc::clone(&replica).run(Writer::start(storage), peers, options.open) => {
            if error.code() == Code::ReplicaUnknown {
                clear(&options.data).map_err(Error::Clear)?;
            }
            return Err(Error::Log(error));
        }
        () = planned => {}
    }
    served.abort();
    Ok(())
}

/// Empties the folder of an identity that was left out of the set, so that the next start joins
/// as a new one.
fn clear(data: &Path) -> std::io::Result<()> {
    event::LeftOut { data: data.display().to_string() }.tell();
    for entry in std::fs::read_dir(data)? {
        std::fs::remove_file(entry?.path())?;
    }
    std::fs::File::open(data)?.sync_all()
}

/// Longest time from a decision to the end of the session of an agent that does not hear of it: a
/// push without an answer, a whole session and the drift of the clocks.
fn session_span(options: &Options) -> Duration {
    (options.session + PUSH_TIME) * (100 + MARGIN_PERCENT) / 100
}

fn settings(options: &Options) -> Settings {
    let names = options.peers.iter().map(|(name, _)| name.clone()).collect();
    let mut settings = Settings::new(options.instance.clone(), names, fastrand::u64(..));
    settings.may_bootstrap = options.founder;
    settings.allow_unlisted = options.open;
    settings.election_timeout = options.election;
    settings.heartbeat_interval = options.heartbeat;
    settings.lease_duration = options.election * LEASE_PERCENT / 100;
    settings
}

fn node(options: &Options, clock: Clock, replica: Rc<Replica>) -> Rc<Node> {
    let margin = options.session * MARGIN_PERCENT / 100;
    let spans = Spans { lease: options.session, margin };
    let hub = Hub::new(
        clock,
        options.cluster.clone(),
        options.instance.clone(),
        spans,
        Rc::clone(&replica),
    );
    let horizon = Retention {
        record_time: options.answers,
        key_time: options.horizon,
        ..Retention::default()
    };
    let lease = options.session + margin;
    let leader = Leader::new(
        clock,
        Rc::clone(&replica),
        horizon,
        options.reserve,
        lease,
        options.instance.clone(),
    );
    Rc::new(Node {
        clock,
        replica,
        hub,
        leader,
        addresses: Addresses::new(&options.peers),
        links: RefCell::default(),
        period: options.renew / 2,
        stopping: Cell::new(false),
    })
}
