//! Log lines and counters for committed batch events: one line per decision, with the job's id.

use {
    crate::telemetry::{Event as _, event},
    bronzespool::{
        batch::{
            Event, EventOutcome, JobId, Ledger, Phase, Record, RunId, WorkerIncarnation,
            crash::Crash,
            ledger::{Assignment, Job, RunEnd, RunOutcome, StopCause, Worker, WorkerSpec},
        },
        core::{HashMap, Instance, Time},
    },
    std::{sync::Arc, time::Duration},
};

/// Time after which a stop whose run has not ended is forgotten here.
const STOP_RETENTION: Duration = Duration::from_secs(60);
/// Millicore-milliseconds in a core-second.
const MILLICORE_MILLIS: u64 = 1_000_000;

/// Logs and counts applied records, with the state that this needs beyond the ledger.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    /// When runs were ordered to stop in favour of other jobs.
    stops: HashMap<RunId, Time>,
}

/// State that a record may change, captured before the record is applied.
pub(super) struct PriorState {
    phases: Vec<(JobId, Phase)>,
    unsaved: HashMap<RunId, UnsavedWork>,
    /// Workers that a record may end.
    held: Vec<Held>,
}

/// A worker with its runs.
struct Held {
    life: WorkerIncarnation,
    agent: Instance,
    runs: Vec<RunId>,
}

/// Work that is lost if a run ends without a newer checkpoint.
struct UnsavedWork {
    assigned_at: Time,
    checkpoint: Arc<str>,
    /// Weight of the run in thousandths of a core.
    weight: u64,
}

impl PriorState {
    pub(super) fn capture(ledger: &Ledger, events: &[Event]) -> Self {
        let ids = events.iter().flat_map(|e| affected_jobs(ledger, e));
        let mut phases: Vec<_> =
            ids.filter_map(|id| ledger.job(id).map(|j| (id, j.phase))).collect();
        phases.sort_unstable_by_key(|(id, _)| *id);
        phases.dedup_by_key(|(id, _)| *id);
        let ends = events.iter().filter_map(|e| match e {
            Event::Ended { ends, .. } => Some(ends),
            _ => None,
        });
        let unsaved =
            ends.flatten().filter_map(|e| Some((e.run, unsaved_work(ledger, e.run)?))).collect();
        let held = ledger.workers().filter(|w| events.iter().any(|e| may_end(e, w)));
        Self { phases, unsaved, held: held.map(Held::from).collect() }
    }
}

impl From<&Worker> for Held {
    fn from(worker: &Worker) -> Self {
        let WorkerSpec { incarnation, agent, .. } = &worker.spec;
        let runs = worker.runs.keys().copied().collect();
        Self { life: incarnation.clone(), agent: agent.clone(), runs }
    }
}

/// Whether an event may end a worker: by its name, or since another one has taken its place.
fn may_end(event: &Event, worker: &Worker) -> bool {
    let life = &worker.spec.incarnation;
    match event {
        Event::WorkerGone(gone) => gone == life,
        Event::WorkerUp(spec) => succeeds(spec, life, &worker.spec.agent),
        _ => false,
    }
}

/// Whether a worker that is reported stands where another one stood, or has its name.
fn succeeds(spec: &WorkerSpec, life: &WorkerIncarnation, agent: &Instance) -> bool {
    let is_same_place = spec.agent == *agent || spec.incarnation.worker == life.worker;
    is_same_place && spec.incarnation != *life
}

fn unsaved_work(ledger: &Ledger, run: RunId) -> Option<UnsavedWork> {
    let active = ledger.active_run(run)?;
    let weight = ledger.job(run.task.step.job)?.step_spec(run.task.step.step)?.need.weight();
    Some(UnsavedWork {
        assigned_at: active.assigned_at,
        checkpoint: Arc::clone(&active.checkpoint),
        weight,
    })
}

/// Jobs that an event may bring to a final phase.
fn affected_jobs(ledger: &Ledger, event: &Event) -> Vec<JobId> {
    match event {
        Event::Cancelled(id) => vec![*id],
        Event::Ended { ends, .. } => ends.iter().map(|e| e.run.task.step.job).collect(),
        Event::Crashed(crash) => crash.runs.iter().map(|r| r.run.task.step.job).collect(),
        Event::WorkerGone(incarnation) => {
            let runs = ledger.worker(incarnation).into_iter().flat_map(|w| w.runs.keys());
            runs.map(|r| r.task.step.job).collect()
        }
        _ => Vec::new(),
    }
}

impl DecisionLog {
    /// Logs and counts an applied record, which took `commit_time` to commit. `poll_age` returns the
    /// age of an agent's latest poll.
    pub(super) fn log_record(
        &mut self,
        ledger: &Ledger,
        prior_state: &PriorState,
        record: &Record,
        outcomes: &[EventOutcome],
        commit_time: Duration,
        poll_age: impl Fn(&Instance) -> Option<Duration>,
    ) {
        for (event, outcome) in record.events.iter().zip(outcomes) {
            log_event(ledger, prior_state, event, *outcome, commit_time, &poll_age);
            self.record_metrics(ledger, prior_state, event);
        }
        log_freed_runs(ledger, prior_state, (record, outcomes), commit_time);
        for (id, before) in &prior_state.phases {
            let Some(job) = ledger.job(*id) else { continue };
            if before.is_active() && !job.phase.is_active() {
                log_job_end(ledger, *id, job);
            }
        }
    }

    /// Measures how long reclaimed capacity takes to become free, and how much work is lost with
    /// it.
    fn record_metrics(&mut self, ledger: &Ledger, prior_state: &PriorState, event: &Event) {
        let now = ledger.log_time();
        match event {
            Event::Stopping { runs, cause: StopCause::Reclaimed(_) } => {
                self.stops.retain(|_, since| now.since(*since) < STOP_RETENTION);
                self.stops.extend(runs.iter().map(|r| (*r, now)));
            }
            Event::Ended { ends, .. } => {
                for end in ends {
                    if let Some(since) = self.stops.remove(&end.run) {
                        metrics::histogram!("bronzespool_batch_reclaim_seconds")
                            .record(now.since(since).as_secs_f64());
                    }
                    let Some(work) = prior_state.unsaved.get(&end.run) else { continue };
                    if end.outcome != RunOutcome::Done && end.checkpoint == work.checkpoint {
                        let millis = now.since(work.assigned_at).as_millis() as u64;
                        let lost = millis * work.weight / MILLICORE_MILLIS;
                        metrics::counter!("bronzespool_batch_lost_core_seconds_total")
                            .increment(lost);
                    }
                }
            }
            _ => {}
        }
    }
}

/// Logs each run that a record has freed together with its worker. A run whose end the worker has
/// reported in the same record is none of these.
fn log_freed_runs(
    ledger: &Ledger,
    prior_state: &PriorState,
    (record, outcomes): (&Record, &[EventOutcome]),
    commit_time: Duration,
) {
    let applied = record.events.iter().zip(outcomes).filter(|(_, o)| **o == EventOutcome::Applied);
    let applied: Vec<&Event> = applied.map(|(event, _)| event).collect();
    for Held { life, agent, runs } in &prior_state.held {
        let is_gone = applied.iter().any(|e| matches!(e, Event::WorkerGone(i) if i == life));
        let successor = applied.iter().find_map(|e| match e {
            Event::WorkerUp(spec) if succeeds(spec, life, agent) => Some(&spec.incarnation),
            _ => None,
        });
        if ledger.worker(life).is_some() || !is_gone && successor.is_none() {
            continue;
        }
        for run in runs.iter().filter(|r| !applied.iter().any(|e| settles(e, **r))) {
            metrics::counter!("bronzespool_batch_freed_runs_total").increment(1);
            event::RunFreed {
                job: run.task.step.job,
                run: *run,
                life: life.clone(),
                successor: successor.filter(|_| !is_gone).cloned(),
                commit_ms: commit_time.as_millis() as u64,
            }
            .emit();
        }
    }
}

/// Whether an event tells what has become of a run.
fn settles(event: &Event, run: RunId) -> bool {
    match event {
        Event::Ended { ends, .. } => ends.iter().any(|e| e.run == run),
        Event::Refused { run: refused, .. } => *refused == run,
        _ => false,
    }
}

fn log_job_end(ledger: &Ledger, id: JobId, job: &Job) {
    let took = job.finished.map_or(0, |f| f.since(job.submitted).as_millis() as u64);
    metrics::counter!("bronzespool_batch_jobs_total", "phase" => phase_name(job.phase))
        .increment(1);
    let failure = ledger.failure(id);
    if let Some(failure) = &failure {
        let cause = failure.name();
        metrics::counter!("bronzespool_batch_failed_jobs_total", "cause" => cause).increment(1);
    }
    let cause = failure.map(|f| f.to_string());
    event::JobEnded { job: id, phase: job.phase, took_ms: took, cause }.emit();
}

fn log_crash(ledger: &Ledger, crash: &Crash, outcome: EventOutcome, commit_ms: u64) {
    let life = crash.incarnation.clone();
    event::CrashRecorded { life, runs: crash.runs.len(), commit_ms, verdict: outcome }.emit();
    if outcome != EventOutcome::Applied {
        return;
    }
    metrics::counter!("bronzespool_batch_crashes_total").increment(1);
    for run in &crash.runs {
        let task = run.run.task;
        let Some(evidence) = ledger.crashes().of_task(task) else { continue };
        let (crashes, sole) = (evidence.crashes.len(), evidence.sole());
        event::TaskSuspected { job: task.step.job, task, crashes, sole }.emit();
    }
}

fn log_center(ledger: &Ledger, center: &Arc<str>, drained: bool, verdict: EventOutcome) {
    let revision = ledger.drains().state(center).revision;
    let center = Arc::clone(center);
    match drained {
        true => event::CenterDrained { center, revision, verdict }.emit(),
        false => event::CenterRestored { center, revision, verdict }.emit(),
    }
}

const fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Queued => "queued",
        Phase::Running => "running",
        Phase::Completed => "completed",
        Phase::Failed => "failed",
        Phase::Cancelled => "cancelled",
    }
}

fn log_event(
    ledger: &Ledger,
    prior_state: &PriorState,
    event: &Event,
    outcome: EventOutcome,
    commit_time: Duration,
    poll_age: &impl Fn(&Instance) -> Option<Duration>,
) {
    let commit_ms = commit_time.as_millis() as u64;
    match event {
        Event::Configured(config) => {
            event::ConfigTaken { version: config.version, verdict: outcome }.emit();
        }
        Event::Submitted(spec) => {
            metrics::counter!("bronzespool_batch_submitted_total").increment(1);
            event::JobSubmitted {
                job: spec.id,
                queue: Arc::clone(&spec.queue),
                team: spec.team.clone(),
                version: ledger.config().map_or(0, |c| c.version),
                verdict: outcome,
            }
            .emit();
        }
        Event::Cancelled(id) => event::JobCancelled { job: *id, verdict: outcome }.emit(),
        Event::WorkerUp(spec) => {
            let (incarnation, agent) = (spec.incarnation.clone(), spec.agent.clone());
            let rack = spec.rack().into();
            event::WorkerUp {
                life: incarnation,
                agent,
                rack,
                leaving: spec.leaving,
                verdict: outcome,
            }
            .emit();
        }
        Event::WorkerGone(incarnation) => {
            metrics::counter!("bronzespool_batch_workers_gone_total").increment(1);
            event::WorkerGone { life: incarnation.clone(), commit_ms, verdict: outcome }.emit();
        }
        Event::Started(group) => group.iter().for_each(|a| log_start(ledger, a, outcome, poll_age)),
        Event::Stopping { runs, cause } => runs.iter().for_each(|r| log_stop(*r, *cause)),
        Event::Ended { incarnation, ends } => {
            ends.iter().for_each(|e| log_end(prior_state, incarnation, e));
        }
        Event::Refused { incarnation, run } => {
            metrics::counter!("bronzespool_batch_refused_total").increment(1);
            let (job, life) = (run.task.step.job, incarnation.clone());
            event::RunRefused { job, run: *run, life, commit_ms }.emit();
        }
        Event::Crashed(crash) => log_crash(ledger, crash, outcome, commit_ms),
        Event::CenterDrained { center, .. } => log_center(ledger, center, true, outcome),
        Event::CenterRestored { center, .. } => log_center(ledger, center, false, outcome),
        Event::TakenDown(worker) => {
            event::WorkerTakenDown { worker: worker.clone(), verdict: outcome }.emit();
        }
        Event::EstimatesSaved(summary) => {
            metrics::counter!("bronzespool_batch_estimates_saved_total").increment(1);
            event::EstimatesSaved { bytes: summary.len(), commit_ms }.emit();
        }
        Event::WaveOrdered(spec) => {
            let machines = spec.machines.len();
            event::WaveOrdered { wave: spec.id, machines, most: spec.down_max, verdict: outcome }
                .emit();
        }
        Event::MaintenanceBegun { wave, machine } => {
            event::MaintenanceBegun { wave: *wave, machine: machine.clone(), verdict: outcome }
                .emit();
        }
    }
}

fn log_start(
    ledger: &Ledger,
    assignment: &Assignment,
    outcome: EventOutcome,
    poll_age: &impl Fn(&Instance) -> Option<Duration>,
) {
    let id = assignment.run.task.step.job;
    let Some(job) = ledger.job(id) else { return };
    let waited = ledger.log_time().since(job.submitted);
    if assignment.run.run == 1 {
        metrics::histogram!("bronzespool_batch_wait_seconds").record(waited.as_secs_f64());
    }
    let age = ledger.worker(&assignment.incarnation).and_then(|w| poll_age(&w.spec.agent));
    event::RunAssigned {
        job: id,
        run: assignment.run,
        life: assignment.incarnation.clone(),
        waited_ms: waited.as_millis() as u64,
        priority: ledger.priority(job),
        resumed: !assignment.checkpoint.is_empty(),
        heard_ms: age.map(|a| a.as_millis() as u64),
        verdict: outcome,
    }
    .emit();
}

fn log_stop(run: RunId, cause: StopCause) {
    let (cause, by) = match cause {
        StopCause::Broken => ("broken", None),
        StopCause::Reclaimed(job) => ("reclaimed", Some(job)),
        StopCause::Stalled => ("stalled", None),
        StopCause::Maintenance => ("maintenance", None),
        StopCause::Leaving => ("leaving", None),
    };
    metrics::counter!("bronzespool_batch_stops_total", "cause" => cause).increment(1);
    event::RunStopping { job: run.task.step.job, run, cause, by }.emit();
}

fn log_end(prior_state: &PriorState, incarnation: &WorkerIncarnation, end: &RunEnd) {
    let held = prior_state.unsaved.contains_key(&end.run);
    if !held {
        metrics::counter!("bronzespool_batch_ends_ignored_total").increment(1);
    }
    let outcome = format!("{:?}", end.outcome).to_lowercase();
    metrics::counter!("bronzespool_batch_ends_total", "how" => outcome).increment(1);
    event::RunEnded {
        job: end.run.task.step.job,
        run: end.run,
        life: incarnation.clone(),
        how: end.outcome,
        number: end.number,
        held,
        saved: !end.checkpoint.is_empty(),
    }
    .emit();
}
