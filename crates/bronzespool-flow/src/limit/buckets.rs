//! The shares of all teams at one entry.

use {
    super::{
        bucket::{Bucket, Throttled},
        share::{Demand, DemandReport, Limit, ShareGrant},
    },
    bronzespool_core::{Team, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Lower bound of the span over which demand is measured.
const DEMAND_SPAN_MIN: Duration = Duration::from_millis(1);

/// The buckets of all teams at one entry.
#[derive(Clone, Debug, Default)]
pub struct TeamBuckets {
    buckets: BTreeMap<Team, Bucket>,
    seq: u64,
    sent_at: Time,
    applied_seq: u64,
}

impl TeamBuckets {
    /// Admits a request of `team`, which counts as in flight until [`TeamBuckets::release`]. A
    /// refused request counts as demand too.
    pub fn acquire(&mut self, now: Time, team: &Team) -> std::result::Result<(), Throttled> {
        if let Some(bucket) = self.buckets.get_mut(team) {
            return bucket.acquire(now);
        }
        self.buckets.entry(team.clone()).or_default().acquire(now)
    }

    /// Whether [`TeamBuckets::acquire`] would admit a request now. Does not count as demand.
    pub fn check(&mut self, now: Time, team: &Team) -> std::result::Result<(), Throttled> {
        self.buckets.get_mut(team).map_or(Err(Throttled::NoShare), |bucket| bucket.check(now))
    }

    /// Records the end of a request of `team`.
    pub fn release(&mut self, team: &Team) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.release();
        }
    }

    /// Number of requests of `team` in flight.
    pub fn inflight(&self, team: &Team) -> u32 {
        self.buckets.get(team).map_or(0, Bucket::inflight)
    }

    /// Includes `team` in reports from now on, so that it has a share before its first request.
    pub fn add_team(&mut self, team: &Team) {
        if !self.buckets.contains_key(team) {
            self.buckets.insert(team.clone(), Bucket::default());
        }
    }

    /// Drops the buckets of teams for which `keep` returns false, unless requests are in flight.
    pub fn retain(&mut self, keep: impl Fn(&Team) -> bool) {
        self.buckets.retain(|team, bucket| bucket.inflight() > 0 || keep(team));
    }

    /// The report to send at `now`.
    pub fn report(&mut self, now: Time) -> DemandReport {
        let span = now.since(self.sent_at).max(DEMAND_SPAN_MIN);
        self.seq += 1;
        self.sent_at = now;
        let demand = |(team, bucket): (&Team, &mut Bucket)| Demand {
            team: team.clone(),
            held: bucket.usable(now),
            want: bucket.demand(span),
        };
        DemandReport { seq: self.seq, demands: self.buckets.iter_mut().map(demand).collect() }
    }

    /// Applies the answer to the latest report. An answer to an earlier report is ignored, because
    /// the allocator has since received a report of what was held without it.
    pub fn apply(&mut self, now: Time, grant: &ShareGrant) {
        if grant.seq != self.seq || grant.seq <= self.applied_seq {
            return;
        }
        self.applied_seq = grant.seq;
        let until = self.sent_at + grant.lease;
        for (team, bucket) in &mut self.buckets {
            let share = grant.shares.iter().find(|s| s.team == *team);
            bucket.set(now, share.map_or_else(Limit::default, |s| s.limit), until);
        }
    }
}
