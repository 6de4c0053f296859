//! Settings of a replica.

use {
    crate::{
        entry::Id,
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
    pub founder: bool,
    /// Whether instances that `peers` does not name may join, and replace silent ones.
    pub open: bool,
    /// Silence of the leader after which an election may start; the actual time is drawn
    /// between one and two of these.
    pub election: Duration,
    /// Time between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// Time after a quorum's contact in which the leader answers reads alone. The difference to
    /// `election` is the bound on the drift between two clocks over one election time.
    pub lease: Duration,
    /// Bytes of entries in one message.
    pub batch: usize,
    /// Messages with entries to one follower that are not yet acknowledged.
    pub inflight: usize,
    /// Bytes of entries that may be proposed and not yet committed.
    pub backlog: usize,
    /// Entries since the last snapshot after which [`crate::Status::snapshot_due`] is set.
    pub threshold: u64,
    /// Bytes of entries since the last snapshot after which it is set as well.
    pub log_bytes: usize,
    /// Entries kept in memory before a snapshot for followers that lag a little.
    pub tail: u64,
    /// Bytes of one part of a snapshot.
    pub chunk: usize,
    /// Seed of the random election times. Must differ between replicas.
    pub seed: u64,
    /// Identity that a blank disk is given; drawn at random by the embedder at each start.
    pub identity: Id,
}

impl Settings {
    /// Settings for replicas on one network; `seed` is fresh randomness of this start.
    pub fn new(name: Instance, peers: Vec<Instance>, seed: u64) -> Self {
        const KIB: usize = 1 << 10;
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            name,
            peers,
            founder: true,
            open: false,
            election: Duration::from_millis(300),
            heartbeat: Duration::from_millis(60),
            lease: Duration::from_millis(240),
            batch: 256 * KIB,
            inflight: 16,
            backlog: 16 * KIB * KIB,
            threshold: 10_000,
            log_bytes: 16 * KIB * KIB,
            tail: 1_000,
            chunk: 128 * KIB,
            seed,
            identity: Id(rng.u64(1..)),
        }
    }

    /// Refuses settings under which the log would not be safe or could not move.
    pub fn check(&self) -> Result<()> {
        let faults = [
            (self.lease >= self.election, "lease must be shorter than election"),
            (self.heartbeat * 2 > self.election, "heartbeat must be at most half of election"),
            (self.identity == Id(0), "identity must not be zero"),
            (!self.peers.contains(&self.name), "peers must name this instance"),
            (self.batch == 0 || self.chunk == 0 || self.inflight == 0, "limits must not be zero"),
        ];
        match faults.iter().find(|(bad, _)| *bad) {
            Some((_, detail)) => Err(Error::fault(Code::ConfigInvalid, *detail)),
            None => Ok(()),
        }
    }
}
