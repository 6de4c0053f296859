//! What an agent knows of the present life of its worker.

use {
    crate::{
        agent::{Limits, lease::Lease, pace::Pacer},
        id::RunId,
        ledger::{RunEnd, WorkerSpec},
        message::RunStatus,
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::time::Duration,
};

/// Time after an acknowledged stop at which it is asked for again if the run is still listed.
const STOP_AGAIN: Duration = Duration::from_secs(2);
/// Silence of a worker's check-ins, in its periods, after which it takes nothing new.
const SILENT_PERIODS: u32 = 3;

/// What is known of a run for which the worker was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Doing {
    /// A call is under way.
    Calling,
    /// The worker has answered; a look that began with this serial or later tells what it holds.
    Settling(u64),
    /// The worker has acknowledged a stop at this time, which may take a while to end the run.
    Stopping(u64, Time),
}

/// The worker's present life.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) spec: WorkerSpec,
    pub(super) seq: u64,
    pub(super) beat: Time,
    pub(super) since: Time,
    pub(super) lease: Lease,
    pub(super) running: Vec<RunStatus>,
    pub(super) ends: Vec<RunEnd>,
    pub(super) listed: bool,
    pub(super) answers: bool,
    pub(super) left: bool,
    pub(super) doing: HashMap<RunId, Doing>,
    /// Runs of which a start had no answer.
    pub(super) doubt: HashSet<RunId>,
    pub(super) refused: HashSet<RunId>,
    pub(super) looks: u64,
    pub(super) pacer: Pacer,
}

impl Known {
    pub(super) fn new(spec: WorkerSpec, seq: u64, now: Time) -> Self {
        Self {
            spec,
            seq,
            beat: now,
            since: now,
            lease: Lease::default(),
            running: Vec::new(),
            ends: Vec::new(),
            listed: false,
            answers: false,
            left: false,
            doing: HashMap::default(),
            doubt: HashSet::default(),
            refused: HashSet::default(),
            looks: 0,
            pacer: Pacer::default(),
        }
    }

    pub(super) fn is_silent(&self, now: Time, limits: &Limits) -> bool {
        now.since(self.beat) > limits.heartbeat_interval * SILENT_PERIODS
    }

    /// Whether the worker answers and what it holds is known.
    pub(super) fn is_sound(&self, now: Time, limits: &Limits) -> bool {
        self.listed && (self.answers || !self.is_silent(now, limits))
    }

    pub(super) fn settle(&mut self, run: RunId) {
        self.doing.insert(run, Doing::Settling(self.looks + 1));
    }

    /// Ends the calls that the look `serial` tells the outcome of.
    pub(super) fn settled(&mut self, now: Time, serial: u64) -> bool {
        let running: HashSet<RunId> = self.running.iter().map(|h| h.run).collect();
        let done = |(run, doing): (&RunId, &Doing)| match doing {
            Doing::Calling => false,
            Doing::Settling(from) => *from <= serial,
            Doing::Stopping(from, at) => {
                *from <= serial && (!running.contains(run) || now.since(*at) > STOP_AGAIN)
            }
        };
        let runs: Vec<RunId> = self.doing.iter().filter(|d| done(*d)).map(|(r, _)| *r).collect();
        for run in &runs {
            self.doing.remove(run);
            let ended = self.ends.iter().any(|e| e.run == *run);
            if !running.contains(run) && !ended {
                self.refused.insert(*run);
            }
            self.doubt.remove(run);
        }
        !runs.is_empty()
    }
}
