//! Observations that a model learns from.

use {
    bronzespool_core::{Instance, Time},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Tasks that are expected to behave alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Kind {
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Image that the task runs, if its job names one.
    pub image: Option<Arc<str>>,
}

/// Identifies a step, whose tasks have about the same amount of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepKey(pub u64);

/// Observation of one run, as evidence of the work of its task and the speed of its worker.
///
/// Runs whose duration is evidence of neither are not recorded: those that were stopped, crashed or
/// throttled, ran on a cold worker or away from their data or gang, or were slowed by other runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Identifies the run among those of its step, so that a later sample of it replaces an
    /// earlier one.
    pub run: u64,
    /// Step of the task.
    pub step: StepKey,
    /// Kind of the task.
    pub kind: Kind,
    /// Instance of the agent beside the worker.
    pub instance: Instance,
    /// Declared duration of the task.
    pub declared: Duration,
    /// Time that the whole task takes at the observed rate.
    pub observed: Duration,
    /// Whether the run has completed; otherwise `observed` is extrapolated from its progress.
    pub complete: bool,
    /// When the sample was taken.
    pub at: Time,
}
