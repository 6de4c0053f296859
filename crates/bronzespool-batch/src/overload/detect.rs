//! Detection of overload by service.
//!
//! Covers bursts and lasting excess of work. A class of work, that is the jobs of one priority in
//! one pool, is overloaded if its new work would begin too late to count in full. It stays overloaded
//! until the wait has fallen to half of that limit, so that a wait near the limit does not change the
//! state with each run. Between the two limits a new leader, which does not know the former state,
//! treats a job in the ledger that has waited for too long as evidence of overload.

use {
    crate::{
        id::{JobId, RunId},
        ledger::Ledger,
        overload::{
            checkpoints::CheckpointTimes,
            demand::{Demand, Pool},
            order::lagging_sizes,
        },
        plan::ClusterView,
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Shortest time between two assessments, each of which iterates over all active jobs. It is much
/// shorter than the time within which urgent work has to start.
const INTERVAL: Duration = Duration::from_millis(100);

/// State of one class of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassState {
    /// Whether the class is overloaded.
    pub overloaded: bool,
    /// Time until the work that is there now is done, with all that goes before it.
    pub wait: Duration,
    /// Longest wait at which a job of the class still counts in full.
    pub limit: Duration,
    /// Number of jobs with waiting work.
    pub jobs: u32,
}

/// Overload of all services at one time. Clones share their data.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overload {
    state: Arc<State>,
    /// When jobs that were rejected before they were accepted were first submitted.
    places: Arc<HashMap<JobId, Time>>,
}

#[derive(Debug, Default, PartialEq)]
struct State {
    demand: Demand,
    classes: BTreeMap<Pool, BTreeMap<u32, ClassState>>,
    /// Least size of the largest jobs of each class in which those are begun too rarely.
    lagging: BTreeMap<(Arc<str>, u32), u64>,
    checkpoints: CheckpointTimes,
    assessed_at: Time,
}

impl Overload {
    /// Computes the state from a ledger and the state before. Workers in `silent` were heard from by
    /// this leader and are no longer in contact. Those that a new leader has yet to hear from count
    /// as capacity, so that a change of leader is not taken for a loss of workers.
    pub fn of(
        ledger: &Ledger,
        view: &ClusterView,
        silent: &HashSet<Arc<str>>,
        former: &Self,
    ) -> Self {
        let demand = Demand::of(ledger, view, silent);
        let mut classes: BTreeMap<Pool, BTreeMap<u32, ClassState>> = BTreeMap::new();
        for (pool, by_priority) in &demand.pools {
            for (&priority, class) in by_priority.iter().filter(|(_, c)| c.jobs > 0) {
                let (wait, limit) = (demand.wait(pool, priority), class.mean_slack());
                let was = class.late || former.class(pool, priority).overloaded;
                let overloaded = wait > limit || was && wait > limit / 2;
                let state = ClassState { overloaded, wait, limit, jobs: class.jobs };
                classes.entry(pool.clone()).or_default().insert(priority, state);
            }
        }
        let is_any = classes.values().flat_map(BTreeMap::values).any(|c| c.overloaded);
        let lagging = if is_any { lagging_sizes(ledger, view) } else { BTreeMap::new() };
        let checkpoints = former.state.checkpoints.updated(ledger, view);
        let places = Arc::clone(&former.places);
        Self {
            places,
            state: Arc::new(State { demand, classes, lagging, checkpoints, assessed_at: view.now }),
        }
    }

    /// Sets when jobs that were rejected before they were accepted were first submitted.
    pub fn set_places(&mut self, places: &Arc<HashMap<JobId, Time>>) {
        self.places = Arc::clone(places);
    }

    /// Returns when a job was first submitted if it was rejected before it was accepted.
    pub(super) fn place(&self, job: JobId) -> Option<Time> {
        self.places.get(&job).copied()
    }

    /// Returns when the state was computed.
    pub fn assessed_at(&self) -> Time {
        self.state.assessed_at
    }

    /// Whether any service is overloaded.
    pub fn is_any(&self) -> bool {
        self.state.classes.values().flat_map(BTreeMap::values).any(|c| c.overloaded)
    }

    /// Returns the least size of the largest jobs of a class if those are begun too rarely.
    pub(super) fn lagging_size(&self, service: &Arc<str>, priority: u32) -> Option<u64> {
        self.state.lagging.get(&(Arc::clone(service), priority)).copied()
    }

    /// Returns when a run has saved its latest checkpoint; `None` if it has saved none itself.
    pub(super) fn saved_at(&self, run: RunId) -> Option<Time> {
        self.state.checkpoints.of(run)
    }

    /// Returns the demand that the state follows from.
    pub fn demand(&self) -> &Demand {
        &self.state.demand
    }

    /// Returns the state of the jobs of one priority in a pool.
    pub fn class(&self, pool: &Pool, priority: u32) -> ClassState {
        let class = self.state.classes.get(pool).and_then(|c| c.get(&priority));
        class.copied().unwrap_or_default()
    }

    /// Returns all classes with waiting work of a service.
    pub fn classes(&self, service: &str) -> impl Iterator<Item = (&Pool, u32, ClassState)> {
        let of_service = self.state.classes.iter().filter(move |(p, _)| &*p.service == service);
        of_service.flat_map(|(pool, c)| c.iter().map(move |(p, state)| (pool, *p, *state)))
    }

    /// Whether a service is overloaded: whether one of its classes is.
    pub fn is_overloaded(&self, service: &str) -> bool {
        self.classes(service).any(|(_, _, c)| c.overloaded)
    }

    /// Whether the jobs of one priority are overloaded in a pool of a service.
    pub fn is_class_overloaded(&self, service: &str, priority: u32) -> bool {
        self.classes(service).any(|(_, p, c)| p == priority && c.overloaded)
    }

    /// Returns the services that are overloaded, each with the class that has waited the longest
    /// beyond its limit.
    pub fn overloaded(&self) -> BTreeMap<Arc<str>, (u32, ClassState)> {
        let mut worst: BTreeMap<Arc<str>, (u32, ClassState)> = BTreeMap::new();
        for (pool, by_priority) in &self.state.classes {
            for (&priority, state) in by_priority.iter().filter(|(_, c)| c.overloaded) {
                let excess = |c: &ClassState| c.wait.saturating_sub(c.limit);
                let entry = worst.entry(Arc::clone(&pool.service)).or_insert((priority, *state));
                if excess(state) > excess(&entry.1) {
                    *entry = (priority, *state);
                }
            }
        }
        worst
    }
}

/// Keeps the state up to date on the leader.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    current: Overload,
    assessed_at: Option<Time>,
}

impl Detector {
    /// Returns the current state, and computes it anew if it is old.
    pub fn assess(
        &mut self,
        ledger: &Ledger,
        view: &ClusterView,
        silent: &HashSet<Arc<str>>,
    ) -> &Overload {
        let is_old = |at: Time| view.now.since(at) >= INTERVAL || view.now < at;
        if self.assessed_at.is_none_or(is_old) {
            self.current = Overload::of(ledger, view, silent, &self.current);
            self.assessed_at = Some(view.now);
        }
        &self.current
    }

    /// Returns the latest state.
    pub const fn current(&self) -> &Overload {
        &self.current
    }
}
