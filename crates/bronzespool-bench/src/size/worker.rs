//! A worker that holds runs for their time and lists them, as its interface describes it.

use {
    crate::size::load::CAPACITY,
    bronzespool::{
        batch::{
            Resources, RunId,
            agent::{ListRequest, Listing},
            ledger::{RunEnd, RunOutcome},
            message::RunStatus,
        },
        core::{HashSet, Time},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Work between two checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);

/// A run that a worker holds.
#[derive(Clone, Debug)]
pub(super) struct HeldRun {
    pub(super) allocation: Resources,
    /// Work that the run has to do, and work that its checkpoint saved.
    pub(super) total: Duration,
    pub(super) saved: Duration,
    /// Whether the run saves checkpoints.
    pub(super) checkpoints: bool,
    /// Whether the run is a member of a gang.
    pub(super) gang: bool,
    /// Begin of the work and the factor by which it is slowed down; none before.
    pub(super) working: Option<(Time, u32)>,
    /// Work done when it was interrupted.
    pub(super) interrupted: Option<Duration>,
    /// Distinguishes the current timer of the run from former ones.
    pub(super) serial: u64,
}

impl HeldRun {
    /// Returns the work done at a time, including that of the checkpoint.
    pub(super) fn done(&self, now: Time) -> Duration {
        if let Some(done) = self.interrupted {
            return done;
        }
        let worked = self.working.map_or(Duration::ZERO, |(since, slow)| now.since(since) / slow);
        (self.saved + worked).min(self.total)
    }

    /// Returns the work that is saved at a time.
    pub(super) fn checkpoint(&self, now: Time) -> Duration {
        if !self.checkpoints {
            return Duration::ZERO;
        }
        let intervals = self.done(now).as_millis() / CHECKPOINT_INTERVAL.as_millis();
        self.saved.max(CHECKPOINT_INTERVAL * intervals as u32)
    }

    fn status(&self, run: RunId, now: Time) -> RunStatus {
        let percent = self.done(now).as_millis() * 100 / self.total.as_millis().max(1);
        let checkpoint = checkpoint_text(self.checkpoint(now));
        RunStatus { run, checkpoint, percent: percent as u32, usage: 0 }
    }
}

/// Returns the name of a checkpoint: its work in milliseconds; empty for none.
fn checkpoint_text(saved: Duration) -> Arc<str> {
    if saved.is_zero() { Arc::from("") } else { saved.as_millis().to_string().into() }
}

/// Returns the work that a checkpoint saves.
pub(super) fn checkpoint_work(text: &str) -> Duration {
    Duration::from_millis(text.parse().unwrap_or(0))
}

/// A list request that waits for a run to end.
#[derive(Clone, Debug)]
pub(super) struct OpenList {
    pub(super) request: ListRequest,
}

/// A worker.
#[derive(Clone, Debug, Default)]
pub(super) struct FakeWorker {
    pub(super) runs: BTreeMap<RunId, HeldRun>,
    /// Runs that were stopped or have ended; they start no more.
    pub(super) over: HashSet<RunId>,
    pub(super) ends: Vec<RunEnd>,
    last_number: u64,
    pub(super) open_list: Option<OpenList>,
}

impl FakeWorker {
    /// Whether the runs together take no more than the worker has.
    pub(super) fn is_within_capacity(&self) -> bool {
        let used = self.runs.values().fold(Resources::default(), |sum, r| sum.plus(&r.allocation));
        CAPACITY.fits(&used)
    }

    /// Returns the accelerators that the runs hold.
    pub(super) fn accelerators(&self) -> u64 {
        self.runs.values().map(|r| r.allocation.gpu).sum()
    }

    /// Removes a run and lists its end.
    pub(super) fn end(&mut self, now: Time, run: RunId, outcome: RunOutcome) -> Option<HeldRun> {
        let held = self.runs.remove(&run)?;
        self.over.insert(run);
        self.last_number += 1;
        let checkpoint = checkpoint_text(held.checkpoint(now));
        self.ends.push(RunEnd { number: self.last_number, run, outcome, checkpoint });
        Some(held)
    }

    /// Whether there are ended runs that a list request has not acknowledged.
    pub(super) fn has_news(&self, request: &ListRequest) -> bool {
        self.ends.iter().any(|e| e.number > request.cursor)
    }

    /// Returns the list, and forgets the ended runs that the request acknowledges.
    pub(super) fn list(&mut self, now: Time, request: &ListRequest) -> Listing {
        self.ends.retain(|e| e.number > request.cursor);
        Listing {
            started_at: Some(request.incarnation.started_at),
            clock: now.as_millis(),
            running: self.runs.iter().map(|(r, h)| h.status(*r, now)).collect(),
            ends: self.ends.clone(),
            truncated: false,
        }
    }
}
