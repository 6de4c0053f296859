//! Configuration of queues, services and teams. It is replaced as a whole by one with a higher
//! version.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Most queues of a configuration, and most services. The leader looks queues up one by one for
/// each call.
pub const QUEUES_MAX: usize = 2_000;
/// Most teams of a configuration; a deployment is designed for 350.
pub const TEAMS_MAX: usize = 2_000;
/// Most API keys of all teams together.
pub const KEYS_MAX: usize = 20_000;
/// Longest name, host, prefix or key in bytes.
pub const NAME_MAX_BYTES: usize = 1_000;

/// Result of checking a configuration.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a configuration is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// queue {0} names service {1}, which is not there
    Service(Arc<str>, Arc<str>),
    /// queues {0} and {1} share host and prefix
    Route(Arc<str>, Arc<str>),
    /// queue {0} has a timeout of zero
    Timeout(Arc<str>),
    /// teams {0} and {1} share a key
    Key(Arc<str>, Arc<str>),
    /// the configuration has {1} {0}, {2} are allowed
    Count(&'static str, usize, usize),
    /// a name, host, prefix or key has {0} bytes, 1000 are allowed
    Name(usize),
}

impl std::error::Error for Error {}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host name of the requests that are routed to the queue.
    pub host: Arc<str>,
    /// Path prefix of the requests that are routed to the queue.
    pub prefix: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority; zero is the highest and may preempt the others.
    pub priority: u32,
    /// Failures of a task after which its job fails.
    pub attempts: u32,
    /// Allowed duration as a multiple of the longest chain of steps, in thousandths.
    pub slack: u64,
    /// Milliseconds that are added to the allowed duration.
    pub latency_target: u64,
    /// Longest duration of a call in milliseconds.
    pub timeout: u64,
    /// Whether callers need no API key.
    pub public: bool,
    /// Cost of a call to the advice service, if the queue requires permits for its workers.
    pub advice: Option<Advice>,
}

/// Cost of a call to the advice service, which names the workers that may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Milliseconds per call.
    pub call: u64,
    /// Additional milliseconds per worker in the question.
    pub per_worker: u64,
    /// Milliseconds for which a permit is valid.
    pub validity: u64,
}

/// A service whose workers run tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the service.
    pub name: Arc<str>,
    /// Whether its workers reject tasks that do not fit.
    pub sheds_load: bool,
    /// Whether its machines are off until they are requested.
    pub standby: bool,
}

/// A team with its keys and guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: Arc<str>,
    /// API keys of the team's callers.
    pub keys: Vec<Arc<str>>,
    /// Accelerators that are guaranteed to the team for jobs of priority zero.
    pub guaranteed: u64,
}

/// A configuration of queues, services and teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version; it rises with each change, not always by one.
    pub version: u64,
    /// The document as the operator sent it; it is returned unchanged when the configuration is
    /// read.
    pub document: Arc<[u8]>,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub pools: Vec<Pool>,
    /// Teams.
    pub teams: Vec<Team>,
}

/// Owner of a caller's API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOwner {
    /// The key belongs to a team.
    Team(Arc<str>),
    /// The key belongs to no team.
    Unknown,
}

impl Config {
    /// Rejects a configuration that contradicts itself.
    pub fn check(&self) -> Result<()> {
        self.check_size()?;
        let services: BTreeSet<_> = self.pools.iter().map(|p| &p.name).collect();
        let mut routes: Vec<&Queue> = Vec::with_capacity(self.queues.len());
        for queue in &self.queues {
            if !services.contains(&queue.service) {
                return Err(Error::Service(queue.name.clone(), queue.service.clone()));
            }
            if queue.timeout == 0 {
                return Err(Error::Timeout(queue.name.clone()));
            }
            routes.push(queue);
        }
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let same = |w: &&[&Queue]| w[0].host == w[1].host && w[0].prefix == w[1].prefix;
        if let Some(pair) = routes.windows(2).find(same) {
            return Err(Error::Route(pair[0].name.clone(), pair[1].name.clone()));
        }
        self.check_keys()
    }

    fn check_size(&self) -> Result<()> {
        let keys = self.teams.iter().map(|t| t.keys.len()).sum();
        let counts = [
            ("queues", self.queues.len(), QUEUES_MAX),
            ("services", self.pools.len(), QUEUES_MAX),
            ("teams", self.teams.len(), TEAMS_MAX),
            ("keys", keys, KEYS_MAX),
        ];
        if let Some(&(what, count, max)) = counts.iter().find(|(_, count, max)| count > max) {
            return Err(Error::Count(what, count, max));
        }
        let queues = self.queues.iter().flat_map(|q| [&q.name, &q.host, &q.prefix, &q.service]);
        let teams = self.teams.iter().flat_map(|t| t.keys.iter().chain([&t.name]));
        let mut names = queues.chain(self.pools.iter().map(|p| &p.name)).chain(teams);
        match names.find(|name| name.len() > NAME_MAX_BYTES) {
            Some(name) => Err(Error::Name(name.len())),
            None => Ok(()),
        }
    }

    fn check_keys(&self) -> Result<()> {
        let mut owners: BTreeMap<&str, usize> = BTreeMap::new();
        for (i, team) in self.teams.iter().enumerate() {
            for key in &team.keys {
                let owner = *owners.entry(key).or_insert(i);
                if owner != i {
                    return Err(Error::Key(self.teams[owner].name.clone(), team.name.clone()));
                }
            }
        }
        Ok(())
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// Returns the queue with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix);
        self.queues.iter().filter(fits).max_by_key(|q| q.prefix.len())
    }

    /// Returns the owner of an API key.
    pub fn key_owner(&self, key: &str) -> KeyOwner {
        let holds = |t: &&Team| t.keys.iter().any(|k| &**k == key);
        self.teams.iter().find(holds).map_or(KeyOwner::Unknown, |t| KeyOwner::Team(t.name.clone()))
    }

    /// Returns the accelerators that are guaranteed to a team.
    pub fn guaranteed(&self, team: &str) -> u64 {
        self.teams.iter().find(|t| &*t.name == team).map_or(0, |t| t.guaranteed)
    }
}
