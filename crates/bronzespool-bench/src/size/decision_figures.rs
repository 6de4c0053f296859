//! What the placement rules make of the stream.

use {
    crate::size::{
        leader::Leader,
        load::{Load, PlannedJob},
        tally::Tally,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time from the submission within which a job should begin to work.
const BEGIN_TARGET: Duration = Duration::from_millis(2_700);
/// Multiple of the allowed duration after which an ended job has no value.
const CUTOFF_FACTOR: u32 = 3;

/// Violations of what must always hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Ends of runs that the ledger had already recorded as ended.
    pub double_ends: usize,
    /// Starts after which a worker's runs took more than it has.
    pub over_capacity: usize,
    /// Gangs of which only a part was started or done.
    pub partial_gangs: usize,
    /// Jobs that did not end.
    pub unfinished: usize,
}

/// Figures of the jobs of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorityFigures {
    /// Number of jobs.
    pub jobs: usize,
    /// Jobs that ended within their allowed duration.
    pub in_time: usize,
    /// Jobs that ended within three times their allowed duration.
    pub before_cutoff: usize,
    /// Jobs that began to work more than 2.7 s after their submission.
    pub late_begin: usize,
}

/// What the placement rules make of the stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionFigures {
    /// Runs that workers started.
    pub started: usize,
    /// Runs that were done.
    pub done: usize,
    /// Runs that ended by a stop order.
    pub stopped: usize,
    /// Runs that ended because their gang had lost a member.
    pub broken: usize,
    /// Runs that ended because their gang did not start in time.
    pub alone: usize,
    /// Runs that the leader ordered to stop because a job needed their capacity.
    pub ordered_reclaimed: usize,
    /// Runs that the leader ordered to stop because their gang had lost a member.
    pub ordered_broken: usize,
    /// Gangs that worked across racks although they should be in one.
    pub spread_gangs: usize,
    /// Work that was thrown away, in seconds of a core; an accelerator weighs 8 cores.
    pub lost: f64,
    /// Work that was done, in the same unit.
    pub useful: f64,
    /// Share of the accelerators that runs held while jobs arrived.
    pub utilisation: f64,
    /// Seconds from the begin of the stream to the end of the last job.
    pub length: f64,
    /// Figures by priority.
    pub priorities: [PriorityFigures; 3],
    /// Violations.
    pub violations: Violations,
}

impl DecisionFigures {
    /// Collects the figures of a run whose length and utilisation are not filled in.
    pub(super) fn collect(load: &Load, leader: &Leader, tally: &Tally) -> Self {
        let mut figures = Self {
            started: tally.started,
            done: tally.done,
            stopped: tally.stopped,
            broken: tally.broken,
            alone: tally.alone,
            ordered_reclaimed: leader.reclaimed,
            ordered_broken: leader.broken,
            spread_gangs: tally.spread_gangs,
            lost: tally.lost,
            useful: tally.useful,
            violations: tally.violations,
            ..Self::default()
        };
        figures.violations.double_ends += leader.double_ends;
        figures.violations.partial_gangs += leader.partial_starts;
        load.jobs.iter().for_each(|job| figures.add(job, leader, tally));
        figures
    }

    fn add(&mut self, job: &PlannedJob, leader: &Leader, tally: &Tally) {
        let id = job.spec.id;
        let Some(figures) = self.priorities.get_mut(job.priority as usize) else { return };
        figures.jobs += 1;
        let begun = tally.first_begin.get(&id);
        let late = begun.is_none_or(|b| b.since(job.submit) > BEGIN_TARGET);
        figures.late_begin += usize::from(late);
        let Some(finished) = leader.finished.get(&id) else {
            self.violations.unfinished += 1;
            return;
        };
        let took = finished.since(job.submit);
        figures.in_time += usize::from(took <= job.allowed);
        figures.before_cutoff += usize::from(took <= job.allowed * CUTOFF_FACTOR);
    }

    /// Returns the share of the started runs that did not end as done.
    pub fn stopped_share(&self) -> f64 {
        (self.stopped + self.broken + self.alone) as f64 / self.started.max(1) as f64
    }
}
