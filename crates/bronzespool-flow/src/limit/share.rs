//! Messages between the granter of shares and their holders.

use {
    bronzespool_core::{Team, TeamSpec, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Parts of one request in a rate.
pub const RATE_SCALE: u64 = 1_000;

/// A limit, or a part of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Thousandths of a request a second.
    pub rate: u64,
    /// Requests in flight.
    pub inflight: u32,
}

impl Limit {
    /// The larger of both in each part.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), inflight: self.inflight.max(other.inflight) }
    }

    /// The smaller of both in each part.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), inflight: self.inflight.min(other.inflight) }
    }

    /// The sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            inflight: self.inflight.saturating_add(other.inflight),
        }
    }

    /// What is left of this after taking `other`.
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

/// A holder of shares: one session of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId(pub u64);

/// What a holder has and wants of one team's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Team.
    pub team: Team,
    /// What the holder may still use: its share, or its requests in flight where they are more.
    pub held: Limit,
    /// What it could use.
    pub want: Limit,
}

/// A holder's report; it renews the lease of all its shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Rises with each report of the holder.
    pub seq: u64,
    /// Teams with a share or a demand.
    pub demands: Vec<Demand>,
}

/// The share of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Team.
    pub team: Team,
    /// Its size.
    pub limit: Limit,
}

/// Answer to a [`DemandReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Number of the report that it answers.
    pub seq: u64,
    /// Span of the lease, counted from when the report was sent.
    pub lease: Duration,
    /// All shares; a team that is missing has none.
    pub shares: Vec<Share>,
}

/// A share in use at a holder: when its lease ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Lease {
    pub(super) limit: Limit,
    pub(super) until: Time,
}
