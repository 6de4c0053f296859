//! Validated configuration: services, their kinds, and the guarantees and limits of their teams.

use {
    crate::{
        name::{Kind, Service, Team},
        shape::{Level, Shape},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// All services in force, with the revision of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Number of the last applied change; each change increments it by one.
    pub revision: u64,
    /// Services by name.
    pub services: BTreeMap<Service, ServiceSpec>,
}

impl Config {
    /// The kind `kind` of `service`, or `None` if either is unknown.
    pub fn kind(&self, service: &Service, kind: &Kind) -> Option<&KindSpec> {
        self.services.get(service)?.kinds.get(kind)
    }
}

/// A service, as declared by one service file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Service,
    /// Weights of completion time and fragmentation in placement.
    pub weights: Weights,
    /// Kinds of requests and jobs by name.
    pub kinds: BTreeMap<Kind, KindSpec>,
    /// Teams that may call the service, with their guarantees and limits.
    pub teams: BTreeMap<Team, TeamSpec>,
}

/// Weights of the two placement objectives; they need not add up to one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of completion time.
    pub completion: f64,
    /// Weight of fragmentation.
    pub fragmentation: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { completion: 1.0, fragmentation: 1.0 }
    }
}

/// How a kind is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// An endpoint answers it in one HTTP exchange.
    Request,
    /// Accepted, queued and run as a gang of tasks on workers.
    Job,
}

/// Properties and resource needs of a kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// Request or job.
    pub mode: Mode,
    /// Not idempotent: runs at most once per idempotency key.
    pub protected: bool,
    /// Deadline of a request when the caller sets none.
    pub deadline: Duration,
    /// Maximum size of a request body in bytes.
    pub body: u64,
    /// Resources that one request, or one member of the gang, needs.
    pub need: Need,
    /// Members of the gang, at least one.
    pub gang: u32,
    /// Level of the topology of which one cell must hold all members.
    pub adjacent: Level,
    /// Declared run time of a job.
    pub runtime: Duration,
    /// Longest time between two checkpoints, if the job writes any.
    pub checkpoint: Option<Duration>,
    /// Whether a stopped job may be restarted from its beginning.
    pub restart: bool,
    /// Service-level objective.
    pub target: Target,
}

impl KindSpec {
    /// Whether a running job of this kind may be preempted.
    pub const fn preemptible(&self) -> bool {
        !self.protected && (self.checkpoint.is_some() || self.restart)
    }
}

/// Resources that one request or one gang member needs on its instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Request slots.
    pub slots: u32,
    /// Thousandths of a processor core.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Adjacent accelerators: zero or a power of two up to 64.
    pub accels: u32,
}

/// Service-level objective of a kind: a share of requests that get a good answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Share of requests that must be good, between 0 and 1.
    pub share: f64,
    /// Time within which a good answer arrives.
    pub within: Duration,
}

/// Guarantees and limits of a team at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// Guaranteed shapes.
    pub guarantees: Vec<Shape>,
    /// Requests per second over all entries.
    pub rate: u32,
    /// Requests in flight over all entries.
    pub inflight: u32,
}
