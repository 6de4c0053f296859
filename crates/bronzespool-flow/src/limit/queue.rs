//! Queue of requests that wait for a slot: bounded, fair between teams, honest about the wait.

use {
    bronzespool_core::{Code, Team, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Weight of the newest sample in the mean time between two departures.
const NEW_WEIGHT: f64 = 0.1;
/// Shortest `Retry-After`.
const RETRY_MIN: Duration = Duration::from_millis(200);
/// Longest `Retry-After`.
const RETRY_MAX: Duration = Duration::from_secs(60);
/// Largest part of a wait that is added at random, so that callers don't return together.
const SPREAD: f64 = 0.5;

/// Bounds of a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests of all teams.
    pub total: usize,
    /// Requests of one team.
    pub team: usize,
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// Team.
    pub team: Team,
    /// When it is of no more use to its caller.
    pub deadline: Time,
    /// When it came.
    pub arrived: Time,
    /// The request.
    pub item: T,
}

/// A request that is not queued, or no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRequest<T> {
    /// The request.
    pub item: T,
    /// Why.
    pub code: Code,
    /// When to come back.
    pub retry_after: Duration,
}

/// One queue for each team, served in turn.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    teams: BTreeMap<Team, VecDeque<QueuedRequest<T>>>,
    /// Team served last.
    last: Option<Team>,
    len: usize,
    /// Mean time between two departures while requests wait, in seconds.
    gap: f64,
    left: Option<Time>,
    random: fastrand::Rng,
}

impl<T> FairQueue<T> {
    /// An empty queue. `seed` sets the spread of the times to come back.
    pub fn new(limits: QueueLimits, seed: u64) -> Self {
        Self {
            limits,
            teams: BTreeMap::new(),
            last: None,
            len: 0,
            gap: 0.0,
            left: None,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Requests that wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether none wait.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Requests of `team` that wait.
    pub fn team_len(&self, team: &Team) -> usize {
        self.teams.get(team).map_or(0, VecDeque::len)
    }

    /// Time that a new request of `team` is expected to wait: every team that waits is served
    /// once for each request before it.
    pub fn expected_wait(&self, team: &Team) -> Duration {
        let before = self.team_len(team);
        let turns: usize = self.teams.values().map(|q| q.len().min(before + 1)).sum();
        Duration::from_secs_f64(self.gap * turns as f64)
    }

    /// When a refused caller of `team` should come back: the expected wait with a random part.
    pub fn retry_after(&mut self, team: &Team) -> Duration {
        let wait = self.expected_wait(team).clamp(RETRY_MIN, RETRY_MAX);
        wait.mul_f64(1.0 + SPREAD * self.random.f64())
    }

    /// Queues a request. The one refused is this one or, if the queue is full and another team
    /// has more than its part, the newest of that team.
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
            let Some(victim) = self.victim(&team) else {
                return Some(self.refuse(&team, item, Code::QueueFull));
            };
            refused = self.evict(&victim);
        }
        if self.len == 0 {
            self.left = Some(now);
        }
        let entry = QueuedRequest { team: team.clone(), deadline, arrived: now, item };
        self.teams.entry(team).or_default().push_back(entry);
        self.len += 1;
        refused
    }

    /// Takes the next request: the teams in turn, each in its own order. A team for which `ready`
    /// is false is passed over and asked first again once the others had their turn.
    pub fn pop(
        &mut self,
        now: Time,
        mut ready: impl FnMut(&Team) -> bool,
    ) -> Option<QueuedRequest<T>> {
        let team = self.turns().find(|team| ready(team))?.clone();
        let entry = self.take_front(&team)?;
        self.last = Some(team);
        self.departed(now);
        Some(entry)
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<RefusedRequest<T>> {
        let mut passed = Vec::new();
        for queue in self.teams.values_mut() {
            let late = |entry: &QueuedRequest<T>| entry.deadline <= now;
            let (gone, kept): (VecDeque<_>, _) = std::mem::take(queue).into_iter().partition(late);
            passed.extend(gone);
            *queue = kept;
        }
        self.len -= passed.len();
        self.teams.retain(|_, queue| !queue.is_empty());
        let refuse =
            |entry: QueuedRequest<T>| self.refuse(&entry.team, entry.item, Code::DeadlinePassed);
        passed.into_iter().map(refuse).collect()
    }

    /// Removes every request, for a stop.
    pub fn drain(&mut self, code: Code) -> Vec<RefusedRequest<T>> {
        let all: Vec<_> = std::mem::take(&mut self.teams).into_values().flatten().collect();
        self.len = 0;
        let refuse = |entry: QueuedRequest<T>| self.refuse(&entry.team, entry.item, code);
        all.into_iter().map(refuse).collect()
    }

    /// The earliest deadline of those that wait.
    pub fn next_deadline(&self) -> Option<Time> {
        self.teams.values().flatten().map(|entry| entry.deadline).min()
    }

    /// Teams that wait, starting after the one served last.
    fn turns(&self) -> impl Iterator<Item = &Team> {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let split = self.last.as_ref();
        let after = split.map_or(Unbounded, Excluded);
        let until = split.map(|team| (Unbounded, Included(team)));
        let first = self.teams.range::<Team, _>((after, Unbounded));
        let second = until.map(|range| self.teams.range::<Team, _>(range));
        first.chain(second.into_iter().flatten()).map(|(team, _)| team)
    }

    /// The team with the longest queue, if it is longer than that of `team` would be.
    fn victim(&self, team: &Team) -> Option<Team> {
        let own = self.team_len(team) + 1;
        let (victim, queue) = self.teams.iter().max_by_key(|(_, queue)| queue.len())?;
        (queue.len() > own).then(|| victim.clone())
    }

    fn evict(&mut self, team: &Team) -> Option<RefusedRequest<T>> {
        let entry = self.teams.get_mut(team)?.pop_back()?;
        self.len -= 1;
        Some(self.refuse(team, entry.item, Code::QueueFull))
    }

    fn take_front(&mut self, team: &Team) -> Option<QueuedRequest<T>> {
        let queue = self.teams.get_mut(team)?;
        let entry = queue.pop_front()?;
        if queue.is_empty() {
            self.teams.remove(team);
        }
        self.len -= 1;
        Some(entry)
    }

    fn refuse(&mut self, team: &Team, item: T, code: Code) -> RefusedRequest<T> {
        RefusedRequest { item, code, retry_after: self.retry_after(team) }
    }

    fn departed(&mut self, now: Time) {
        if let Some(left) = self.left {
            let gap = now.since(left).as_secs_f64();
            self.gap += NEW_WEIGHT * (gap - self.gap);
        }
        self.left = (self.len > 0).then_some(now);
    }
}
