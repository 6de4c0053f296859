//! Roles of an adapter's process: what each role starts, and how it stops.

mod agent;
mod command;
mod control;
mod entry;

pub use {
    agent::run_agent,
    command::{Program, RoleFlags},
    control::{ControlOptions, run_control},
    entry::{EntryAddresses, run_entry},
};

use {
    crate::{
        batch::{LeaderClient, serve_relay},
        clock::Clock,
        http::{FullResponse, Handler, serve_bounded, text_response},
        limits::Listener,
        memory,
        telemetry::{self, Event, event},
    },
    bronzespool::core::Instance,
    displaydoc::Display,
    hyper::{Request, body::Incoming},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        task::spawn_local,
    },
};

/// Time within which the head of an HTTP request must arrive.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of running a role.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a role has ended, or was not started.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// cannot register a signal handler: {0}
    Signal(std::io::Error),
    /// cannot start the runtime: {0}
    Runtime(std::io::Error),
    /// cannot start logging: {0}
    Logs(flexi_logger::FlexiLoggerError),
    /// cannot start metrics: {0}
    Metrics(telemetry::BuildError),
    /// the command line is not valid: {0}
    Arguments(pico_args::Error),
    /// unknown argument {0}: try --help
    Argument(String),
    /// {0}
    Settings(String),
    /// the machine's name is not a valid instance name: {0}
    Name(bronzespool::core::name::Error),
    /// no instance name can be made from the process's address
    Address,
    /// control: {0}
    Control(crate::control::Error),
}

impl std::error::Error for Error {}

/// Options of a process that all roles share.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Instance of this process.
    pub instance: Instance,
    /// Role of the process, for the log.
    pub role: String,
    /// Port for metrics.
    pub metrics: Option<u16>,
    /// Address at which other processes reach this one.
    pub advertised: SocketAddr,
    /// Address on which the process listens for them.
    pub listen: SocketAddr,
    /// Addresses of a few control instances, some of which may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Reads the seeds from the settings again.
    pub load_seeds: fn() -> std::result::Result<Vec<SocketAddr>, String>,
    /// Time between the signal to stop and the forced kill.
    pub grace: Duration,
    /// Memory of the process in bytes.
    pub memory: u64,
}

impl ProcessOptions {
    /// Serves metrics and runs the role; logs its start and its end.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound, a signal handler cannot be registered or the role fails.
    pub async fn run<F: Future<Output = Result<()>>>(
        self,
        role: impl FnOnce(Self, Clock, Signals) -> F,
    ) -> Result<()> {
        memory::set(self.memory);
        let clock = Clock::start();
        if let Some(port) = self.metrics {
            serve_metrics(SocketAddr::new(self.listen.ip(), port)).await?;
        }
        event::ProcessStarts {
            instance: self.instance.to_string(),
            role: self.role.clone(),
            seeds: self.seeds.clone(),
        }
        .emit();
        let signals = Signals::listen()?;
        let result = role(self, clock, signals).await;
        let error = result.as_ref().err().map(ToString::to_string);
        event::ProcessStops { error }.emit();
        result
    }
}

/// Signals that the process handles from its start. Without a handler, each would end the process.
#[derive(Debug)]
pub struct Signals {
    /// Asks the process to stop.
    stop: Signal,
    /// Says that the settings have changed.
    reload: Signal,
}

impl Signals {
    fn listen() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(Error::Signal);
        Ok(Self { stop: listen(SignalKind::terminate())?, reload: listen(SignalKind::hangup())? })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| Error::Listen(address, e))
}

/// Starts the relay for processes that cannot reach control, and the refresh of the leader client.
async fn start_relay(options: &ProcessOptions, leader_client: &Rc<LeaderClient>) -> Result<()> {
    let listener = bind(options.listen).await?;
    spawn_local(serve_relay(listener, Rc::clone(leader_client)));
    let leader_client = Rc::clone(leader_client);
    spawn_local(async move { leader_client.run_refresh().await });
    Ok(())
}

/// HTTP handler that returns the metrics of this process.
struct MetricsHandler;

impl Handler for MetricsHandler {
    async fn handle(self: Rc<Self>, _: Request<Incoming>) -> FullResponse {
        text_response(200, telemetry::render())
    }
}

/// Starts to serve the metrics at an address until the process ends.
async fn serve_metrics(address: SocketAddr) -> Result<()> {
    let listener = bind(address).await?;
    let (stop, stopped) = watch::channel(false);
    spawn_local(async move {
        let bound = Listener::Local.bound();
        serve_bounded(listener, Rc::new(MetricsHandler), HEAD_TIMEOUT, stopped, bound).await;
        drop(stop);
    });
    spawn_local(telemetry::run_upkeep());
    Ok(())
}

/// Creates a leader client with the seeds of the options.
fn new_leader_client(options: &ProcessOptions, clock: Clock) -> Rc<LeaderClient> {
    Rc::new(LeaderClient::new(clock, options.seeds.clone()))
}
