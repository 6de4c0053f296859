//! Fingerprints of expired keys.

use {
    super::Fingerprint,
    bronzespool_core::Time,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Span of log time whose fingerprints are forgotten together.
const GENERATION: Duration = Duration::from_secs(24 * 60 * 60);

/// Keys whose records have expired, in generations by the day of expiry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExpiredKeys {
    generations: BTreeMap<u64, BTreeSet<Fingerprint>>,
    count: usize,
}

impl ExpiredKeys {
    /// Remembers a key that expired at `at`.
    pub fn insert(&mut self, at: Time, print: Fingerprint) {
        if self.generations.entry(generation(at)).or_default().insert(print) {
            self.count += 1;
        }
    }

    /// Whether the key is remembered.
    pub fn contains(&self, print: &Fingerprint) -> bool {
        self.generations.values().any(|g| g.contains(print))
    }

    /// Forgets every generation that ended before `before`.
    pub fn forget(&mut self, before: Time) {
        self.generations = self.generations.split_off(&generation(before));
        self.count = self.generations.values().map(BTreeSet::len).sum();
    }

    /// Number of fingerprints.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether there are none.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }
}

fn generation(at: Time) -> u64 {
    at.as_micros() / GENERATION.as_micros() as u64
}
