//! The granter of shares.

use {
    super::share::{Demand, DemandReport, HolderId, Limit, Share, ShareGrant},
    bronzespool_core::{Team, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Spans of the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Span of a lease at its holder.
    pub lease: Duration,
    /// Added to it at the granter, for the drift of the clocks.
    pub margin: Duration,
    /// Longest time for which a request may be in flight after its lease ended.
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

/// What one holder may use of one team's limit.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    /// Most that it may still use.
    held: Limit,
    want: Limit,
}

#[derive(Clone, Debug, Default)]
struct Holder {
    seq: u64,
    ends: Time,
    parts: BTreeMap<Team, Part>,
}

/// Divides the limits of all teams among the holders.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    terms: LeaseTerms,
    limits: BTreeMap<Team, Limit>,
    holders: BTreeMap<HolderId, Holder>,
    /// Until then an earlier granter's leases may be in use.
    leased_until: Time,
    /// Until then requests that such a lease admitted may be in flight.
    inflight_until: Time,
}

impl ShareAllocator {
    /// A granter that starts at `now`, perhaps after another one.
    pub fn new(now: Time, terms: LeaseTerms) -> Self {
        let leased_until = now + terms.lease + terms.margin;
        let inflight_until = leased_until + terms.inflight_time;
        Self { leased_until, inflight_until, ..Self::first(terms) }
    }

    /// A granter without predecessors.
    pub const fn first(terms: LeaseTerms) -> Self {
        Self {
            terms,
            limits: BTreeMap::new(),
            holders: BTreeMap::new(),
            leased_until: Time::ZERO,
            inflight_until: Time::ZERO,
        }
    }

    /// Sets the limit of `team`. A lower one takes effect as the holders confirm it.
    pub fn set_limit(&mut self, team: Team, limit: Limit) {
        self.limits.insert(team, limit);
    }

    /// Removes the limit of `team`: it gets no shares.
    pub fn remove(&mut self, team: &Team) {
        self.limits.remove(team);
    }

    /// Removes the limits of teams for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&Team) -> bool) {
        self.limits.retain(|team, _| keep(team));
    }

    /// The sum of what all holders may use of `team`'s limit.
    pub fn outstanding(&self, team: &Team) -> Limit {
        let held = self.holders.values().filter_map(|h| h.parts.get(team)).map(|p| p.held);
        held.fold(Limit::default(), Limit::plus)
    }

    /// Takes a report and answers it. An old report gets no answer.
    pub fn report(&mut self, now: Time, id: HolderId, report: &DemandReport) -> Option<ShareGrant> {
        self.expire(now);
        let known = self.holders.contains_key(&id);
        let holder = self.holders.entry(id).or_default();
        if known && report.seq <= holder.seq {
            return None;
        }
        holder.seq = report.seq;
        holder.ends = now + self.terms.lease + self.terms.margin;
        holder.take(&report.demands, known);
        let teams: Vec<_> = holder.parts.keys().cloned().collect();
        let shares = teams.into_iter().filter_map(|team| self.share(now, id, team)).collect();
        Some(ShareGrant { seq: report.seq, lease: self.terms.lease, shares })
    }

    /// A holder has stopped and has nothing in flight.
    pub fn end(&mut self, id: HolderId) {
        self.holders.remove(&id);
    }

    /// Takes back what the holders no longer use after their leases ended.
    pub fn expire(&mut self, now: Time) {
        let inflight_time = self.terms.inflight_time;
        self.holders.retain(|_, h| now < h.ends + inflight_time);
        for holder in self.holders.values_mut().filter(|h| h.ends <= now) {
            for part in holder.parts.values_mut() {
                part.held.rate = 0;
                part.want = Limit::default();
            }
        }
    }

    /// The new share of `team` for `id`: its fair part, as far as the other holders leave it.
    fn share(&mut self, now: Time, id: HolderId, team: Team) -> Option<Share> {
        let total = self.limits.get(&team).copied().unwrap_or_default();
        let own = *self.holders.get(&id)?.parts.get(&team)?;
        let others = self.outstanding(&team).minus(own.held);
        let mut limit = self.fair(now, &team, total, id).min(total.minus(others));
        if now < self.leased_until {
            limit.rate = limit.rate.min(own.held.rate);
        }
        if now < self.inflight_until {
            limit.inflight = limit.inflight.min(own.held.inflight);
        }
        let part = self.holders.get_mut(&id)?.parts.get_mut(&team)?;
        part.held = part.held.max(limit);
        Some(Share { team, limit })
    }

    /// The part of `total` that is fair to `id`, by the wants of all holders with a lease.
    fn fair(&self, now: Time, team: &Team, total: Limit, id: HolderId) -> Limit {
        let live = self.holders.iter().filter(|(_, holder)| now < holder.ends);
        let parts = live.filter_map(|(h, holder)| Some((*h, holder.parts.get(team)?)));
        let wants: Vec<_> = parts.map(|(h, part)| (h, part.want)).collect();
        let rates = wants.iter().map(|(h, want)| (*h, want.rate)).collect();
        let inflights = wants.iter().map(|(h, want)| (*h, u64::from(want.inflight))).collect();
        let inflight = fill(u64::from(total.inflight), inflights, id);
        Limit {
            rate: fill(total.rate, rates, id),
            inflight: u32::try_from(inflight).unwrap_or(u32::MAX),
        }
    }
}

impl Holder {
    /// Notes what the holder confirms and wants. What a known holder has never rises by its own
    /// report; an unknown one got it from an earlier granter.
    fn take(&mut self, demands: &[Demand], known: bool) {
        for demand in demands {
            let part = self.parts.entry(demand.team.clone()).or_default();
            part.held = if known { part.held.min(demand.held) } else { demand.held };
            part.want = demand.want;
        }
        let named = |team: &Team| demands.iter().any(|d| d.team == *team);
        self.parts.retain(|team, _| named(team));
    }
}

/// The part of `total` for `id` by max-min fairness: every want is met up to a common level.
/// What no one wants is divided evenly.
fn fill(total: u64, mut wants: Vec<(HolderId, u64)>, id: HolderId) -> u64 {
    wants.sort_by_key(|&(holder, want)| (want, holder));
    let mut left = total;
    let mut count = wants.len() as u64;
    let mut own = 0;
    for &(holder, want) in &wants {
        let part = want.min(left.div_ceil(count));
        left -= part;
        count -= 1;
        if holder == id {
            own = part;
        }
    }
    own + spare(left, &wants, id)
}

/// The even part of `left` for `id`; the first holders get the remainder.
fn spare(left: u64, wants: &[(HolderId, u64)], id: HolderId) -> u64 {
    let count = wants.len() as u64;
    let rank = wants.iter().filter(|(holder, _)| *holder < id).count() as u64;
    left / count + u64::from(rank < left % count)
}
