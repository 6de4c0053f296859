//! How each event changes the ledger.

use {
    crate::{
        config::Config,
        id::{JobId, RunId, TaskId, WorkerIncarnation},
        ledger::{
            Assignment, End, Event, How, Job, KEEP, Ledger, Live, Phase, Record, StepState,
            Verdict, Wave, WaveSpec, Worker, WorkerSpec,
        },
        spec::{JobSpec, Step},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// A run that fails this soon after it was given out has hardly begun: that counts twice against
/// its worker.
const AT_ONCE: Duration = Duration::from_millis(400);

impl Ledger {
    /// Applies a record; the verdicts follow the order of its events.
    pub fn apply(&mut self, record: &Record) -> Vec<Verdict> {
        self.at = self.at.max(record.at);
        self.serial += 1;
        self.forget();
        record.events.iter().map(|e| self.apply_event(e)).collect()
    }

    fn apply_event(&mut self, event: &Event) -> Verdict {
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
        }
    }

    fn order_wave(&mut self, spec: &Arc<WaveSpec>) -> Verdict {
        if self.waves.contains_key(&spec.id) {
            return Verdict::Known;
        }
        let wave = Wave { spec: Arc::clone(spec), since: self.at, begun: BTreeSet::new() };
        self.waves.insert(spec.id, wave);
        Verdict::Applied
    }

    fn begin_maintenance(&mut self, wave: u64, machine: &Arc<str>) -> Verdict {
        let Some(wave) = self.waves.get_mut(&wave) else { return Verdict::Stale };
        if !wave.spec.machines.contains(machine) {
            return Verdict::Stale;
        }
        let news = wave.begun.insert(Arc::clone(machine));
        if news { Verdict::Applied } else { Verdict::Known }
    }

    /// Drops jobs that have been in a final phase for long.
    fn forget(&mut self) {
        let at = self.at;
        let old = |j: &Job| j.finished.is_some_and(|f| at.since(f) > KEEP);
        self.jobs.retain(|_, j| !old(j) || j.is_held());
    }

    fn configure(&mut self, config: &Arc<Config>) -> Verdict {
        if self.config.as_ref().is_some_and(|c| c.version >= config.version) {
            return Verdict::Known;
        }
        self.config = Some(Arc::clone(config));
        Verdict::Applied
    }

    fn submit(&mut self, spec: &Arc<JobSpec>) -> Verdict {
        if self.jobs.contains_key(&spec.id) {
            return Verdict::Known;
        }
        let queue = self.config.as_ref().and_then(|c| c.queue(&spec.queue));
        let Some(queue) = queue else { return Verdict::Stale };
        let job = Job {
            spec: Arc::clone(spec),
            phase: Phase::Queued,
            submitted: self.at,
            finished: None,
            attempts: queue.attempts,
            service: queue.service.clone(),
            priority: queue.priority,
            occurrences: BTreeMap::new(),
            done: 0,
        };
        self.jobs.insert(spec.id, job);
        Verdict::Applied
    }

    fn cancel(&mut self, id: JobId) -> Verdict {
        let at = self.at;
        let Some(job) = self.jobs.get_mut(&id) else { return Verdict::Stale };
        if !job.phase.is_active() {
            return Verdict::Known;
        }
        job.phase = Phase::Cancelled;
        job.finished = Some(at);
        Verdict::Applied
    }

    fn worker_up(&mut self, spec: &WorkerSpec) -> Verdict {
        let verdict = self.take_worker(spec);
        if verdict == Verdict::Applied {
            self.end_former_lives(spec);
        }
        verdict
    }

    /// One worker runs beside an agent at a time: a younger one means that the former is gone,
    /// under whatever name.
    fn end_former_lives(&mut self, spec: &WorkerSpec) {
        let former = |w: &&Worker| {
            w.spec.agent == spec.agent
                && w.spec.incarnation.worker != spec.incarnation.worker
                && w.spec.incarnation.started_at < spec.incarnation.started_at
        };
        let lives: Vec<WorkerIncarnation> =
            self.workers.values().filter(former).map(|w| w.spec.incarnation.clone()).collect();
        for incarnation in &lives {
            self.worker_gone(incarnation);
        }
    }

    fn take_worker(&mut self, spec: &WorkerSpec) -> Verdict {
        let known = self.workers.get_mut(&spec.incarnation.worker);
        let Some(worker) = known else {
            self.workers.insert(spec.incarnation.worker.clone(), Worker::new(spec.clone()));
            return Verdict::Applied;
        };
        if worker.spec == *spec {
            return Verdict::Known;
        }
        if worker.spec.incarnation.started_at > spec.incarnation.started_at {
            return Verdict::Stale;
        }
        if worker.spec.incarnation == spec.incarnation {
            // A worker that is leaving does not come back in this life.
            let leaving = worker.spec.leaving || spec.leaving;
            worker.spec = WorkerSpec { leaving, ..spec.clone() };
            return Verdict::Applied;
        }
        let old = worker.spec.incarnation.clone();
        self.worker_gone(&old);
        self.workers.insert(spec.incarnation.worker.clone(), Worker::new(spec.clone()));
        Verdict::Applied
    }

    fn worker_gone(&mut self, incarnation: &WorkerIncarnation) -> Verdict {
        if self.worker(incarnation).is_none() {
            return Verdict::Stale;
        }
        let Some(worker) = self.workers.remove(&incarnation.worker) else { return Verdict::Stale };
        for run in worker.runs.keys() {
            self.end_run(*run, How::Lapsed, &Arc::from(""));
        }
        Verdict::Applied
    }

    fn start(&mut self, group: &[Assignment]) -> Verdict {
        if group.is_empty() || !self.may_start(group) {
            return Verdict::Stale;
        }
        for assignment in group {
            self.start_one(assignment);
        }
        Verdict::Applied
    }

    fn may_start(&self, group: &[Assignment]) -> bool {
        let mut free = BTreeMap::new();
        group.iter().all(|a| {
            let step = a.run.task.step;
            let Some(job) = self.jobs.get(&step.job) else { return false };
            let Some(shape) = job.shape(step.step) else { return false };
            let Some(worker) = self.worker(&a.incarnation) else { return false };
            let room = free.entry(&a.incarnation.worker).or_insert_with(|| worker.free());
            let fits = room.fits(&shape.allocation());
            *room = room.minus(&shape.allocation());
            let open = job.task(a.run.task).is_none_or(|t| {
                let alone = t.lives.is_empty() || shape.speculation;
                !t.done && alone && t.run < a.run.run
            });
            let listed = a.run.task.index < shape.count;
            job.phase.is_active()
                && listed
                && open
                && fits
                && !worker.spec.leaving
                && job.is_ready(step.occurrence, step.step)
        })
    }

    fn start_one(&mut self, assignment: &Assignment) {
        let at = self.at;
        let run = assignment.run;
        let Some(job) = self.jobs.get_mut(&run.task.step.job) else { return };
        let Some(taken) = job.shape(run.task.step.step).map(Step::allocation) else { return };
        job.phase = Phase::Running;
        job.steps_mut(run.task.step.occurrence);
        let Some(task) = job.task_mut(run.task) else { return };
        task.run = run.run;
        task.lives.push(Live {
            run: run.run,
            incarnation: assignment.incarnation.clone(),
            since: at,
            saved: assignment.saved.clone(),
            ticket: assignment.ticket.clone(),
            stopping: false,
        });
        if let Some(worker) = self.workers.get_mut(&assignment.incarnation.worker) {
            worker.runs.insert(run, taken);
        }
    }

    fn stop(&mut self, runs: &[RunId]) -> Verdict {
        let mut verdict = Verdict::Stale;
        for run in runs {
            let job = self.jobs.get_mut(&run.task.step.job);
            let Some(task) = job.and_then(|j| j.task_mut(run.task)) else { continue };
            for live in task.lives.iter_mut().filter(|l| l.run == run.run) {
                live.stopping = true;
                verdict = Verdict::Applied;
            }
        }
        verdict
    }

    fn end_runs(&mut self, incarnation: &WorkerIncarnation, ends: &[End]) -> Verdict {
        let Some(worker) = self.worker(incarnation) else { return Verdict::Stale };
        let cursor = worker.cursor;
        let fresh: Vec<&End> = ends.iter().filter(|e| e.number > cursor).collect();
        let Some(last) = fresh.last() else { return Verdict::Known };
        let last = last.number;
        for end in fresh {
            self.end_at(incarnation, end);
        }
        if let Some(worker) = self.workers.get_mut(&incarnation.worker) {
            worker.cursor = last;
        }
        Verdict::Applied
    }

    /// Ends a run that this worker holds; a worker's word on another worker's run means nothing.
    fn end_at(&mut self, incarnation: &WorkerIncarnation, end: &End) {
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else { return };
        if worker.runs.remove(&end.run).is_none() {
            return;
        }
        self.judge(incarnation, end);
        self.end_run(end.run, end.how, &end.saved);
    }

    /// Keeps evidence on a worker and on a step apart: a step that has failed elsewhere too, and of
    /// which nothing is done, says nothing against the worker.
    fn judge(&mut self, incarnation: &WorkerIncarnation, end: &End) {
        let at = self.at;
        let Some(job) = self.jobs.get_mut(&end.run.task.step.job) else { return };
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else { return };
        match end.how {
            How::Done => worker.conduct.failures = 0,
            How::Failed => {
                let step = job.step(end.run.task.step.occurrence, end.run.task.step.step);
                let suspect = step.is_some_and(|s| s.has_failed_beside(&incarnation.worker));
                let since = job.live(end.run).map_or(Duration::MAX, |l| at.since(l.since));
                if !suspect {
                    worker.conduct.failures += if since < AT_ONCE { 2 } else { 1 };
                    worker.conduct.at = at;
                }
                let Some(task) = job.task_mut(end.run.task) else { return };
                if !task.failed.contains(&incarnation.worker) {
                    task.failed.push(incarnation.worker.clone());
                }
            }
            How::Stopped | How::Lapsed | How::Broken | How::Alone => {}
        }
    }

    fn refuse(&mut self, incarnation: &WorkerIncarnation, run: RunId) -> Verdict {
        if self.worker(incarnation).is_none() {
            return Verdict::Stale;
        }
        let Some(worker) = self.workers.get_mut(&incarnation.worker) else { return Verdict::Stale };
        if worker.runs.remove(&run).is_none() {
            return Verdict::Known;
        }
        self.end_run(run, How::Stopped, &Arc::from(""));
        Verdict::Applied
    }

    /// Notes the end of a run that no worker holds any more.
    fn end_run(&mut self, run: RunId, how: How, saved: &Arc<str>) {
        let at = self.at;
        let Some(job) = self.jobs.get_mut(&run.task.step.job) else { return };
        let Some(shape) = job.shape(run.task.step.step).cloned() else { return };
        let Some(task) = job.task_mut(run.task) else { return };
        task.lives.retain(|l| l.run != run.run);
        task.ended = at;
        if !saved.is_empty() {
            task.saved = saved.clone();
        }
        match how {
            How::Done if !shape.long_lived => mark_done(job, run.task, shape.gang),
            How::Failed if !shape.long_lived => count_failure(job, run, shape.gang),
            _ => {}
        }
        self.conclude(run.task);
    }

    /// Moves the job to its final phase where the task's end decides it.
    fn conclude(&mut self, task: TaskId) {
        let at = self.at;
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        if !job.phase.is_active() {
            return;
        }
        let attempts = self.attempts(job);
        let occurrence = task.step.occurrence;
        let worn = |s: &StepState| {
            s.failures >= attempts || s.tasks.iter().any(|t| t.failures >= attempts)
        };
        let steps = job.occurrences.get(&occurrence);
        let failed = steps.is_some_and(|s| s.iter().any(worn));
        let done = job.occurrences.values().filter(|s| s.iter().all(StepState::is_done)).count();
        let all = done == job.spec.occurrences() as usize;
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        job.done = done as u32;
        if failed {
            job.phase = Phase::Failed;
            job.finished = Some(at);
        } else if all {
            job.phase = Phase::Completed;
            job.finished = Some(at);
        }
    }
}

/// The end of one member stands for the whole gang.
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
        if run.run > state.failed {
            state.failed = run.run;
            state.failures += 1;
        }
        return;
    }
    if let Some(task) = state.tasks.get_mut(run.task.index as usize) {
        task.failures += 1;
    }
}
