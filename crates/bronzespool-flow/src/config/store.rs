//! Replicated configuration store.

use {
    bronzespool_core::{Config, Digest, Key, Service, ServiceSpec},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Operations remembered, so that a resend returns the first verdict.
const OPERATIONS_MAX: usize = 10_000;

/// A change as an operator sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Revision that the operator saw.
    pub base: u64,
    /// Identity of the operation; a resend carries the same one.
    pub operation: Key,
    /// Digest of the files, to tell a resend from a misuse of the operation's identity.
    pub digest: Digest,
    /// Services that replace or join those in force.
    pub services: Vec<ServiceSpec>,
    /// Services that leave.
    pub removed: Vec<Service>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigOutcome {
    /// Accepted as this revision.
    Accepted {
        /// Revision that the change made.
        revision: u64,
    },
    /// Another change came first.
    Conflict {
        /// Revision in force.
        revision: u64,
        /// Operation that made it.
        winner: Option<Key>,
    },
    /// The operation's identity was used with other content.
    Reused,
}

/// An operation that was decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct DecidedUpdate {
    digest: Digest,
    outcome: ConfigOutcome,
}

/// The configuration and the operations that made it.
///
/// [`ConfigStore::apply`] is deterministic: every replica that applies the same changes in the same
/// order holds the same store and returns the same verdicts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigStore {
    config: Config,
    decided: BTreeMap<Key, DecidedUpdate>,
    order: VecDeque<Key>,
    last: Option<Key>,
}

impl ConfigStore {
    /// The configuration in force.
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// The verdict of an operation that was decided before.
    pub fn outcome(&self, operation: &Key, digest: &Digest) -> Option<ConfigOutcome> {
        let decided = self.decided.get(operation)?;
        if decided.digest != *digest {
            return Some(ConfigOutcome::Reused);
        }
        Some(decided.outcome.clone())
    }

    /// Applies a change if its base is the revision in force.
    pub fn apply(&mut self, update: &ConfigUpdate) -> ConfigOutcome {
        if let Some(outcome) = self.outcome(&update.operation, &update.digest) {
            return outcome;
        }
        let outcome = self.compare_and_set(update);
        self.remember(update, outcome.clone());
        outcome
    }

    fn compare_and_set(&mut self, update: &ConfigUpdate) -> ConfigOutcome {
        if update.base != self.config.revision {
            return ConfigOutcome::Conflict {
                revision: self.config.revision,
                winner: self.last.clone(),
            };
        }
        for name in &update.removed {
            self.config.services.remove(name);
        }
        for service in &update.services {
            self.config.services.insert(service.name.clone(), service.clone());
        }
        self.config.revision += 1;
        self.last = Some(update.operation.clone());
        ConfigOutcome::Accepted { revision: self.config.revision }
    }

    fn remember(&mut self, update: &ConfigUpdate, outcome: ConfigOutcome) {
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
