//! Expected durations of the steps of a job, from the model's estimates.

use {
    crate::{
        id::StepId,
        ledger::{Job, StepState},
        spec::Step,
    },
    bronzespool_core::{Digest, Instance},
    bronzespool_estimate::{Estimates, Kind, StepKey, Work},
    std::{fmt, time::Duration},
};

/// Most steps that an explanation names.
const EXPLAINED_STEPS_MAX: usize = 8;

/// Expected duration of the tasks of a step on a typical worker.
#[derive(Clone, Debug, PartialEq)]
pub struct StepExpectation {
    /// Index of the step in the job.
    pub step: u16,
    /// Declared duration.
    pub declared: Duration,
    /// Estimate.
    pub work: Work,
}

impl fmt::Display for StepExpectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { step, declared, work } = self;
        let seconds = |d: Duration| format!("{:.1} s", d.as_secs_f64());
        let (expected, high) = (seconds(work.expected), seconds(work.high));
        let (samples, declared) = (work.samples, seconds(*declared));
        write!(f, "step {step}: expected {expected}, 9 of 10 within {high}, ")?;
        write!(f, "from {samples} runs, declared {declared}")
    }
}

/// Returns the kind of a step's tasks.
pub fn kind_of(job: &Job, step: &Step) -> Kind {
    Kind { queue: job.spec.queue.clone(), image: step.image.clone() }
}

/// Returns the key of a step, the same in every process and version.
pub fn step_key(step: StepId) -> StepKey {
    let mut bytes = [0; 14];
    bytes[..8].copy_from_slice(&step.job.0.to_le_bytes());
    bytes[8..12].copy_from_slice(&step.occurrence.to_le_bytes());
    bytes[12..].copy_from_slice(&step.step.to_le_bytes());
    let digest = Digest::of(&bytes);
    StepKey(digest.bytes().iter().take(8).fold(0, |key, byte| key << 8 | u64::from(*byte)))
}

/// Returns the declared duration of a step's tasks, at least 1 ms.
pub(super) fn declared(step: &Step) -> Duration {
    Duration::from_millis(step.estimate.max(1))
}

/// Returns the duration to expect of a task of a step on the worker beside an agent; none if the job
/// has no such step.
pub fn expected_duration(
    estimates: &Estimates,
    job: &Job,
    step: StepId,
    agent: &Instance,
) -> Option<Duration> {
    let work = work_of(estimates, job, step)?;
    let speed = estimates.speed(agent).factor;
    Duration::try_from_secs_f64(work.expected.as_secs_f64() / speed).ok()
}

fn work_of(estimates: &Estimates, job: &Job, step: StepId) -> Option<Work> {
    let spec = job.step_spec(step.step)?;
    Some(estimates.work(&kind_of(job, spec), Some(step_key(step)), declared(spec)))
}

/// Returns the expectations for the steps of a job that are not done, those of its first open occurrence
/// that is not done, or of the next one.
pub fn step_expectations(estimates: &Estimates, job: &Job) -> Vec<StepExpectation> {
    let count = job.spec.steps.len();
    let is_done =
        |occurrence: u32, step: u16| job.step(occurrence, step).is_some_and(StepState::is_done);
    let steps = || (0..count).map(|i| i as u16);
    let mut open = job.occurrences.keys().copied();
    let next = job.occurrences.keys().next_back().map_or(0, |last| last.saturating_add(1));
    let occurrence = open.find(|o| steps().any(|s| !is_done(*o, s))).unwrap_or(next);
    if !job.phase.is_active() {
        return Vec::new();
    }
    let expectation = |step: u16| {
        let id = StepId { job: job.spec.id, occurrence, step };
        let declared = declared(job.step_spec(step)?);
        Some(StepExpectation { step, declared, work: work_of(estimates, job, id)? })
    };
    steps().filter(|s| !is_done(occurrence, *s)).filter_map(expectation).collect()
}

/// Describes the expectations for the steps of a job that are not done; empty if there are none.
pub fn explain_steps(estimates: &Estimates, job: &Job) -> String {
    let steps = step_expectations(estimates, job);
    let mut parts: Vec<String> =
        steps.iter().take(EXPLAINED_STEPS_MAX).map(ToString::to_string).collect();
    if steps.len() > EXPLAINED_STEPS_MAX {
        parts.push(format!("{} more steps", steps.len() - EXPLAINED_STEPS_MAX));
    }
    parts.join("; ")
}
