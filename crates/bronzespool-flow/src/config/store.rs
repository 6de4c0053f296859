//! Replicated configuration store.

use {
    bronzespool_core::{Config, Digest, Key, Service, ServiceSpec},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Number of operations whose outcomes are kept, so that a resent one gets its first outcome.
const OPERATIONS_MAX: usize = 10_000;

/// An update as an operator sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Revision on which the operator based the update.
    pub base: u64,
    /// Idempotency key of the operation; a resend carries the same one.
    pub operation: Key,
    /// Digest of the files, which tells a resend from another update under the same key.
    pub digest: Digest,
    /// Services that are added or replaced.
    pub services: Vec<ServiceSpec>,
    /// Services that are removed.
    pub removed: Vec<Service>,
}

/// Outcome of an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigOutcome {
    /// The update is in force.
    Accepted {
        /// Revision that the update made.
        revision: u64,
    },
    /// The update was based on a revision that is not in force: another update came first.
    Conflict {
        /// Revision in force.
        revision: u64,
        /// Operation that made that revision.
        winner: Option<Key>,
    },
    /// The key of the operation was used before with other content.
    Reused,
}

/// The digest and the outcome of an earlier update.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct DecidedUpdate {
    digest: Digest,
    outcome: ConfigOutcome,
}

/// The configuration and the outcomes of the operations that made it.
///
/// [`ConfigStore::apply`] is deterministic: all replicas that apply the same updates in the same
/// order hold the same store and return the same outcomes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStore {
    config: Config,
    decided: BTreeMap<Key, DecidedUpdate>,
    order: VecDeque<Key>,
    last_operation: Option<Key>,
}

impl ConfigStore {
    /// The configuration in force.
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// The outcome of an operation that was applied before, or `None` if it is unknown.
    pub fn outcome(&self, operation: &Key, digest: &Digest) -> Option<ConfigOutcome> {
        let decided = self.decided.get(operation)?;
        if decided.digest != *digest {
            return Some(ConfigOutcome::Reused);
        }
        Some(decided.outcome.clone())
    }

    /// Applies an update if its base is the revision in force.
    pub fn apply(&mut self, update: &ConfigUpdate) -> ConfigOutcome {
        if let Some(outcome) = self.outcome(&update.operation, &update.digest) {
            return outcome;
        }
        let outcome = self.compare_and_set(update);
        self.record_outcome(update, outcome.clone());
        outcome
    }

    fn compare_and_set(&mut self, update: &ConfigUpdate) -> ConfigOutcome {
        if update.base != self.config.revision {
            return ConfigOutcome::Conflict {
                revision: self.config.revision,
                winner: self.last_operation.clone(),
            };
        }
        for name in &update.removed {
            self.config.services.remove(name);
        }
        for service in &update.services {
            self.config.services.insert(service.name.clone(), service.clone());
        }
        self.config.revision += 1;
        self.last_operation = Some(update.operation.clone());
        ConfigOutcome::Accepted { revision: self.config.revision }
    }

    fn record_outcome(&mut self, update: &ConfigUpdate, outcome: ConfigOutcome) {
        let decided = DecidedUpdate { digest: update.digest, outcome };
        self.decided.insert(update.operation.clone(), decided);
        self.order.push_back(update.operation.clone());
        if self.order.len() > OPERATIONS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.decided.remove(&oldest);
        }
    }
}
