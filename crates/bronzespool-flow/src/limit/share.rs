//! Messages between the share allocator and the holders of shares.

use {
    bronzespool_core::{Team, TeamSpec, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Units of a rate that make one request per second.
pub const RATE_SCALE: u64 = 1_000;

/// A limit, or a share of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Thousandths of a request per second.
    pub rate: u64,
    /// Number of requests in flight.
    pub inflight: u32,
}

impl Limit {
    /// The larger value of each field.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), inflight: self.inflight.max(other.inflight) }
    }

    /// The smaller value of each field.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), inflight: self.inflight.min(other.inflight) }
    }

    /// The sum of both in each field.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            inflight: self.inflight.saturating_add(other.inflight),
        }
    }

    /// What is left of this limit without `other`, at least zero in each field.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            inflight: self.inflight.saturating_sub(other.inflight),
        }
    }
}

impl From<&TeamSpec> for Limit {
    fn from(spec: &TeamSpec) -> Self {
        Self { rate: u64::from(spec.rate) * RATE_SCALE, inflight: spec.inflight }
    }
}

/// Identifies a holder of shares: one run of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId(pub u64);

/// What a holder has and wants of the limit of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The team.
    pub team: Team,
    /// What the holder may still use: its share, or its requests in flight if they are more.
    pub held: Limit,
    /// What the holder could use.
    pub want: Limit,
}

/// A holder's report, which renews the lease of all its shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Rises with each report of the holder.
    pub seq: u64,
    /// Demands of the teams that have a share or want one.
    pub demands: Vec<Demand>,
}

/// The share of one team at one holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The team.
    pub team: Team,
    /// Size of the share.
    pub limit: Limit,
}

/// Answer to a [`DemandReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Sequence number of the report that this answers.
    pub seq: u64,
    /// Duration of the lease, counted from when the report was sent.
    pub lease: Duration,
    /// All shares of the holder; a team that is missing has none.
    pub shares: Vec<Share>,
}

/// A share at its holder and the end of its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Lease {
    pub(super) limit: Limit,
    pub(super) until: Time,
}
