//! All shares of one entry.

use {
    super::{
        bucket::{Bucket, Throttled},
        share::{Demand, DemandReport, Limit, ShareGrant},
    },
    bronzespool_core::{Team, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Shortest span over which demand is measured.
const SPAN_MIN: Duration = Duration::from_millis(1);

/// The buckets of all teams at one entry.
#[derive(Clone, Debug, Default)]
pub struct TeamBuckets {
    buckets: BTreeMap<Team, Bucket>,
    seq: u64,
    sent: Time,
    applied: u64,
}

impl TeamBuckets {
    /// Admits a request of `team`, which is in flight until [`TeamBuckets::release`].
    pub fn acquire(&mut self, now: Time, team: &Team) -> std::result::Result<(), Throttled> {
        if let Some(bucket) = self.buckets.get_mut(team) {
            return bucket.acquire(now);
        }
        self.buckets.entry(team.clone()).or_default().acquire(now)
    }

    /// Whether [`TeamBuckets::acquire`] would admit a request now. It does not count as demand.
    pub fn check(&mut self, now: Time, team: &Team) -> std::result::Result<(), Throttled> {
        self.buckets.get_mut(team).map_or(Err(Throttled::NoShare), |bucket| bucket.check(now))
    }

    /// A request of `team` has ended.
    pub fn release(&mut self, team: &Team) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.release();
        }
    }

    /// Requests of `team` in flight.
    pub fn inflight(&self, team: &Team) -> u32 {
        self.buckets.get(team).map_or(0, Bucket::inflight)
    }

    /// Names `team` in reports from now on, so that a share is there before its first request.
    pub fn add_team(&mut self, team: &Team) {
        if !self.buckets.contains_key(team) {
            self.buckets.insert(team.clone(), Bucket::default());
        }
    }

    /// Drops the bucket of a team that has left the configuration, once nothing is in flight.
    pub fn retain(&mut self, keep: impl Fn(&Team) -> bool) {
        self.buckets.retain(|team, bucket| bucket.inflight() > 0 || keep(team));
    }

    /// The report to send now.
    pub fn report(&mut self, now: Time) -> DemandReport {
        let span = now.since(self.sent).max(SPAN_MIN);
        self.seq += 1;
        self.sent = now;
        let demand = |(team, bucket): (&Team, &mut Bucket)| Demand {
            team: team.clone(),
            held: bucket.usable(now),
            want: bucket.demand(span),
        };
        DemandReport { seq: self.seq, demands: self.buckets.iter_mut().map(demand).collect() }
    }

    /// Puts the answer to the latest report in force. An answer to an earlier one is ignored:
    /// the granter has since heard what was held without it.
    pub fn apply(&mut self, now: Time, shared: &ShareGrant) {
        if shared.seq != self.seq || shared.seq <= self.applied {
            return;
        }
        self.applied = shared.seq;
        let until = self.sent + shared.lease;
        for (team, bucket) in &mut self.buckets {
            let share = shared.shares.iter().find(|s| s.team == *team);
            bucket.set(now, share.map_or_else(Limit::default, |s| s.limit), until);
        }
    }
}
