//! Settings of a replica.

use {
    crate::{
        entry::ReplicaId,
        error::{Error, Result},
    },
    bronzespool_core::{Code, Instance},
    std::time::Duration,
};

/// Settings of a replica. All durations are measured on the replica's own monotonic clock.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance that this replica runs on.
    pub name: Instance,
    /// Control instances that this replica knows of, including its own.
    pub peers: Vec<Instance>,
    /// Whether this replica may bootstrap a cluster with the `peers`.
    pub may_bootstrap: bool,
    /// Whether instances that are not in `peers` may join and replace silent members.
    pub allow_unlisted: bool,
    /// Minimum silence of the leader before an election. The actual timeout is drawn uniformly
    /// between one and two times this value.
    pub election_timeout: Duration,
    /// Interval between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// How long after contact with a quorum the leader may answer reads without asking a quorum
    /// again. The difference to `election_timeout` bounds the tolerated drift between two clocks
    /// during one election timeout.
    pub lease_duration: Duration,
    /// Maximum size of the entries in one message.
    pub append_bytes: usize,
    /// Maximum number of unacknowledged messages with entries per follower.
    pub inflight_max: usize,
    /// Maximum size of the proposed entries that are not yet committed.
    pub backlog_bytes: usize,
    /// Number of entries since the last snapshot at which [`crate::Status::snapshot_due`] is set.
    pub threshold_entries: u64,
    /// Size of the entries since the last snapshot at which [`crate::Status::snapshot_due`] is set,
    /// however few they are.
    pub threshold_bytes: usize,
    /// Number of entries before a snapshot that stay in memory for followers slightly behind.
    pub trailing_entries: u64,
    /// Maximum size of these entries.
    pub trailing_bytes: usize,
    /// Maximum size of one snapshot chunk.
    pub chunk_bytes: usize,
    /// Seed of the random election timeouts. Must differ between replicas.
    pub seed: u64,
    /// Identity assigned to a blank disk. The embedder draws it at random at each start.
    pub identity: ReplicaId,
}

impl Settings {
    /// Default settings for replicas on one network. `seed` must be fresh randomness at each
    /// start.
    pub fn new(name: Instance, peers: Vec<Instance>, seed: u64) -> Self {
        const KIB: usize = 1 << 10;
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            name,
            peers,
            may_bootstrap: true,
            allow_unlisted: false,
            election_timeout: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(60),
            lease_duration: Duration::from_millis(240),
            append_bytes: 256 * KIB,
            inflight_max: 16,
            backlog_bytes: 16 * KIB * KIB,
            threshold_entries: 10_000,
            threshold_bytes: 16 * KIB * KIB,
            trailing_entries: 1_000,
            trailing_bytes: 4 * KIB * KIB,
            chunk_bytes: 128 * KIB,
            seed,
            identity: ReplicaId(rng.u64(1..)),
        }
    }

    /// Refuses settings that would make the log unsafe or stop its progress.
    pub fn check(&self) -> Result<()> {
        let checks = [
            (
                self.lease_duration >= self.election_timeout,
                "lease_duration must be shorter than election_timeout",
            ),
            (
                self.heartbeat_interval * 2 > self.election_timeout,
                "heartbeat_interval must be at most half of election_timeout",
            ),
            (self.identity == ReplicaId(0), "identity must not be zero"),
            (!self.peers.contains(&self.name), "peers must name this instance"),
            (
                self.append_bytes == 0 || self.chunk_bytes == 0 || self.inflight_max == 0,
                "limits must not be zero",
            ),
        ];
        match checks.iter().find(|(is_invalid, _)| *is_invalid) {
            Some((_, detail)) => Err(Error::fault(Code::ConfigInvalid, *detail)),
            None => Ok(()),
        }
    }
}
