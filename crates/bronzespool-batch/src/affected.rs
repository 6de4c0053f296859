//! Which waiting polls a record concerns: those of the workers whose orders it may change.
//!
//! A record is examined before and after it is applied, so that the cost depends on the record and
//! on the jobs that it ends, not on the number of agents. A worker too many is allowed, a worker too
//! few is not: its agent would receive its orders only when its poll times out.

use {
    crate::{
        id::{JobId, RunId, TaskId},
        ledger::{Event, EventOutcome, Job, Ledger, Record, RunOutcome, Worker, WorkerSpec},
    },
    bronzespool_core::{HashMap, Instance},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// What a record may change, determined before the record is applied.
///
/// A configuration, a new job, the records of a maintenance wave and saved estimates change no orders:
/// [`crate::exchange::poll_orders`] reads workers, their runs and the jobs of these only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordScope {
    /// Names of workers that the record assigns runs to, or takes runs from.
    workers: BTreeSet<Arc<str>>,
    /// Active jobs that the end of a run may bring to a final phase.
    jobs: BTreeSet<JobId>,
    /// Tasks that may be done, after which other runs of them are not wanted any more.
    tasks: BTreeSet<TaskId>,
}

impl RecordScope {
    /// Determines the scope of a record that is to be applied to `ledger` next.
    pub fn of(ledger: &Ledger, record: &Record) -> Self {
        let mut scope = Self::default();
        for event in &record.events {
            scope.add_event(ledger, event);
        }
        scope
    }

    /// Returns the names of all workers whose orders may have changed. `ledger` has applied the
    /// record.
    pub fn affected_workers(mut self, ledger: &Ledger) -> BTreeSet<Arc<str>> {
        let ended = self.jobs.iter().filter_map(|id| ledger.job(*id));
        for job in ended.filter(|j| !j.phase.is_active()) {
            self.workers.extend(job_workers(job));
        }
        for id in &self.tasks {
            let task = ledger.job(id.step.job).and_then(|j| j.task(*id));
            let runs = task.into_iter().flat_map(|t| &t.active_runs);
            self.workers.extend(runs.map(|r| Arc::clone(&r.incarnation.worker)));
        }
        self.workers
    }

    fn add_event(&mut self, ledger: &Ledger, event: &Event) {
        match event {
            Event::Configured(_)
            | Event::Submitted(_)
            | Event::WaveOrdered(_)
            | Event::MaintenanceBegun { .. }
            | Event::TakenDown(_)
            | Event::EstimatesSaved(_) => {}
            Event::CenterDrained { center, .. } | Event::CenterRestored { center, .. } => {
                let inside = ledger.workers().filter(|w| w.spec.center == *center);
                self.workers.extend(inside.map(|w| Arc::clone(&w.spec.incarnation.worker)));
            }
            Event::Crashed(crash) => {
                let jobs = crash.runs.iter().map(|r| r.run.task.step.job);
                let is_active = |id: &JobId| ledger.job(*id).is_some_and(|j| j.phase.is_active());
                self.jobs.extend(jobs.filter(is_active));
            }
            Event::Cancelled(id) => self.add_cancelled(ledger, *id),
            Event::WorkerUp(spec) => {
                self.workers.insert(Arc::clone(&spec.incarnation.worker));
                self.add_former_workers(ledger, spec);
            }
            Event::WorkerGone(incarnation) => {
                self.workers.insert(Arc::clone(&incarnation.worker));
                if let Some(worker) = ledger.worker(incarnation) {
                    self.add_worker(ledger, worker);
                }
            }
            Event::Started(group) => {
                self.workers.extend(group.iter().map(|a| Arc::clone(&a.incarnation.worker)));
            }
            Event::Stopping { runs, .. } => {
                let active = runs.iter().filter_map(|r| ledger.active_run(*r));
                self.workers.extend(active.map(|r| Arc::clone(&r.incarnation.worker)));
            }
            Event::Ended { incarnation, ends } => {
                self.workers.insert(Arc::clone(&incarnation.worker));
                for end in ends {
                    self.add_end(ledger, end.run, end.outcome);
                }
            }
            Event::Refused { incarnation, run } => {
                self.workers.insert(Arc::clone(&incarnation.worker));
                self.add_end(ledger, *run, RunOutcome::Stopped);
            }
        }
    }

    fn add_cancelled(&mut self, ledger: &Ledger, id: JobId) {
        if let Some(job) = ledger.job(id).filter(|j| j.phase.is_active()) {
            self.workers.extend(job_workers(job));
        }
    }

    /// Adds a worker whose runs may end now.
    fn add_worker(&mut self, ledger: &Ledger, worker: &Worker) {
        self.workers.insert(Arc::clone(&worker.spec.incarnation.worker));
        for run in worker.runs.keys() {
            self.add_end(ledger, *run, RunOutcome::Lapsed);
        }
    }

    /// Adds the workers that may end when an agent reports a younger one.
    fn add_former_workers(&mut self, ledger: &Ledger, spec: &WorkerSpec) {
        let name = &spec.incarnation.worker;
        let former = |w: &&Worker| w.spec.agent == spec.agent || w.spec.incarnation.worker == *name;
        for worker in ledger.workers().filter(former) {
            self.add_worker(ledger, worker);
        }
    }

    /// Adds what the end of a run may change on other workers. Every end may end its job, since the
    /// number of attempts may have been lowered.
    fn add_end(&mut self, ledger: &Ledger, run: RunId, outcome: RunOutcome) {
        let id = run.task.step.job;
        if ledger.job(id).is_some_and(|j| j.phase.is_active()) {
            self.jobs.insert(id);
        }
        if outcome == RunOutcome::Done {
            self.tasks.insert(run.task);
        }
    }
}

/// Returns the names of the workers that may hold runs of a job.
fn job_workers(job: &Job) -> impl Iterator<Item = Arc<str>> {
    job.active_runs().map(|(_, run)| Arc::clone(&run.incarnation.worker))
}

/// Whether events with these outcomes have changed anything that a plan may read.
pub fn calls_for_plan(outcomes: &[EventOutcome]) -> bool {
    outcomes.contains(&EventOutcome::Applied)
}

/// Whether an applied record calls for a plan. No plan reads the saved estimates.
pub fn record_calls_for_plan(record: &Record, outcomes: &[EventOutcome]) -> bool {
    let is_read = |event: &Event| !matches!(event, Event::EstimatesSaved(_));
    let events = record.events.iter().zip(outcomes).filter(|(event, _)| is_read(event));
    calls_for_plan(&events.map(|(_, outcome)| *outcome).collect::<Vec<_>>())
}

/// A waiting poll.
#[derive(Clone, Debug)]
struct Waiter<T> {
    agent: Instance,
    worker: Option<Arc<str>>,
    handle: T,
}

/// Polls that wait for orders, each with a handle by which it is woken.
#[derive(Clone, Debug)]
pub struct WaitingPolls<T> {
    waiters: BTreeMap<u64, Waiter<T>>,
    by_agent: HashMap<Instance, BTreeSet<u64>>,
    by_worker: HashMap<Arc<str>, BTreeSet<u64>>,
    last_id: u64,
}

impl<T> Default for WaitingPolls<T> {
    fn default() -> Self {
        Self {
            waiters: BTreeMap::new(),
            by_agent: HashMap::default(),
            by_worker: HashMap::default(),
            last_id: 0,
        }
    }
}

impl<T> WaitingPolls<T> {
    /// Adds a poll of an agent that reports this worker, if any. Returns the poll's identifier.
    pub fn insert(&mut self, agent: Instance, worker: Option<Arc<str>>, handle: T) -> u64 {
        self.last_id += 1;
        let id = self.last_id;
        self.by_agent.entry(agent.clone()).or_default().insert(id);
        if let Some(worker) = &worker {
            self.by_worker.entry(Arc::clone(worker)).or_default().insert(id);
        }
        self.waiters.insert(id, Waiter { agent, worker, handle });
        id
    }

    /// Removes a poll.
    pub fn remove(&mut self, id: u64) {
        let Some(waiter) = self.waiters.remove(&id) else { return };
        remove_id(&mut self.by_agent, &waiter.agent, id);
        if let Some(worker) = &waiter.worker {
            remove_id(&mut self.by_worker, worker, id);
        }
    }

    /// Whether no poll waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the handles of all polls.
    pub fn all(&self) -> impl Iterator<Item = &T> {
        self.waiters.values().map(|w| &w.handle)
    }

    /// Returns the handles of an agent's polls.
    pub fn of_agent(&self, agent: &Instance) -> impl Iterator<Item = &T> {
        self.handles(self.by_agent.get(agent))
    }

    /// Returns the handles of the polls that report a worker.
    pub fn of_worker(&self, worker: &Arc<str>) -> impl Iterator<Item = &T> {
        self.handles(self.by_worker.get(worker))
    }

    fn handles(&self, ids: Option<&BTreeSet<u64>>) -> impl Iterator<Item = &T> {
        let ids = ids.into_iter().flatten();
        ids.filter_map(|id| self.waiters.get(id).map(|w| &w.handle))
    }
}

fn remove_id<K: Eq + std::hash::Hash>(index: &mut HashMap<K, BTreeSet<u64>>, key: &K, id: u64) {
    let Some(ids) = index.get_mut(key) else { return };
    ids.remove(&id);
    if ids.is_empty() {
        index.remove(key);
    }
}
