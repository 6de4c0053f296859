//! Settings of a replica.

use {
    crate::{
        entry::ReplicaId,
        error::{Error, Result},
    },
    bronzespool_core::{Code, Instance},
    std::time::Duration,
};

/// Settings of a replica. All times are measured on the replica's own monotonic clock.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance that this replica runs on.
    pub name: Instance,
    /// All control instances, this one included.
    pub peers: Vec<Instance>,
    /// Whether this replica may take part in founding a cluster with the `peers`.
    pub may_bootstrap: bool,
    /// Whether instances that `peers` does not name may join, and replace silent ones.
    pub allow_unlisted: bool,
    /// Silence of the leader after which an election may start; the actual time is drawn
    /// between one and two of these.
    pub election_timeout: Duration,
    /// Time between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Time after a quorum's contact in which the leader answers reads alone. The difference to
    /// `election` is the bound on the drift between two clocks over one election time.
    pub lease_duration: Duration,
    /// Bytes of entries in one message.
    pub append_bytes: usize,
    /// Messages with entries to one follower that are not yet acknowledged.
    pub inflight_max: usize,
    /// Bytes of entries that may be proposed and not yet committed.
    pub backlog_bytes: usize,
    /// Entries since the last snapshot after which [`crate::Status::snapshot_due`] is set.
    pub threshold_entries: u64,
    /// Bytes of entries since the last snapshot after which it is set as well.
    pub threshold_bytes: usize,
    /// Entries kept in memory before a snapshot for followers that lag a little.
    pub trailing_entries: u64,
    /// Bytes of one part of a snapshot.
    pub chunk_bytes: usize,
    /// Seed of the random election times. Must differ between replicas.
    pub seed: u64,
    /// Identity that a blank disk is given; drawn at random by the embedder at each start.
    pub identity: ReplicaId,
}

impl Settings {
    /// Settings for replicas on one network; `seed` is fresh randomness of this start.
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
            chunk_bytes: 128 * KIB,
            seed,
            identity: ReplicaId(rng.u64(1..)),
        }
    }

    /// Refuses settings under which the log would not be safe or could not move.
    pub fn check(&self) -> Result<()> {
        let checks = [
            (self.lease_duration >= self.election_timeout, "lease must be shorter than election"),
            (
                self.heartbeat_interval * 2 > self.election_timeout,
                "heartbeat must be at most half of election",
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
