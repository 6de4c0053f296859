//! Application of events to the ledger.

use {
    crate::{
        config::Config,
        id::{JobId, RunId, StepId, TaskId, WorkerIncarnation},
        ledger::{
            ActiveRun, Assignment, Event, EventOutcome, JOB_RETENTION, Job, Ledger, Phase, Record,
            RunEnd, RunOutcome, StepState, Wave, WaveSpec, Worker, WorkerSpec,
        },
        spec::{JobSpec, Step},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// A run that fails this soon after its assignment has hardly begun, so it counts twice against its
/// worker.
const EARLY_FAILURE: Duration = Duration::from_millis(400);

impl Ledger {
    /// Applies a record. The outcomes are in the order of its events.
    pub fn apply(&mut self, record: &Record) -> Vec<EventOutcome> {
        self.log_time = self.log_time.max(record.at);
        self.change_count += 1;
        self.remove_expired_jobs();
        record.events.iter().map(|e| self.apply_event(e)).collect()
    }

    fn apply_event(&mut self, event: &Event) -> EventOutcome {
        match event {
            Event::Configured(config) => self.configure(config),
            Event::Submitted(spec) => self.submit(spec),
            Event::Cancelled(id) => self.cancel(*id),
            Event::WorkerUp(spec) => self.worker_up(spec),
            Event::WorkerGone(incarnation) => self.worker_gone(incarnation),
            Event::Started(group) => self.start(group),
            Event::Stopping { runs, .. } => self.stop(runs),
            Event::Ended { incarnation, ends } => self.end_runs(incarnation, ends),
            Event::Refused { incarnation, run } => self.refuse(incarnation, *run),
            Event::WaveOrdered(spec) => self.order_wave(spec),
            Event::MaintenanceBegun { wave, machine } => self.begin_maintenance(*wave, machine),
            Event::Crashed(crash) => self.record_crash(crash),
            Event::TakenDown(worker) => self.take_down(worker),
            Event::EstimatesSaved(summary) => self.save_run_times(summary),
            Event::CenterDrained { center, base } => self.set_drained(center, *base, true),
            Event::CenterRestored { center, base } => self.set_drained(center, *base, false),
        }
    }

    fn order_wave(&mut self, spec: &Arc<WaveSpec>) -> EventOutcome {
        if self.waves.contains_key(&spec.id) {
            return EventOutcome::Known;
        }
        let wave =
            Wave { spec: Arc::clone(spec), ordered_at: self.log_time, begun: BTreeSet::new() };
        self.waves.insert(spec.id, wave);
        EventOutcome::Applied
    }

    fn begin_maintenance(&mut self, wave: u64, machine: &Arc<str>) -> EventOutcome {
        let Some(wave) = self.waves.get_mut(&wave) else { return EventOutcome::Stale };
        if !wave.spec.machines.contains(machine) {
            return EventOutcome::Stale;
        }
        let is_new = wave.begun.insert(Arc::clone(machine));
        if is_new { EventOutcome::Applied } else { EventOutcome::Known }
    }

    /// Removes jobs that reached a final phase longer than the retention time ago.
    fn remove_expired_jobs(&mut self) {
        let at = self.log_time;
        let old = |j: &Job| j.finished.is_some_and(|f| at.since(f) > JOB_RETENTION);
        self.jobs.retain(|_, j| !old(j) || j.has_active_run());
        self.early_cancels.expire(at);
        let jobs = &self.jobs;
        self.crashes.expire(at, |id| jobs.contains_key(&id));
    }

    fn configure(&mut self, config: &Arc<Config>) -> EventOutcome {
        if self.config.as_ref().is_some_and(|c| c.version >= config.version) {
            return EventOutcome::Known;
        }
        self.config = Some(Arc::clone(config));
        EventOutcome::Applied
    }

    fn submit(&mut self, spec: &Arc<JobSpec>) -> EventOutcome {
        if self.jobs.contains_key(&spec.id) {
            return EventOutcome::Known;
        }
        if self.early_cancels.contains(spec.id) {
            return EventOutcome::Stale;
        }
        let queue = self.config.as_ref().and_then(|c| c.queue(&spec.queue));
        let Some(queue) = queue else { return EventOutcome::Stale };
        let job = Job {
            spec: Arc::clone(spec),
            phase: Phase::Queued,
            submitted: self.log_time,
            finished: None,
            attempts: queue.attempts,
            service: queue.service.clone(),
            priority: queue.priority,
            occurrences: BTreeMap::new(),
            done_occurrences: 0,
        };
        self.jobs.insert(spec.id, job);
        EventOutcome::Applied
    }

    fn cancel(&mut self, id: JobId) -> EventOutcome {
        let at = self.log_time;
        let Some(job) = self.jobs.get_mut(&id) else {
            self.early_cancels.insert(at, id);
            return EventOutcome::Stale;
        };
        if !job.phase.is_active() {
            return EventOutcome::Known;
        }
        job.phase = Phase::Cancelled;
        job.finished = Some(at);
        self.crashes.forget_tasks_of(id);
        self.done_occurrences.forget(id);
        EventOutcome::Applied
    }

    fn worker_up(&mut self, spec: &WorkerSpec) -> EventOutcome {
        let outcome = self.register_worker(spec);
        if outcome == EventOutcome::Applied {
            self.end_former_incarnations(spec);
        }
        outcome
    }

    /// An agent has one worker at a time, so a younger worker means that the former one is gone,
    /// even if its name differs.
    fn end_former_incarnations(&mut self, spec: &WorkerSpec) {
        let former = |w: &&Worker| {
            w.spec.agent == spec.agent
                && w.spec.incarnation.worker != spec.incarnation.worker
                && w.spec.incarnation.started_at < spec.incarnation.started_at
        };
        let incarnations: Vec<WorkerIncarnation> =
            self.workers.values().filter(former).map(|w| w.spec.incarnation.clone()).collect();
        for incarnation in &incarnations {
            self.worker_gone(incarnation);
        }
    }

    fn register_worker(&mut self, spec: &WorkerSpec) -> EventOutcome {
        let known = self.workers.get_mut(&spec.incarnation.worker);
        let Some(worker) = known else {
            self.workers.insert(spec.incarnation.worker.clone(), Worker::new(spec.clone()));
            return EventOutcome::Applied;
        };
        if worker.spec == *spec {
            return EventOutcome::Known;
        }
        if worker.spec.incarnation.started_at > spec.incarnation.started_at {
            return EventOutcome::Stale;
        }
        if worker.spec.incarnation == spec.incarnation {
            // A worker that is leaving does not come back in this incarnation.
            let leaving = worker.spec.leaving || spec.leaving;
            worker.spec = WorkerSpec { leaving, ..spec.clone() };
            return EventOutcome::Applied;
        }
        let old = worker.spec.incarnation.clone();
        self.worker_gone(&old);
        self.workers.insert(spec.incarnation.worker.clone(), Worker::new(spec.clone()));
        EventOutcome::Applied
    }

    fn worker_gone(&mut self, incarnation: &WorkerIncarnation) -> EventOutcome {
        if self.worker(incarnation).is_none() {
            return EventOutcome::Stale;
        }
        let Some(worker) = self.workers.remove(&incarnation.worker) else {
            return EventOutcome::Stale;
        };
        for run in worker.runs.keys() {
            self.end_run(*run, RunOutcome::Lapsed, &Arc::from(""));
        }
        EventOutcome::Applied
    }

    fn start(&mut self, group: &[Assignment]) -> EventOutcome {
        if group.is_empty() || !self.may_start(group) {
            return EventOutcome::Stale;
        }
        for assignment in group {
            self.start_one(assignment);
        }
        EventOutcome::Applied
    }

    fn may_start(&self, group: &[Assignment]) -> bool {
        // A gang has thousands of tasks of one step, and whether it is ready depends on as many.
        let steps: BTreeSet<StepId> = group.iter().map(|a| a.run.task.step).collect();
        if !steps.into_iter().all(|step| self.is_startable(step)) {
            return false;
        }
        let mut free = BTreeMap::new();
        group.iter().all(|a| {
            let step = a.run.task.step;
            let Some(job) = self.jobs.get(&step.job) else { return false };
            let Some(spec) = job.step_spec(step.step) else { return false };
            let Some(worker) = self.worker(&a.incarnation) else { return false };
            let remaining = free.entry(&a.incarnation.worker).or_insert_with(|| worker.free());
            let fits = remaining.fits(&spec.allocation());
            *remaining = remaining.minus(&spec.allocation());
            let open = job.task(a.run.task).is_none_or(|t| {
                let alone = t.active_runs.is_empty() || spec.speculation;
                !t.done && alone && t.last_run < a.run.run
            });
            let exists = a.run.task.index < spec.count;
            exists && open && fits && !worker.spec.leaving && !self.is_worker_drained(worker)
        })
    }

    /// Whether tasks of a step may be started, as far as its job decides it.
    fn is_startable(&self, step: StepId) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        job.phase.is_active()
            && !self.done_occurrences.contains(step.job, step.occurrence)
            && job.is_ready(step.occurrence, step.step)
    }

    fn start_one(&mut self, assignment: &Assignment) {
        let at = self.log_time;
        let run = assignment.run;
        let Some(job) = self.jobs.get_mut(&run.task.step.job) else { return };
        let Some(allocation) = job.step_spec(run.task.step.step).map(Step::allocation) else {
            return;
        };
        job.phase = Phase::Running;
        job.steps_mut(run.task.step.occurrence);
        let Some(task) = job.task_mut(run.task) else { return };
        task.last_run = run.run;
        task.active_runs.push(ActiveRun {
            run: run.run,
            incarnation: assignment.incarnation.clone(),
            assigned_at: at,
            checkpoint: assignment.checkpoint.clone(),
            permit: assignment.permit.clone(),
            stopping: false,
        });
        if let Some(worker) = self.workers.get_mut(&assignment.incarnation.worker) {
            worker.runs.insert(run, allocation);
        }
    }

    fn stop(&mut self, runs: &[RunId]) -> EventOutcome {
        let mut outcome = EventOutcome::Stale;
        for run in runs {
            let job = self.jobs.get_mut(&run.task.step.job);
            let Some(task) = job.and_then(|j| j.task_mut(run.task)) else { continue };
            for active in task.active_runs.iter_mut().filter(|r| r.run == run.run) {
                active.stopping = true;
                outcome = EventOutcome::Applied;
            }
        }
        outcome
    }

    fn end_runs(&mut self, incarnation: &WorkerIncarnation, ends: &[RunEnd]) -> EventOutcome {
        let Some(worker) = self.worker(incarnation) else { return EventOutcome::Stale };
        let cursor = worker.cursor;
        let fresh: Vec<&RunEnd> = ends.iter().filter(|e| e.number > cursor).collect();
        let Some(last) = fresh.last() else { return EventOutcome::Known };
        let last = last.number;
        for end in fresh {
            self.end_run_on(incarnation, end);
        }
        if let Some(worker) = self.workers.get_mut(&incarnation.worker) {
            worker.cursor = last;
        }
        EventOutcome::Applied
    }

    /// Ends a run that this worker holds. A worker's report on a run that it does not hold is
    /// ignored.
    fn end_run_on(&mut self, incarnation: &WorkerIncarnation, end: &RunEnd) {
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else { return };
        if worker.runs.remove(&end.run).is_none() {
            return;
        }
        self.update_failures(incarnation, end);
        self.end_run(end.run, end.outcome, &end.checkpoint);
    }

    /// Updates a worker's consecutive failures after a run has ended. A step that has also failed on
    /// another worker and of which no task is done is probably at fault itself, so its failures do
    /// not count against the worker.
    fn update_failures(&mut self, incarnation: &WorkerIncarnation, end: &RunEnd) {
        let at = self.log_time;
        let Some(job) = self.jobs.get_mut(&end.run.task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else { return };
        match end.outcome {
            RunOutcome::Done => worker.failures.count = 0,
            RunOutcome::Failed => {
                let step = job.step(end.run.task.step.occurrence, end.run.task.step.step);
                let step_at_fault =
                    step.is_some_and(|s| s.has_failed_elsewhere(&incarnation.worker));
                let since =
                    job.active_run(end.run).map_or(Duration::MAX, |r| at.since(r.assigned_at));
                if !step_at_fault {
                    worker.failures.count += if since < EARLY_FAILURE { 2 } else { 1 };
                    worker.failures.last_at = at;
                }
                let Some(task) = job.task_mut(end.run.task) else { return };
                if !task.failed_on.contains(&incarnation.worker) {
                    task.failed_on.push(incarnation.worker.clone());
                }
            }
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {}
        }
    }

    fn refuse(&mut self, incarnation: &WorkerIncarnation, run: RunId) -> EventOutcome {
        if self.worker(incarnation).is_none() {
            return EventOutcome::Stale;
        }
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else {
            return EventOutcome::Stale;
        };
        if worker.runs.remove(&run).is_none() {
            return EventOutcome::Known;
        }
        self.end_run(run, RunOutcome::Stopped, &Arc::from(""));
        EventOutcome::Applied
    }

    /// Records the end of a run that no worker holds any more.
    fn end_run(&mut self, run: RunId, outcome: RunOutcome, checkpoint: &Arc<str>) {
        let at = self.log_time;
        let Some(job) = self.jobs.get_mut(&run.task.step.job) else { return };
        let Some(spec) = job.step_spec(run.task.step.step).cloned() else { return };
        let Some(task) = job.task_mut(run.task) else { return };
        task.active_runs.retain(|r| r.run != run.run);
        task.ended_at = at;
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.clone();
        }
        if outcome == RunOutcome::Done {
            self.crashes.forget_task(run.task);
        }
        match outcome {
            RunOutcome::Done if !spec.long_lived => mark_done(job, run.task, spec.gang),
            RunOutcome::Failed if !spec.long_lived => count_failure(job, run, spec.gang),
            _ => {}
        }
        self.update_phase(run.task);
    }

    /// Moves the job to a final phase if the end of the task decides it.
    fn update_phase(&mut self, task: TaskId) {
        let at = self.log_time;
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        if !job.phase.is_active() {
            return;
        }
        let attempts = self.attempts(job);
        let occurrence = task.step.occurrence;
        let exhausted = |s: &StepState| {
            s.failures >= attempts || s.tasks.iter().any(|t| t.failures >= attempts)
        };
        let steps = job.occurrences.get(&occurrence);
        let failed = steps.is_some_and(|s| s.iter().any(exhausted));
        self.close_occurrence(task.step.job, occurrence);
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let done = self.count_done(job);
        let all = done == u64::from(job.spec.occurrences());
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        job.done_occurrences = done as u32;
        if failed {
            job.phase = Phase::Failed;
            job.finished = Some(at);
        } else if all {
            job.phase = Phase::Completed;
            job.finished = Some(at);
        }
        if failed || all {
            self.crashes.forget_tasks_of(task.step.job);
            self.done_occurrences.forget(task.step.job);
        }
    }
}

/// One member that is done completes the whole gang.
fn mark_done(job: &mut Job, task: TaskId, gang: bool) {
    let occurrence = task.step.occurrence;
    let Some(steps) = job.occurrences.get_mut(&occurrence) else { return };
    let Some(step) = steps.get_mut(usize::from(task.step.step)) else { return };
    for (i, member) in step.tasks.iter_mut().enumerate() {
        if gang || i == task.index as usize {
            member.done = true;
        }
    }
}

fn count_failure(job: &mut Job, run: RunId, gang: bool) {
    let step = run.task.step;
    let Some(steps) = job.occurrences.get_mut(&step.occurrence) else { return };
    let Some(state) = steps.get_mut(usize::from(step.step)) else { return };
    if gang {
        if run.run > state.failed_run {
            state.failed_run = run.run;
            state.failures += 1;
        }
        return;
    }
    if let Some(task) = state.tasks.get_mut(run.task.index as usize) {
        task.failures += 1;
    }
}
