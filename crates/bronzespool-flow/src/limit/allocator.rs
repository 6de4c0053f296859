//! Allocates shares of the limits to the holders.

use {
    super::share::{Demand, DemandReport, HolderId, Limit, Share, ShareGrant},
    bronzespool_core::{Team, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Durations of the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Duration of a lease at its holder.
    pub lease: Duration,
    /// Added to the lease at the allocator, for the drift between the clocks.
    pub margin: Duration,
    /// Longest time for which a request may be in flight after the end of its lease.
    pub inflight_time: Duration,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            margin: Duration::from_millis(300),
            inflight_time: Duration::from_secs(60),
        }
    }
}

/// Share of one team's limit at one holder.
#[derive(Clone, Copy, Debug, Default)]
struct TeamShare {
    /// Upper bound of what the holder may still use.
    held: Limit,
    want: Limit,
}

#[derive(Clone, Debug, Default)]
struct HolderState {
    seq: u64,
    lease_end: Time,
    teams: BTreeMap<Team, TeamShare>,
}

/// Divides the limits of all teams among the holders.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    terms: LeaseTerms,
    limits: BTreeMap<Team, Limit>,
    holders: BTreeMap<HolderId, HolderState>,
    /// Time until which leases of an earlier allocator may be in use.
    leased_until: Time,
    /// Time until which requests admitted under such a lease may be in flight.
    inflight_until: Time,
}

impl ShareAllocator {
    /// An allocator that starts at `now` and may have a predecessor.
    pub fn new(now: Time, terms: LeaseTerms) -> Self {
        let leased_until = now + terms.lease + terms.margin;
        let inflight_until = leased_until + terms.inflight_time;
        Self { leased_until, inflight_until, ..Self::first(terms) }
    }

    /// An allocator without a predecessor.
    pub const fn first(terms: LeaseTerms) -> Self {
        Self {
            terms,
            limits: BTreeMap::new(),
            holders: BTreeMap::new(),
            leased_until: Time::ZERO,
            inflight_until: Time::ZERO,
        }
    }

    /// Sets the limit of `team`. A lower limit takes effect as the holders confirm it.
    pub fn set_limit(&mut self, team: Team, limit: Limit) {
        self.limits.insert(team, limit);
    }

    /// Removes the limit of `team`, which then gets no shares.
    pub fn remove(&mut self, team: &Team) {
        self.limits.remove(team);
    }

    /// Removes the limits of teams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Team) -> bool) {
        self.limits.retain(|team, _| keep(team));
    }

    /// Sum of what all holders may still use of the limit of `team`.
    pub fn outstanding(&self, team: &Team) -> Limit {
        let held = self.holders.values().filter_map(|h| h.teams.get(team)).map(|s| s.held);
        held.fold(Limit::default(), Limit::plus)
    }

    /// Applies a report and answers it. An outdated report gets no answer.
    pub fn report(&mut self, now: Time, id: HolderId, report: &DemandReport) -> Option<ShareGrant> {
        self.expire(now);
        let known = self.holders.contains_key(&id);
        let holder = self.holders.entry(id).or_default();
        if known && report.seq <= holder.seq {
            return None;
        }
        holder.seq = report.seq;
        holder.lease_end = now + self.terms.lease + self.terms.margin;
        holder.apply_report(&report.demands, known);
        let teams: Vec<_> = holder.teams.keys().cloned().collect();
        let shares = teams.into_iter().filter_map(|team| self.grant_share(now, id, team)).collect();
        Some(ShareGrant { seq: report.seq, lease: self.terms.lease, shares })
    }

    /// Removes a holder that has stopped and has no requests in flight.
    pub fn end(&mut self, id: HolderId) {
        self.holders.remove(&id);
    }

    /// Reclaims shares whose leases have ended: the rate at once, the requests in flight after
    /// [`LeaseTerms::inflight_time`].
    pub fn expire(&mut self, now: Time) {
        let inflight_time = self.terms.inflight_time;
        self.holders.retain(|_, h| now < h.lease_end + inflight_time);
        for holder in self.holders.values_mut().filter(|h| h.lease_end <= now) {
            for share in holder.teams.values_mut() {
                share.held.rate = 0;
                share.want = Limit::default();
            }
        }
    }

    /// Sets the new share of `team` for `id`: the fair share, bounded by what the other holders
    /// leave of the limit, and by what `id` holds already while a predecessor's leases may be in
    /// use.
    fn grant_share(&mut self, now: Time, id: HolderId, team: Team) -> Option<Share> {
        let total = self.limits.get(&team).copied().unwrap_or_default();
        let own = *self.holders.get(&id)?.teams.get(&team)?;
        let others = self.outstanding(&team).minus(own.held);
        let mut limit = self.fair_share(now, &team, total, id).min(total.minus(others));
        if now < self.leased_until {
            limit.rate = limit.rate.min(own.held.rate);
        }
        if now < self.inflight_until {
            limit.inflight = limit.inflight.min(own.held.inflight);
        }
        let share = self.holders.get_mut(&id)?.teams.get_mut(&team)?;
        share.held = share.held.max(limit);
        Some(Share { team, limit })
    }

    /// The fair share of `total` for `id`, given the wants of all holders with a lease.
    fn fair_share(&self, now: Time, team: &Team, total: Limit, id: HolderId) -> Limit {
        let live = self.holders.iter().filter(|(_, holder)| now < holder.lease_end);
        let shares = live.filter_map(|(h, holder)| Some((*h, holder.teams.get(team)?)));
        let wants: Vec<_> = shares.map(|(h, share)| (h, share.want)).collect();
        let rates = wants.iter().map(|(h, want)| (*h, want.rate)).collect();
        let inflights = wants.iter().map(|(h, want)| (*h, u64::from(want.inflight))).collect();
        let inflight = max_min_share(u64::from(total.inflight), inflights, id);
        Limit {
            rate: max_min_share(total.rate, rates, id),
            inflight: u32::try_from(inflight).unwrap_or(u32::MAX),
        }
    }
}

impl HolderState {
    /// Records what the holder confirms and wants. The report of a known holder never increases
    /// what it holds; an unknown holder got its shares from an earlier allocator.
    fn apply_report(&mut self, demands: &[Demand], known: bool) {
        for demand in demands {
            let share = self.teams.entry(demand.team.clone()).or_default();
            share.held = if known { share.held.min(demand.held) } else { demand.held };
            share.want = demand.want;
        }
        let named = |team: &Team| demands.iter().any(|d| d.team == *team);
        self.teams.retain(|team, _| named(team));
    }
}

/// The share of `total` for `id` by max-min fairness: every want is met up to a common level. What
/// is left when all wants are met is divided evenly.
fn max_min_share(total: u64, mut wants: Vec<(HolderId, u64)>, id: HolderId) -> u64 {
    wants.sort_by_key(|&(holder, want)| (want, holder));
    let mut left = total;
    let mut count = wants.len() as u64;
    let mut own = 0;
    for &(holder, want) in &wants {
        let share = want.min(left.div_ceil(count));
        left -= share;
        count -= 1;
        if holder == id {
            own = share;
        }
    }
    own + even_share(left, &wants, id)
}

/// The even share of `left` for `id`; the holders with the lowest ids get the remainder.
fn even_share(left: u64, wants: &[(HolderId, u64)], id: HolderId) -> u64 {
    let count = wants.len() as u64;
    let rank = wants.iter().filter(|(holder, _)| *holder < id).count() as u64;
    left / count + u64::from(rank < left % count)
}
