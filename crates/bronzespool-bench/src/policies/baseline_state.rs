//! What all baselines keep: free space, waiting jobs and running jobs.

use {
    crate::decisions::{Action, Cluster, Fit, Input, Job, JobId, KindPlan, Slot, Space},
    bronzespool_core::{HashMap, Time},
    std::collections::BTreeMap,
};

/// Workers that a job avoids after failures on them.
const AVOID_MAX: usize = 2;

/// A running job.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The job.
    pub(crate) job: Job,
    /// Its members.
    pub(crate) slots: Vec<Slot>,
    /// Time of the start.
    pub(crate) since: Time,
    /// A stop was ordered.
    pub(crate) stopping: bool,
}

/// Jobs and free space as a baseline sees them.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) space: Space,
    pub(crate) fit: Fit,
    /// Waiting jobs in the order of their identities, which is that of submission.
    pub(crate) waiting: BTreeMap<JobId, Job>,
    pub(crate) running: BTreeMap<JobId, Run>,
    /// Workers on which a job has failed last: it is not placed there.
    failed: HashMap<JobId, Vec<usize>>,
    /// Running accelerators by team, those being stopped left out.
    pub(crate) used: Vec<u32>,
    /// Gangs that lost a member and are still to be stopped.
    broken: Vec<JobId>,
    /// Something was freed, submitted or lost since the last decision.
    pub(crate) dirty: bool,
}

impl Pool {
    pub(crate) fn new(cluster: &Cluster, fit: Fit) -> Self {
        Self {
            space: Space::new(cluster),
            fit,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            failed: HashMap::default(),
            used: vec![0; cluster.teams.len()],
            broken: Vec::new(),
            dirty: false,
        }
    }

    pub(crate) fn input(&mut self, input: Input<'_>) {
        self.dirty = true;
        match input {
            Input::Submitted(job) => {
                self.waiting.insert(job.id, job.clone());
            }
            Input::Cancelled(jobs) => jobs.iter().for_each(|&j| self.forget(j)),
            Input::Completed(job) | Input::Dropped(job) => self.forget(job),
            Input::Failed { job, worker } => {
                let failed = self.failed.entry(job).or_default();
                failed.push(worker);
                if failed.len() > AVOID_MAX {
                    failed.remove(0);
                }
                self.requeue(job);
            }
            Input::Stopped(job) => self.requeue(job),
            Input::Down(workers) => self.lose(workers),
            Input::Up(workers) => workers.iter().for_each(|&w| self.space.set_up(w, true)),
        }
    }

    fn lose(&mut self, workers: &[usize]) {
        workers.iter().for_each(|&w| self.space.set_up(w, false));
        let hit = |r: &&Run| r.slots.iter().any(|s| workers.contains(&s.worker)) && !r.stopping;
        self.broken.extend(self.running.values().filter(hit).map(|r| r.job.id));
    }

    fn release(&mut self, job: JobId) -> Option<Job> {
        let run = self.running.remove(&job)?;
        self.space.give(&run.slots, &run.job.plan);
        if !run.stopping {
            self.used[run.job.team] -= run.job.accels();
        }
        Some(run.job)
    }

    fn forget(&mut self, job: JobId) {
        self.waiting.remove(&job);
        self.failed.remove(&job);
        self.broken.retain(|&j| j != job);
        self.release(job);
    }

    fn requeue(&mut self, job: JobId) {
        if let Some(job) = self.release(job) {
            self.waiting.insert(job.id, job);
        }
    }

    /// Stops of the gangs that lost a member.
    pub(crate) fn cut(&mut self) -> Vec<Action> {
        let broken = std::mem::take(&mut self.broken);
        broken.into_iter().filter_map(|j| self.stop(j)).collect()
    }

    pub(crate) fn stop(&mut self, job: JobId) -> Option<Action> {
        let run = self.running.get_mut(&job)?;
        if run.stopping {
            return None;
        }
        run.stopping = true;
        self.used[run.job.team] -= run.job.accels();
        Some(Action::Stop(job))
    }

    /// Places a waiting job on free space.
    pub(crate) fn place(&mut self, now: Time, job: JobId) -> Option<Action> {
        let plan = self.waiting.get(&job)?.plan;
        let avoid = self.failed.get(&job).cloned().unwrap_or_default();
        let slots = self.space.place(&plan, self.fit, &avoid)?;
        let job = self.waiting.remove(&job)?;
        self.used[job.team] += job.accels();
        let action = Action::Grant { job: job.id, slots: slots.clone() };
        self.running.insert(job.id, Run { job, slots, since: now, stopping: false });
        Some(action)
    }
}

/// Kinds that found no place in this decision: space only shrinks within one.
#[derive(Default)]
pub(crate) struct Misses(Vec<(u32, u32, u32)>);

impl Misses {
    const fn key(kind: &KindPlan) -> (u32, u32, u32) {
        (kind.gang, kind.accels, kind.cores)
    }

    pub(crate) fn has(&self, kind: &KindPlan) -> bool {
        self.0.contains(&Self::key(kind))
    }

    pub(crate) fn add(&mut self, kind: &KindPlan) {
        self.0.push(Self::key(kind));
    }
}
