//! Configuration of queues, services and teams, replaced whole by its version.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, sync::Arc},
};

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
}

impl std::error::Error for Error {}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Prefix of the paths.
    pub prefix: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Zero comes first and may preempt others.
    pub priority: u32,
    /// Failures of a task after which its job has failed.
    pub attempts: u32,
    /// Allowed duration as a multiple of the longest chain of work, in thousandths.
    pub slack: u64,
    /// Milliseconds that are added to the allowed duration.
    pub latency_target: u64,
    /// Milliseconds that a call may take.
    pub timeout: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// Time of the service that names workers for a step, if the queue needs its advice.
    pub advice: Option<Advice>,
}

/// Cost of a call for advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Milliseconds for a call.
    pub call: u64,
    /// Milliseconds for each worker named.
    pub per_worker: u64,
    /// Milliseconds for which a ticket is valid.
    pub validity: u64,
}

/// Workers that run tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the service.
    pub name: Arc<str>,
    /// Whether its workers refuse what does not fit.
    pub sheds_load: bool,
    /// Whether its machines are off until they are asked for.
    pub standby: bool,
}

/// A team with its keys and guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Accelerators that are its own for jobs of priority zero.
    pub guaranteed: u64,
}

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Rises, in uneven steps.
    pub version: u64,
    /// The document as the operator sent it, for reading it back.
    pub document: Arc<[u8]>,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub pools: Vec<Pool>,
    /// Teams.
    pub teams: Vec<Team>,
}

/// Verdict on a caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOwner {
    /// The key is a team's.
    Team(Arc<str>),
    /// No team has the key.
    Unknown,
}

impl Config {
    /// Refuses a configuration that contradicts itself.
    pub fn check(&self) -> Result<()> {
        let mut places: Vec<&Queue> = Vec::with_capacity(self.queues.len());
        for queue in &self.queues {
            if !self.pools.iter().any(|p| p.name == queue.service) {
                return Err(Error::Service(queue.name.clone(), queue.service.clone()));
            }
            if queue.timeout == 0 {
                return Err(Error::Timeout(queue.name.clone()));
            }
            places.push(queue);
        }
        places.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let same = |w: &&[&Queue]| w[0].host == w[1].host && w[0].prefix == w[1].prefix;
        if let Some(pair) = places.windows(2).find(same) {
            return Err(Error::Route(pair[0].name.clone(), pair[1].name.clone()));
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<()> {
        for (i, team) in self.teams.iter().enumerate() {
            let keys: BTreeSet<_> = team.keys.iter().collect();
            let others = &self.teams[i + 1..];
            if let Some(other) = others.iter().find(|t| t.keys.iter().any(|k| keys.contains(k))) {
                return Err(Error::Key(team.name.clone(), other.name.clone()));
            }
        }
        Ok(())
    }

    /// The queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| &*q.name == name)
    }

    /// The queue with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix);
        self.queues.iter().filter(fits).max_by_key(|q| q.prefix.len())
    }

    /// The team that holds a key.
    pub fn key_owner(&self, key: &str) -> KeyOwner {
        let holds = |t: &&Team| t.keys.iter().any(|k| &**k == key);
        self.teams.iter().find(holds).map_or(KeyOwner::Unknown, |t| KeyOwner::Team(t.name.clone()))
    }

    /// Accelerators that are a team's own.
    pub fn guaranteed(&self, team: &str) -> u64 {
        self.teams.iter().find(|t| &*t.name == team).map_or(0, |t| t.guaranteed)
    }
}
