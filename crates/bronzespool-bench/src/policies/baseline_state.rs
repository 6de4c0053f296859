//! State that all baselines share: free capacity, waiting jobs and running jobs.

use {
    crate::decisions::{
        Action, Cluster, Fit, FreeCapacity, Job, JobId, KindPlan, PolicyEvent, Slot,
    },
    bronzespool_core::{HashMap, Time},
    std::collections::BTreeMap,
};

/// Number of workers that a job avoids: those of its latest failures.
const AVOIDED_WORKERS_MAX: usize = 2;

/// A running job.
#[derive(Clone, Debug)]
pub(crate) struct RunningJob {
    pub(crate) job: Job,
    /// One slot for each member.
    pub(crate) slots: Vec<Slot>,
    pub(crate) started_at: Time,
    /// Whether a stop was ordered.
    pub(crate) stopping: bool,
}

/// Jobs and free capacity, kept up to date from the events and the baseline's own actions.
#[derive(Clone, Debug)]
pub(crate) struct BaselineState {
    pub(crate) capacity: FreeCapacity,
    pub(crate) fit: Fit,
    /// Waiting jobs by index, which is the order of submission.
    pub(crate) waiting: BTreeMap<JobId, Job>,
    pub(crate) running: BTreeMap<JobId, RunningJob>,
    /// Workers on which each job has failed most recently; it is not placed there.
    failed_on: HashMap<JobId, Vec<usize>>,
    /// Accelerators of running jobs by team, without those of jobs that are being stopped.
    pub(crate) used_accels: Vec<u32>,
    /// Gangs that lost a member and have not yet been ordered to stop.
    broken_gangs: Vec<JobId>,
    /// Whether an event has arrived since the last decision.
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

    /// Orders the stops of the gangs that lost a member.
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

    /// Places a waiting job on free capacity, if it fits.
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

/// Job shapes that could not be placed in the current decision. They are not tried again in it,
/// since free capacity only shrinks within one decision.
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
