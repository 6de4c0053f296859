//! Log lines and counters of what the log has taken: one line a decision, with the job's id.

use {
    crate::telemetry::{Event as _, event},
    bronzespool::{
        batch::{
            Event, EventOutcome, JobId, Ledger, Phase, Record, RunId, WorkerIncarnation,
            ledger::{Assignment, Job, RunEnd, RunOutcome, StopCause},
        },
        core::{HashMap, Instance, Time},
    },
    std::{sync::Arc, time::Duration},
};

/// Time after which a stop that has not ended its run is forgotten here.
const STOP_MAX: Duration = Duration::from_secs(60);
/// Thousandths of a core times milliseconds, in a core-second.
const MILLI_MILLI: u64 = 1_000_000;

/// What is told of applied records, and what that takes beside the ledger.
#[derive(Debug, Default)]
pub(super) struct Story {
    /// When runs were ordered to stop for others.
    stops: HashMap<RunId, Time>,
}

/// What a record may change, as it was before.
pub(super) struct Held {
    phases: Vec<(JobId, Phase)>,
    losses: HashMap<RunId, Loss>,
}

/// Work that is lost if a run ends without a newer checkpoint.
struct Loss {
    since: Time,
    saved: Arc<str>,
    /// Thousandths of a core.
    weight: u64,
}

impl Held {
    pub(super) fn of(ledger: &Ledger, events: &[Event]) -> Self {
        let ids = events.iter().flat_map(|e| touched(ledger, e));
        let mut phases: Vec<_> =
            ids.filter_map(|id| ledger.job(id).map(|j| (id, j.phase))).collect();
        phases.sort_unstable_by_key(|(id, _)| *id);
        phases.dedup_by_key(|(id, _)| *id);
        let ends = events.iter().filter_map(|e| match e {
            Event::Ended { ends, .. } => Some(ends),
            _ => None,
        });
        let losses = ends.flatten().filter_map(|e| Some((e.run, loss(ledger, e.run)?))).collect();
        Self { phases, losses }
    }
}

fn loss(ledger: &Ledger, run: RunId) -> Option<Loss> {
    let live = ledger.active_run(run)?;
    let weight = ledger.job(run.task.step.job)?.step_spec(run.task.step.step)?.need.weight();
    Some(Loss { since: live.assigned_at, saved: Arc::clone(&live.checkpoint), weight })
}

/// Jobs that an event may bring to a final phase.
fn touched(ledger: &Ledger, event: &Event) -> Vec<JobId> {
    match event {
        Event::Cancelled(id) => vec![*id],
        Event::Ended { ends, .. } => ends.iter().map(|e| e.run.task.step.job).collect(),
        Event::WorkerGone(life) => {
            let runs = ledger.worker(life).into_iter().flat_map(|w| w.runs.keys());
            runs.map(|r| r.task.step.job).collect()
        }
        _ => Vec::new(),
    }
}

impl Story {
    /// Logs and counts a record that was applied; `heard` tells the age of what an agent last
    /// said.
    pub(super) fn tell(
        &mut self,
        ledger: &Ledger,
        held: &Held,
        record: &Record,
        verdicts: &[EventOutcome],
        heard: impl Fn(&Instance) -> Option<Duration>,
    ) {
        for (event, verdict) in record.events.iter().zip(verdicts) {
            tell_event(ledger, event, *verdict, &heard);
            self.measure(ledger, held, event);
        }
        for (id, before) in &held.phases {
            let Some(job) = ledger.job(*id) else { continue };
            if before.is_active() && !job.phase.is_active() {
                tell_job_end(*id, job);
            }
        }
    }

    /// Counts how long room takes to come back, and what work is lost with it.
    fn measure(&mut self, ledger: &Ledger, held: &Held, event: &Event) {
        let now = ledger.log_time();
        match event {
            Event::Stopping { runs, cause: StopCause::Reclaimed(_) } => {
                self.stops.retain(|_, since| now.since(*since) < STOP_MAX);
                self.stops.extend(runs.iter().map(|r| (*r, now)));
            }
            Event::Ended { ends, .. } => {
                for end in ends {
                    if let Some(since) = self.stops.remove(&end.run) {
                        metrics::histogram!("bronzespool_batch_reclaim_seconds")
                            .record(now.since(since).as_secs_f64());
                    }
                    let Some(loss) = held.losses.get(&end.run) else { continue };
                    if end.outcome != RunOutcome::Done && end.checkpoint == loss.saved {
                        let millis = now.since(loss.since).as_millis() as u64;
                        let lost = millis * loss.weight / MILLI_MILLI;
                        metrics::counter!("bronzespool_batch_lost_core_seconds_total")
                            .increment(lost);
                    }
                }
            }
            _ => {}
        }
    }
}

fn tell_job_end(id: JobId, job: &Job) {
    let took = job.finished.map_or(0, |f| f.since(job.submitted).as_millis() as u64);
    metrics::counter!("bronzespool_batch_jobs_total", "phase" => name(job.phase)).increment(1);
    event::JobEnded { job: id, phase: job.phase, took_ms: took }.emit();
}

const fn name(phase: Phase) -> &'static str {
    match phase {
        Phase::Queued => "queued",
        Phase::Running => "running",
        Phase::Completed => "completed",
        Phase::Failed => "failed",
        Phase::Cancelled => "cancelled",
    }
}

fn tell_event(
    ledger: &Ledger,
    event: &Event,
    verdict: EventOutcome,
    heard: &impl Fn(&Instance) -> Option<Duration>,
) {
    match event {
        Event::Configured(config) => {
            event::ConfigTaken { version: config.version, verdict }.emit();
        }
        Event::Submitted(spec) => {
            metrics::counter!("bronzespool_batch_submitted_total").increment(1);
            event::JobSubmitted {
                job: spec.id,
                queue: Arc::clone(&spec.queue),
                team: spec.team.clone(),
                version: ledger.config().map_or(0, |c| c.version),
                verdict,
            }
            .emit();
        }
        Event::Cancelled(id) => event::JobCancelled { job: *id, verdict }.emit(),
        Event::WorkerUp(spec) => {
            let (life, agent) = (spec.incarnation.clone(), spec.agent.clone());
            let rack = spec.rack().into();
            event::WorkerUp { life, agent, rack, leaving: spec.leaving, verdict }.emit();
        }
        Event::WorkerGone(life) => {
            metrics::counter!("bronzespool_batch_workers_gone_total").increment(1);
            event::WorkerGone { life: life.clone(), verdict }.emit();
        }
        Event::Started(group) => group.iter().for_each(|a| tell_start(ledger, a, verdict, heard)),
        Event::Stopping { runs, cause } => runs.iter().for_each(|r| tell_stop(*r, *cause)),
        Event::Ended { incarnation: life, ends } => ends.iter().for_each(|e| tell_end(life, e)),
        Event::Refused { incarnation: life, run } => {
            metrics::counter!("bronzespool_batch_refused_total").increment(1);
            event::RunRefused { job: run.task.step.job, run: *run, life: life.clone() }.emit();
        }
        Event::WaveOrdered(spec) => {
            let machines = spec.machines.len();
            event::WaveOrdered { wave: spec.id, machines, most: spec.down_max, verdict }.emit();
        }
        Event::MaintenanceBegun { wave, machine } => {
            event::MaintenanceBegun { wave: *wave, machine: machine.clone(), verdict }.emit();
        }
    }
}

fn tell_start(
    ledger: &Ledger,
    given: &Assignment,
    verdict: EventOutcome,
    heard: &impl Fn(&Instance) -> Option<Duration>,
) {
    let id = given.run.task.step.job;
    let Some(job) = ledger.job(id) else { return };
    let waited = ledger.log_time().since(job.submitted);
    if given.run.run == 1 {
        metrics::histogram!("bronzespool_batch_wait_seconds").record(waited.as_secs_f64());
    }
    let age = ledger.worker(&given.incarnation).and_then(|w| heard(&w.spec.agent));
    event::RunAssigned {
        job: id,
        run: given.run,
        life: given.incarnation.clone(),
        waited_ms: waited.as_millis() as u64,
        priority: ledger.priority(job),
        resumed: !given.checkpoint.is_empty(),
        heard_ms: age.map(|a| a.as_millis() as u64),
        verdict,
    }
    .emit();
}

fn tell_stop(run: RunId, cause: StopCause) {
    let (cause, by) = match cause {
        StopCause::Broken => ("broken", None),
        StopCause::Reclaimed(job) => ("reclaimed", Some(job)),
        StopCause::Stalled => ("stalled", None),
        StopCause::Maintenance => ("maintenance", None),
    };
    metrics::counter!("bronzespool_batch_stops_total", "cause" => cause).increment(1);
    event::RunStopping { job: run.task.step.job, run, cause, by }.emit();
}

fn tell_end(life: &WorkerIncarnation, end: &RunEnd) {
    let how = format!("{:?}", end.outcome).to_lowercase();
    metrics::counter!("bronzespool_batch_ends_total", "how" => how).increment(1);
    event::RunEnded {
        job: end.run.task.step.job,
        run: end.run,
        life: life.clone(),
        how: end.outcome,
        number: end.number,
        saved: !end.checkpoint.is_empty(),
    }
    .emit();
}
