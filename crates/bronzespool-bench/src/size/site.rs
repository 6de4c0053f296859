//! All workers and the gangs that span them.

use {
    crate::size::{
        load::{Load, rack},
        tally::Tally,
        worker::{FakeWorker, HeldRun, checkpoint_work},
    },
    bronzespool::{
        batch::{
            RunId, Step, StepId,
            agent::{StartOutcome, StopOutcome},
            ledger::RunOutcome,
            message::Start,
        },
        core::{HashMap, HashSet, Time},
    },
    std::time::Duration,
};

/// Time from a start to the begin of the work.
const START_TIME: Duration = Duration::from_millis(100);
/// Time from a stop to the end of the run.
const STOP_TIME: Duration = Duration::from_millis(700);
/// Time from the end of a member of a gang to the end of the others.
const BREAK_TIME: Duration = Duration::from_millis(50);
/// Time for which the first member of a gang waits for the others.
const GANG_START_MAX: Duration = Duration::from_millis(2_500);
/// Factor by which a gang that should be in one rack is slowed down across racks.
const REMOTE_SLOWDOWN: u32 = 3;

/// The end of a run that is due at a time, unless the run's timer has been replaced.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timer {
    pub(super) at: Time,
    pub(super) worker: usize,
    pub(super) run: RunId,
    pub(super) serial: u64,
    pub(super) outcome: RunOutcome,
}

/// A gang, by its step and the number of its run.
type GangId = (StepId, u32);

/// A gang of which at least one member has started.
#[derive(Clone, Debug, Default)]
struct Gang {
    members: Vec<(usize, RunId)>,
    /// Whether a member was stopped or has ended before the gang was done.
    broken: bool,
    /// Number of its tasks, and of those that are done.
    count: usize,
    done: usize,
}

impl Gang {
    /// Whether some of its members were done and others were not.
    const fn is_partly_done(&self) -> bool {
        self.done > 0 && self.done < self.count
    }
}

/// All workers.
#[derive(Debug)]
pub(super) struct Site {
    pub(super) workers: Vec<FakeWorker>,
    gangs: HashMap<GangId, Gang>,
    load: Load,
    serial: u64,
    /// Timers that were set since the model took them.
    pub(super) timers: Vec<Timer>,
    pub(super) tally: Tally,
}

impl Site {
    pub(super) fn new(count: usize, load: Load) -> Self {
        Self {
            workers: vec![FakeWorker::default(); count],
            gangs: HashMap::default(),
            load,
            serial: 0,
            timers: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Carries out a start.
    pub(super) fn start(&mut self, now: Time, worker: usize, start: &Start) -> StartOutcome {
        let run = start.run;
        let here = &mut self.workers[worker];
        if here.runs.contains_key(&run) {
            return StartOutcome::Present;
        }
        if here.over.contains(&run) {
            return StartOutcome::Old;
        }
        let Some(step) = step_of(&self.load, run) else { return StartOutcome::Refused };
        let held = HeldRun {
            allocation: step.allocation(),
            total: self.load.duration(run.task),
            saved: checkpoint_work(&start.checkpoint),
            checkpoints: step.checkpoints,
            gang: step.gang,
            working: None,
            interrupted: None,
            serial: 0,
        };
        let (gang, count) = (step.gang, step.count as usize);
        let spread = step.single_rack;
        here.runs.insert(run, held);
        self.tally.violations.over_capacity += usize::from(!here.is_within_capacity());
        self.tally.started += 1;
        if gang {
            self.join_gang(now, worker, run, (count, spread));
        } else {
            self.begin(now + START_TIME, worker, run, 1);
        }
        StartOutcome::Present
    }

    /// Adds a member to its gang. The gang begins to work with its last member.
    fn join_gang(&mut self, now: Time, worker: usize, run: RunId, (count, local): (usize, bool)) {
        let gang = self.gangs.entry(gang_id(run)).or_default();
        gang.count = count;
        gang.members.push((worker, run));
        if gang.broken {
            return self.set_timer(now + BREAK_TIME, worker, run, RunOutcome::Broken);
        }
        if gang.members.len() < count {
            return self.set_timer(now + GANG_START_MAX, worker, run, RunOutcome::Alone);
        }
        let members = gang.members.clone();
        let is_held = |(w, r): &(usize, RunId)| self.workers[*w].runs.contains_key(r);
        let whole = members.iter().filter(|m| is_held(m)).count() == count;
        self.tally.violations.partial_gangs += usize::from(!whole);
        let racks: HashSet<usize> = members.iter().map(|(w, _)| rack(*w)).collect();
        let slow = if local && racks.len() > 1 { REMOTE_SLOWDOWN } else { 1 };
        for (worker, run) in members {
            self.begin(now + START_TIME, worker, run, slow);
        }
        self.tally.spread_gangs += usize::from(slow > 1);
    }

    /// Begins the work of a run.
    fn begin(&mut self, at: Time, worker: usize, run: RunId, slow: u32) {
        let Some(held) = self.workers[worker].runs.get_mut(&run) else { return };
        held.working = Some((at, slow));
        let end = at + held.total.saturating_sub(held.saved) * slow;
        self.tally.began(at, run);
        self.set_timer(end, worker, run, RunOutcome::Done);
    }

    /// Sets the timer of a run in place of its former one.
    fn set_timer(&mut self, at: Time, worker: usize, run: RunId, outcome: RunOutcome) {
        let Some(held) = self.workers[worker].runs.get_mut(&run) else { return };
        self.serial += 1;
        held.serial = self.serial;
        self.timers.push(Timer { at, worker, run, serial: self.serial, outcome });
    }

    /// Carries out a stop.
    pub(super) fn stop(&mut self, now: Time, worker: usize, run: RunId) -> StopOutcome {
        let here = &mut self.workers[worker];
        let Some(held) = here.runs.get_mut(&run) else {
            here.over.insert(run);
            return StopOutcome::Noted;
        };
        if held.interrupted.is_some() {
            return StopOutcome::Noted;
        }
        let gang = held.gang;
        self.interrupt(now, worker, run);
        self.set_timer(now + STOP_TIME, worker, run, RunOutcome::Stopped);
        if gang {
            self.break_gang(now, run, STOP_TIME + BREAK_TIME);
        }
        StopOutcome::Noted
    }

    /// Ends the work of a run, which is still held until its timer ends.
    fn interrupt(&mut self, now: Time, worker: usize, run: RunId) {
        if let Some(held) = self.workers[worker].runs.get_mut(&run) {
            held.interrupted.get_or_insert(held.done(now));
        }
    }

    /// Ends the members of a gang that are not being stopped themselves.
    fn break_gang(&mut self, now: Time, run: RunId, delay: Duration) {
        let Some(gang) = self.gangs.get_mut(&gang_id(run)) else { return };
        if gang.broken {
            return;
        }
        gang.broken = true;
        for (worker, member) in gang.members.clone() {
            let held = self.workers[worker].runs.get(&member);
            if held.is_some_and(|h| h.interrupted.is_none()) {
                self.interrupt(now, worker, member);
                self.set_timer(now + delay, worker, member, RunOutcome::Broken);
            }
        }
    }

    /// Ends a run whose timer is due. Returns whether the timer was current.
    pub(super) fn timer(&mut self, now: Time, timer: &Timer) -> bool {
        let here = &mut self.workers[timer.worker];
        if here.runs.get(&timer.run).is_none_or(|h| h.serial != timer.serial) {
            return false;
        }
        let Some(held) = here.end(now, timer.run, timer.outcome) else { return false };
        self.tally.ended(now, &held, timer.outcome);
        if held.gang {
            self.leave_gang(now, timer);
        }
        true
    }

    fn leave_gang(&mut self, now: Time, timer: &Timer) {
        if timer.outcome != RunOutcome::Done {
            return self.break_gang(now, timer.run, BREAK_TIME);
        }
        if let Some(gang) = self.gangs.get_mut(&gang_id(timer.run)) {
            gang.done += 1;
        }
    }

    /// Counts the gangs of which some members were done and others were not.
    pub(super) fn partly_done_gangs(&self) -> usize {
        self.gangs.values().filter(|g| g.is_partly_done()).count()
    }

    /// Returns the accelerators that are held.
    pub(super) fn accelerators(&self) -> u64 {
        self.workers.iter().map(FakeWorker::accelerators).sum()
    }
}

const fn gang_id(run: RunId) -> GangId {
    (run.task.step, run.run)
}

fn step_of(load: &Load, run: RunId) -> Option<&Step> {
    load.job(run.task.step.job)?.spec.steps.get(usize::from(run.task.step.step))
}
