//! Checked configuration: services, their kinds and their teams' guarantees.

use {
    crate::{
        name::{Kind, Service, Team},
        shape::{Level, Shape},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// All services in force, with the revision that put them there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Number of the change that made this state; rises by one a change.
    pub revision: u64,
    /// Services by name.
    pub services: BTreeMap<Service, ServiceSpec>,
}

impl Config {
    /// The kind `kind` of `service`, if both are known.
    pub fn kind(&self, service: &Service, kind: &Kind) -> Option<&KindSpec> {
        self.services.get(service)?.kinds.get(kind)
    }
}

/// What one service file declares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Service,
    /// How this service weighs the two measures.
    pub weights: Weights,
    /// Kinds of requests and jobs.
    pub kinds: BTreeMap<Kind, KindSpec>,
    /// Teams that may call, with what they are promised.
    pub teams: BTreeMap<Team, TeamSpec>,
}

/// Weights of the two measures in placement; they need not add up to one.
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
    /// Answered in one exchange by an endpoint.
    Request,
    /// Accepted, queued, run as a gang of tasks on workers.
    Job,
}

/// What a kind is and needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// Request or job.
    pub mode: Mode,
    /// Not idempotent: runs at most once for each key.
    pub protected: bool,
    /// Time allowed for a request when the caller names none.
    pub deadline: Duration,
    /// Largest request body in bytes.
    pub body: u64,
    /// What one request, or one member of the gang, needs.
    pub need: Need,
    /// Members of the gang, at least one.
    pub gang: u32,
    /// Smallest level within which all members must lie.
    pub adjacent: Level,
    /// Declared run time of a job.
    pub runtime: Duration,
    /// Longest time between two checkpoints, if the job makes any.
    pub checkpoint: Option<Duration>,
    /// May be started again from its beginning after a stop.
    pub restart: bool,
    /// Service-level target.
    pub target: Target,
}

impl KindSpec {
    /// Whether a running job of this kind may be stopped for another one.
    pub const fn preemptible(&self) -> bool {
        !self.protected && (self.checkpoint.is_some() || self.restart)
    }
}

/// What one request or one gang member needs of its instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Slots.
    pub slots: u32,
    /// Thousandths of a processor core.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Adjacent accelerators: zero or a power of two up to 64.
    pub accels: u32,
}

/// Service-level target of a kind: a share of answers within a time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Share of requests that must be good, between 0 and 1.
    pub share: f64,
    /// Time within which a good answer arrives.
    pub within: Duration,
}

/// What a team is promised and allowed at one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// Guaranteed shapes.
    pub guarantees: Vec<Shape>,
    /// Requests a second over all entries.
    pub rate: u32,
    /// Requests in flight over all entries.
    pub inflight: u32,
}
