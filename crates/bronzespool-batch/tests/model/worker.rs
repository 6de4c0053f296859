//! The worker, as its interface describes it.

use {
    crate::fixture::CLOCK_RATE_PERCENT,
    bronzespool_batch::{
        RunId, TaskId, WorkerIncarnation,
        agent::{ListRequest, Listing, StartOutcome, StopOutcome},
        ledger::{RunEnd, RunOutcome},
        message::RunStatus,
    },
    bronzespool_core::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// A run that has ended.
#[derive(Clone, Debug)]
struct End {
    end: RunEnd,
    /// Number of the change that ended the run.
    step: u32,
    /// Whether the worker's lease has expired since.
    lapsed: bool,
}

/// One incarnation of the worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) incarnation: WorkerIncarnation,
    /// Longest lease that it accepts.
    lease_max: Duration,
    /// When the incarnation began.
    since: Time,
    highest_epoch: u64,
    /// End of the lease of all runs, on the worker's clock.
    until: u64,
    pub(crate) runs: Vec<RunId>,
    /// Highest run of each task that was stopped or has ended here.
    last_runs: BTreeMap<TaskId, u32>,
    ends: Vec<End>,
    last_number: u64,
    /// Runs that have started, each with the number of the change that started it.
    pub(crate) started: Vec<(RunId, u32)>,
    /// Ends as done that the worker was told to forget, each with the number of the change that ended
    /// the run.
    pub(crate) acknowledged: Vec<(TaskId, u32)>,
}

impl Worker {
    /// Returns a worker that runs nothing and knows nothing.
    pub(crate) fn new(incarnation: WorkerIncarnation, now: Time, lease_max: Duration) -> Self {
        Self {
            incarnation,
            lease_max,
            since: now,
            highest_epoch: 0,
            until: 0,
            runs: Vec::new(),
            last_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_number: 0,
            started: Vec::new(),
            acknowledged: Vec::new(),
        }
    }

    fn clock(&self, now: Time) -> u64 {
        now.since(self.since).as_millis() as u64 * CLOCK_RATE_PERCENT / 100
    }

    /// Ends a run that is running.
    pub(crate) fn end(&mut self, step: u32, run: RunId, outcome: RunOutcome) {
        self.runs.retain(|r| *r != run);
        self.forbid(run);
        self.last_number += 1;
        let end = RunEnd { number: self.last_number, run, outcome, checkpoint: "".into() };
        self.ends.push(End { end, step, lapsed: false });
    }

    /// Ends all runs if the lease has expired.
    pub(crate) fn expire_lease(&mut self, now: Time, step: u32) {
        if self.clock(now) < self.until {
            return;
        }
        for run in self.runs.clone() {
            self.end(step, run, RunOutcome::Lapsed);
        }
        self.ends.iter_mut().for_each(|e| e.lapsed = true);
    }

    /// Carries out a start.
    pub(crate) fn start(
        &mut self,
        now: Time,
        step: u32,
        run: RunId,
        until: u64,
        epoch: u64,
    ) -> StartOutcome {
        if epoch < self.highest_epoch {
            return StartOutcome::Fenced(epoch);
        }
        self.highest_epoch = epoch;
        if self.runs.contains(&run) {
            self.extend(now, until);
            return StartOutcome::Present;
        }
        if self.last_runs.get(&run.task).is_some_and(|last| run.run <= *last) {
            self.extend(now, until);
            return StartOutcome::Old;
        }
        if until <= self.clock(now) {
            return StartOutcome::Late;
        }
        self.extend(now, until);
        self.runs.push(run);
        self.started.push((run, step));
        StartOutcome::Present
    }

    /// Carries out a stop.
    pub(crate) fn stop(&mut self, step: u32, run: RunId, epoch: u64) -> StopOutcome {
        if epoch < self.highest_epoch {
            return StopOutcome::Fenced(epoch);
        }
        self.highest_epoch = epoch;
        self.forbid(run);
        if self.runs.contains(&run) {
            self.end(step, run, RunOutcome::Stopped);
        }
        StopOutcome::Noted
    }

    /// Extends the leases and returns the list. None for a fencing token that is too low.
    pub(crate) fn list(&mut self, now: Time, request: &ListRequest) -> Option<Listing> {
        let epoch = request.epoch.unwrap_or(0);
        if epoch < self.highest_epoch {
            return None;
        }
        self.highest_epoch = epoch;
        self.extend(now, request.until.unwrap_or(0));
        self.forget(request.cursor);
        Some(Listing {
            started_at: Some(self.incarnation.started_at),
            clock: self.clock(now),
            running: self.runs.iter().map(|r| status(*r)).collect(),
            ends: self.ends.iter().map(|e| e.end.clone()).collect(),
            truncated: false,
        })
    }

    fn extend(&mut self, now: Time, until: u64) {
        let limit = self.clock(now) + self.lease_max.as_millis() as u64;
        self.until = self.until.max(until.min(limit));
    }

    fn forget(&mut self, cursor: u64) {
        let forgotten = self.ends.iter().filter(|e| e.end.number <= cursor);
        let done = forgotten.filter(|e| e.end.outcome == RunOutcome::Done && !e.lapsed);
        self.acknowledged.extend(done.map(|e| (e.end.run.task, e.step)));
        self.ends.retain(|e| e.end.number > cursor);
    }

    /// Rejects this run and earlier ones of its task from now on.
    fn forbid(&mut self, run: RunId) {
        let last = self.last_runs.entry(run.task).or_default();
        *last = run.run.max(*last);
    }
}

fn status(run: RunId) -> RunStatus {
    RunStatus { run, checkpoint: "".into(), percent: 0, usage: 0 }
}
