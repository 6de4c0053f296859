//! Log lines and counters of what the log has taken: one line a decision, with the job's id.

use bronzespool::batch::{
    Event, JobId, Ledger, Phase, Record, RunId, Verdict,
    ledger::{Assignment, Cause, End},
};

/// Phases of the jobs that a record touches, before it is applied.
pub(super) struct Held(Vec<(JobId, Phase)>);

impl Held {
    pub(super) fn of(ledger: &Ledger, events: &[Event]) -> Self {
        let ids = events.iter().flat_map(|e| touched(ledger, e));
        let mut phases: Vec<_> =
            ids.filter_map(|id| ledger.job(id).map(|j| (id, j.phase))).collect();
        phases.sort_unstable_by_key(|(id, _)| *id);
        phases.dedup_by_key(|(id, _)| *id);
        Self(phases)
    }
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

/// Logs and counts a record that was applied.
pub(super) fn tell(ledger: &Ledger, held: &Held, record: &Record, verdicts: &[Verdict]) {
    for (event, verdict) in record.events.iter().zip(verdicts) {
        tell_event(ledger, event, *verdict);
    }
    for (id, before) in &held.0 {
        let Some(job) = ledger.job(*id) else { continue };
        if before.is_active() && !job.phase.is_active() {
            let took = job.finished.map_or(0, |f| f.since(job.submitted).as_millis() as u64);
            metrics::counter!("bronzespool_batch_jobs_total", "phase" => name(job.phase))
                .increment(1);
            log::info!(job:% = id, phase:? = job.phase, took_ms = took; "a job has ended");
        }
    }
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

fn tell_event(ledger: &Ledger, event: &Event, verdict: Verdict) {
    match event {
        Event::Configured(config) => {
            log::info!(version = config.version, verdict:?; "a configuration was taken");
        }
        Event::Submitted(spec) => {
            metrics::counter!("bronzespool_batch_submitted_total").increment(1);
            log::info!(
                job:% = spec.id, queue = &*spec.queue, team:? = spec.team, verdict:?;
                "a job was submitted"
            );
        }
        Event::Cancelled(id) => log::info!(job:% = id, verdict:?; "a job was cancelled"),
        Event::WorkerUp(spec) => log::info!(
            life:% = spec.life, agent:% = spec.agent, rack = spec.rack(), leaving = spec.leaving,
            verdict:?; "a worker is there"
        ),
        Event::WorkerGone(life) => {
            metrics::counter!("bronzespool_batch_workers_gone_total").increment(1);
            log::info!(life:%, verdict:?; "a worker is gone with all that ran on it");
        }
        Event::Started(group) => group.iter().for_each(|a| tell_start(ledger, a, verdict)),
        Event::Stopping { runs, cause } => runs.iter().for_each(|r| tell_stop(*r, *cause)),
        Event::Ended { life, ends } => ends.iter().for_each(|e| tell_end(&life.to_string(), e)),
        Event::Refused { life, run } => {
            metrics::counter!("bronzespool_batch_refused_total").increment(1);
            log::info!(job:% = run.task.step.job, run:%, life:%; "a run was not started");
        }
    }
}

fn tell_start(ledger: &Ledger, given: &Assignment, verdict: Verdict) {
    let id = given.run.task.step.job;
    let Some(job) = ledger.job(id) else { return };
    let waited = ledger.at().since(job.submitted);
    if given.run.run == 1 {
        metrics::histogram!("bronzespool_batch_wait_seconds").record(waited.as_secs_f64());
    }
    log::info!(
        job:% = id, run:% = given.run, life:% = given.life, waited_ms = waited.as_millis() as u64,
        priority = ledger.priority(job), resumed = !given.saved.is_empty(), verdict:?;
        "a run was given to a worker"
    );
}

fn tell_stop(run: RunId, cause: Cause) {
    let (text, by) = match cause {
        Cause::Broken => ("broken", None),
        Cause::Reclaimed(job) => ("reclaimed", Some(job.to_string())),
        Cause::Stalled => ("stalled", None),
    };
    metrics::counter!("bronzespool_batch_stops_total", "cause" => text).increment(1);
    log::info!(job:% = run.task.step.job, run:%, cause = text, by:?; "a run is to be stopped");
}

fn tell_end(life: &str, end: &End) {
    let how = format!("{:?}", end.how).to_lowercase();
    metrics::counter!("bronzespool_batch_ends_total", "how" => how.clone()).increment(1);
    log::info!(
        job:% = end.run.task.step.job, run:% = end.run, life, how, number = end.number,
        saved = !end.saved.is_empty(); "a run has ended"
    );
}
