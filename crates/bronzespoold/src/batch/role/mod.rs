//! Roles of a process behind an adapter: what each starts, and how it stops.

mod agent;
mod command;
mod control;
mod entry;

pub use {
    agent::run_agent,
    command::Program,
    control::run_control,
    entry::{EntryAddresses, run_entry},
};

use {
    crate::{
        batch::{LeaderClient, serve_relay},
        clock::Clock,
        http::{Answer, Handle, serve, text},
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

/// Longest time in which a request's head must arrive.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of running a role.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a role has ended, or was not started.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// cannot listen to signals: {0}
    Signal(std::io::Error),
    /// cannot start the runtime: {0}
    Runtime(std::io::Error),
    /// cannot start logging: {0}
    Logs(flexi_logger::FlexiLoggerError),
    /// cannot start metrics: {0}
    Metrics(telemetry::BuildError),
    /// the command line cannot be read: {0}
    Arguments(pico_args::Error),
    /// argument {0} is not known: try --help
    Argument(String),
    /// {0}
    Settings(String),
    /// the machine's name cannot be used: {0}
    Name(bronzespool::core::name::Error),
    /// the process's address cannot be used as a name
    Address,
    /// control: {0}
    Control(crate::control::Error),
}

impl std::error::Error for Error {}

/// What every role needs to know.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Instance of this process.
    pub instance: Instance,
    /// What it does, for the log.
    pub role: String,
    /// Port for metrics.
    pub metrics: Option<u16>,
    /// Address at which other processes reach this one.
    pub advertised: SocketAddr,
    /// Address at which it listens to them.
    pub listen: SocketAddr,
    /// Control instances to begin with, perhaps stale.
    pub seeds: Vec<SocketAddr>,
    /// Reads the seeds again.
    pub load_seeds: fn() -> std::result::Result<Vec<SocketAddr>, String>,
    /// Time between the request to stop and the kill.
    pub grace: Duration,
}

impl ProcessOptions {
    /// Serves metrics and runs the role; tells its start and its end.
    ///
    /// # Errors
    ///
    /// Whatever ends the role.
    pub async fn run<F: Future<Output = Result<()>>>(
        self,
        role: impl FnOnce(Self, Clock, Signals) -> F,
    ) -> Result<()> {
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

/// Signals that a process listens to from its start: unheard, each would end it.
#[derive(Debug)]
pub struct Signals {
    /// Asks the process to stop.
    stop: Signal,
    /// Tells that the settings have changed.
    reload: Signal,
}

impl Signals {
    fn listen() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(Error::Signal);
        Ok(Self { stop: listen(SignalKind::terminate())?, reload: listen(SignalKind::hangup())? })
    }
}

/// Binds an address.
async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| Error::Listen(address, e))
}

/// Passes on calls of processes that cannot reach control.
async fn start_relay(options: &ProcessOptions, leader_client: &Rc<LeaderClient>) -> Result<()> {
    let listener = bind(options.listen).await?;
    spawn_local(serve_relay(listener, Rc::clone(leader_client)));
    let leader_client = Rc::clone(leader_client);
    spawn_local(async move { leader_client.run_refresh().await });
    Ok(())
}

/// Serves the metrics of this process.
struct Exposed;

impl Handle for Exposed {
    async fn handle(self: Rc<Self>, _: Request<Incoming>) -> Answer {
        text(200, telemetry::render())
    }
}

/// Serves the metrics at an address for as long as the process lives.
async fn serve_metrics(address: SocketAddr) -> Result<()> {
    let listener = bind(address).await?;
    let (open, closed) = watch::channel(false);
    spawn_local(async move {
        serve(listener, Rc::new(Exposed), HEAD_TIMEOUT, closed).await;
        drop(open);
    });
    spawn_local(telemetry::run_upkeep());
    Ok(())
}

/// A leader client that begins with the seeds of the options.
fn new_leader_client(options: &ProcessOptions, clock: Clock) -> Rc<LeaderClient> {
    Rc::new(LeaderClient::new(clock, options.seeds.clone()))
}
