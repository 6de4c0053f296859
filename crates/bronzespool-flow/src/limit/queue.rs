//! Queue of requests that wait for a slot: bounded, fair between teams, and able to estimate the
//! wait.

use {
    bronzespool_core::{Code, Team, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Weight of a new sample in the moving average of the time between two departures.
const GAP_WEIGHT: f64 = 0.1;
/// Shortest `Retry-After`.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Longest `Retry-After`.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
/// Largest random addition to `Retry-After`, as a share of it, so that callers do not return
/// together.
const JITTER_MAX: f64 = 0.5;

/// Bounds of a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of requests of all teams.
    pub total: usize,
    /// Maximum number of requests of one team.
    pub team: usize,
}

/// A request that waits in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Team of the caller.
    pub team: Team,
    /// Time after which the request is of no use to its caller.
    pub deadline: Time,
    /// Time at which it was queued.
    pub arrived: Time,
    /// The request.
    pub item: T,
}

/// A request that was refused or removed from the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRequest<T> {
    /// The request.
    pub item: T,
    /// Reason of the refusal.
    pub code: Code,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
}

/// One queue for each team, served in round-robin order.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    teams: BTreeMap<Team, VecDeque<QueuedRequest<T>>>,
    /// Team served last.
    last_team: Option<Team>,
    len: usize,
    /// Moving average of the time between two departures while requests wait, in seconds.
    mean_gap: f64,
    last_departure: Option<Time>,
    random: fastrand::Rng,
}

impl<T> FairQueue<T> {
    /// An empty queue. `seed` seeds the jitter of `Retry-After`.
    pub fn new(limits: QueueLimits, seed: u64) -> Self {
        Self {
            limits,
            teams: BTreeMap::new(),
            last_team: None,
            len: 0,
            mean_gap: 0.0,
            last_departure: None,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Number of requests that wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of requests of `team` that wait.
    pub fn team_len(&self, team: &Team) -> usize {
        self.teams.get(team).map_or(0, VecDeque::len)
    }

    /// Expected wait of a new request of `team`. Before its turn, the team is served once for each
    /// request that it already has in the queue, and every other team at most one time more.
    pub fn expected_wait(&self, team: &Team) -> Duration {
        let before = self.team_len(team);
        let ahead: usize = self.teams.values().map(|q| q.len().min(before + 1)).sum();
        Duration::from_secs_f64(self.mean_gap * ahead as f64)
    }

    /// Delay after which a refused caller of `team` should retry: the expected wait plus jitter.
    pub fn retry_after(&mut self, team: &Team) -> Duration {
        let wait = self.expected_wait(team).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        wait.mul_f64(1.0 + JITTER_MAX * self.random.f64())
    }

    /// Queues a request. Returns the refused request, if any: this one or, if the queue is full and
    /// another team has a longer queue, the newest request of the team with the longest one.
    pub fn push(
        &mut self,
        now: Time,
        team: Team,
        deadline: Time,
        item: T,
    ) -> Option<RefusedRequest<T>> {
        if deadline <= now {
            return Some(self.refuse(&team, item, Code::DeadlinePassed));
        }
        if now + self.expected_wait(&team) >= deadline {
            return Some(self.refuse(&team, item, Code::Overloaded));
        }
        if self.team_len(&team) >= self.limits.team {
            return Some(self.refuse(&team, item, Code::QueueFull));
        }
        let mut refused = None;
        if self.len >= self.limits.total {
            let Some(victim) = self.eviction_victim(&team) else {
                return Some(self.refuse(&team, item, Code::QueueFull));
            };
            refused = self.evict(&victim);
        }
        if self.len == 0 {
            self.last_departure = Some(now);
        }
        let request = QueuedRequest { team: team.clone(), deadline, arrived: now, item };
        self.teams.entry(team).or_default().push_back(request);
        self.len += 1;
        refused
    }

    /// Removes the next request: teams in round-robin order, and the requests of each team in order
    /// of arrival. A team for which `ready` returns false is skipped, and comes up again after the
    /// teams that follow it in the rotation.
    pub fn pop(
        &mut self,
        now: Time,
        mut ready: impl FnMut(&Team) -> bool,
    ) -> Option<QueuedRequest<T>> {
        let team = self.team_order().find(|team| ready(team))?.clone();
        let request = self.pop_front_of(&team)?;
        self.last_team = Some(team);
        self.record_departure(now);
        Some(request)
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<RefusedRequest<T>> {
        let mut expired = Vec::new();
        for queue in self.teams.values_mut() {
            let is_late = |request: &QueuedRequest<T>| request.deadline <= now;
            let (late, kept): (VecDeque<_>, _) =
                std::mem::take(queue).into_iter().partition(is_late);
            expired.extend(late);
            *queue = kept;
        }
        self.len -= expired.len();
        self.teams.retain(|_, queue| !queue.is_empty());
        let refuse = |request: QueuedRequest<T>| {
            self.refuse(&request.team, request.item, Code::DeadlinePassed)
        };
        expired.into_iter().map(refuse).collect()
    }

    /// Removes all requests, because the process stops.
    pub fn drain(&mut self, code: Code) -> Vec<RefusedRequest<T>> {
        let all: Vec<_> = std::mem::take(&mut self.teams).into_values().flatten().collect();
        self.len = 0;
        let refuse = |request: QueuedRequest<T>| self.refuse(&request.team, request.item, code);
        all.into_iter().map(refuse).collect()
    }

    /// The earliest deadline of the requests that wait.
    pub fn next_deadline(&self) -> Option<Time> {
        self.teams.values().flatten().map(|request| request.deadline).min()
    }

    /// Teams with waiting requests, starting after the team served last.
    fn team_order(&self) -> impl Iterator<Item = &Team> {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let split = self.last_team.as_ref();
        let after = split.map_or(Unbounded, Excluded);
        let until = split.map(|team| (Unbounded, Included(team)));
        let first = self.teams.range::<Team, _>((after, Unbounded));
        let second = until.map(|range| self.teams.range::<Team, _>(range));
        first.chain(second.into_iter().flatten()).map(|(team, _)| team)
    }

    /// The team with the longest queue, if that is longer than the queue of `team` would be.
    fn eviction_victim(&self, team: &Team) -> Option<Team> {
        let own = self.team_len(team) + 1;
        let (victim, queue) = self.teams.iter().max_by_key(|(_, queue)| queue.len())?;
        (queue.len() > own).then(|| victim.clone())
    }

    fn evict(&mut self, team: &Team) -> Option<RefusedRequest<T>> {
        let request = self.teams.get_mut(team)?.pop_back()?;
        self.len -= 1;
        Some(self.refuse(team, request.item, Code::QueueFull))
    }

    fn pop_front_of(&mut self, team: &Team) -> Option<QueuedRequest<T>> {
        let queue = self.teams.get_mut(team)?;
        let request = queue.pop_front()?;
        if queue.is_empty() {
            self.teams.remove(team);
        }
        self.len -= 1;
        Some(request)
    }

    fn refuse(&mut self, team: &Team, item: T, code: Code) -> RefusedRequest<T> {
        RefusedRequest { item, code, retry_after: self.retry_after(team) }
    }

    fn record_departure(&mut self, now: Time) {
        if let Some(last) = self.last_departure {
            let gap = now.since(last).as_secs_f64();
            self.mean_gap += GAP_WEIGHT * (gap - self.mean_gap);
        }
        self.last_departure = (self.len > 0).then_some(now);
    }
}
