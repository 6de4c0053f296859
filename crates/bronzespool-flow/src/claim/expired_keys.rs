//! Fingerprints of the keys of expired claims.

use {
    super::Fingerprint,
    bronzespool_core::Time,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Span of log time whose fingerprints are dropped together.
const GENERATION: Duration = Duration::from_secs(24 * 60 * 60);

/// Fingerprints of keys whose claims have expired, grouped by the day of expiry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExpiredKeys {
    generations: BTreeMap<u64, BTreeSet<Fingerprint>>,
    count: usize,
}

impl ExpiredKeys {
    /// Adds a key that expired at `at`.
    pub fn insert(&mut self, at: Time, fingerprint: Fingerprint) {
        if self.generations.entry(generation(at)).or_default().insert(fingerprint) {
            self.count += 1;
        }
    }

    /// Whether the key has expired and is still refused.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.generations.values().any(|g| g.contains(fingerprint))
    }

    /// Drops every generation that ended before `before`.
    pub fn drop_before(&mut self, before: Time) {
        self.generations = self.generations.split_off(&generation(before));
        self.count = self.generations.values().map(BTreeSet::len).sum();
    }

    /// Number of fingerprints.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no fingerprints.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }
}

fn generation(at: Time) -> u64 {
    at.as_micros() / GENERATION.as_micros() as u64
}
