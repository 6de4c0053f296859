//! What all baselines keep: free space, waiting jobs and running jobs.

use {
    crate::decisions::{
        Action, Cluster, Fit, FreeCapacity, Job, JobId, KindPlan, PolicyEvent, Slot,
    },
    bronzespool_core::{HashMap, Time},
    std::collections::BTreeMap,
};

/// Workers that a job avoids after failures on them.
const AVOIDED_WORKERS_MAX: usize = 2;

/// A running job.
#[derive(Clone, Debug)]
pub(crate) struct RunningJob {
    /// The job.
    pub(crate) job: Job,
    /// Its members.
    pub(crate) slots: Vec<Slot>,
    /// Time of the start.
    pub(crate) started_at: Time,
    /// A stop was ordered.
    pub(crate) stopping: bool,
}

/// Jobs and free space as a baseline sees them.
#[derive(Clone, Debug)]
pub(crate) struct BaselineState {
    pub(crate) capacity: FreeCapacity,
    pub(crate) fit: Fit,
    /// Waiting jobs in the order of their identities, which is that of submission.
    pub(crate) waiting: BTreeMap<JobId, Job>,
    pub(crate) running: BTreeMap<JobId, RunningJob>,
    /// Workers on which a job has failed last: it is not placed there.
    failed_on: HashMap<JobId, Vec<usize>>,
    /// Running accelerators by team, those being stopped left out.
    pub(crate) used_accels: Vec<u32>,
    /// Gangs that lost a member and are still to be stopped.
    broken_gangs: Vec<JobId>,
    /// Something was freed, submitted or lost since the last decision.
    pub(crate) changed: bool,
}

impl BaselineState {
    pub(crate) fn new(cluster: &Cluster, fit: Fit) -> Self {
        Self {
            capacity: FreeCapacity::new(cluster),
            fit,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            failed_on: HashMap::default(),
            used_accels: vec![0; cluster.teams.len()],
            broken_gangs: Vec::new(),
            changed: false,
        }
    }

    pub(crate) fn on_event(&mut self, event: PolicyEvent<'_>) {
        self.changed = true;
        match event {
            PolicyEvent::Submitted(job) => {
                self.waiting.insert(job.id, job.clone());
            }
            PolicyEvent::Cancelled(jobs) => jobs.iter().for_each(|&j| self.forget(j)),
            PolicyEvent::Completed(job) | PolicyEvent::Dropped(job) => self.forget(job),
            PolicyEvent::Failed { job, worker } => {
                let failed = self.failed_on.entry(job).or_default();
                failed.push(worker);
                if failed.len() > AVOIDED_WORKERS_MAX {
                    failed.remove(0);
                }
                self.requeue(job);
            }
            PolicyEvent::Stopped(job) => self.requeue(job),
            PolicyEvent::Down(workers) => self.lose_workers(workers),
            PolicyEvent::Up(workers) => workers.iter().for_each(|&w| self.capacity.set_up(w, true)),
        }
    }

    fn lose_workers(&mut self, workers: &[usize]) {
        workers.iter().for_each(|&w| self.capacity.set_up(w, false));
        let affected =
            |r: &&RunningJob| r.slots.iter().any(|s| workers.contains(&s.worker)) && !r.stopping;
        self.broken_gangs.extend(self.running.values().filter(affected).map(|r| r.job.id));
    }

    fn release(&mut self, job: JobId) -> Option<Job> {
        let run = self.running.remove(&job)?;
        self.capacity.release(&run.slots, &run.job.plan);
        if !run.stopping {
            self.used_accels[run.job.team] -= run.job.accels();
        }
        Some(run.job)
    }

    fn forget(&mut self, job: JobId) {
        self.waiting.remove(&job);
        self.failed_on.remove(&job);
        self.broken_gangs.retain(|&j| j != job);
        self.release(job);
    }

    fn requeue(&mut self, job: JobId) {
        if let Some(job) = self.release(job) {
            self.waiting.insert(job.id, job);
        }
    }

    /// Stops of the gangs that lost a member.
    pub(crate) fn stop_broken(&mut self) -> Vec<Action> {
        let broken_gangs = std::mem::take(&mut self.broken_gangs);
        broken_gangs.into_iter().filter_map(|j| self.stop(j)).collect()
    }

    pub(crate) fn stop(&mut self, job: JobId) -> Option<Action> {
        let run = self.running.get_mut(&job)?;
        if run.stopping {
            return None;
        }
        run.stopping = true;
        self.used_accels[run.job.team] -= run.job.accels();
        Some(Action::Stop(job))
    }

    /// Places a waiting job on free space.
    pub(crate) fn place(&mut self, now: Time, job: JobId) -> Option<Action> {
        let plan = self.waiting.get(&job)?.plan;
        let avoid = self.failed_on.get(&job).cloned().unwrap_or_default();
        let slots = self.capacity.place(&plan, self.fit, &avoid)?;
        let job = self.waiting.remove(&job)?;
        self.used_accels[job.team] += job.accels();
        let action = Action::Grant { job: job.id, slots: slots.clone() };
        self.running.insert(job.id, RunningJob { job, slots, started_at: now, stopping: false });
        Some(action)
    }
}

/// Kinds that found no place in this decision: space only shrinks within one.
#[derive(Default)]
pub(crate) struct UnplacedKinds(Vec<(u32, u32, u32)>);

impl UnplacedKinds {
    const fn key(kind: &KindPlan) -> (u32, u32, u32) {
        (kind.gang, kind.accels, kind.cores)
    }

    pub(crate) fn contains(&self, kind: &KindPlan) -> bool {
        self.0.contains(&Self::key(kind))
    }

    pub(crate) fn insert(&mut self, kind: &KindPlan) {
        self.0.push(Self::key(kind));
    }
}
