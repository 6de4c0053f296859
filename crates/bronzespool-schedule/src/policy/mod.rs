//! The policy: which records a book calls for next.
//!
//! A pass first moves attempts on, then grants guaranteed cells, then lends what is left. It works
//! on a copy of the occupancy, so that all its records together fit the book.

pub mod claim;
mod demotion;
pub mod evict;
pub mod fit;
mod health;
mod lifecycle;
pub mod place;
pub mod predict;
mod queue;
mod reclaim;
mod reserve;

use {
    crate::{
        job::JobNumber,
        record::{Event, Record},
        state::{SchedulerState, occupancy::Occupancy},
    },
    bronzespool_core::{HashMap, Time},
    place::PlacementClass,
    std::{rc::Rc, time::Duration},
};

/// Most grants of one pass, so that a burst does not hold up other input.
const GRANTS_MAX: usize = 64;

/// Run time that may be lost by a stop without counting as dear.
const STAKE_MAX: Duration = Duration::from_secs(300);

/// Placement memory between decisions of one book; it holds no durable state.
///
/// Make a new one when the book is replaced by another.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Classes of jobs that found no cells, with the book's epoch then.
    failed: HashMap<PlacementClass, u64>,
    /// Gangs for which no other work may be stopped, with the book's epoch then.
    evicted: HashMap<(JobNumber, bool), u64>,
    /// Jobs for which work of their team was last made borrowed.
    demoted: HashMap<JobNumber, Time>,
}

/// One pass over a book.
struct Pass<'a> {
    state: &'a SchedulerState,
    now: Time,
    occupancy: Occupancy,
    grants: usize,
    records: Vec<Record>,
    dear: Option<Rc<[u64]>>,
}

impl Pass<'_> {
    /// Accelerators by slot whose work would lose much by a stop.
    fn dear(&mut self) -> Rc<[u64]> {
        if let Some(dear) = &self.dear {
            return Rc::clone(dear);
        }
        let mut masks = vec![0; self.occupancy.slots.len()];
        for (slot, mask) in self.occupancy.slots.iter().zip(&mut masks) {
            for &(id, member) in &slot.tasks {
                let Some(job) = self.state.job_at(id) else {
                    continue;
                };
                let cell = job.attempt().map_or(0, |a| a.cells[member as usize].mask());
                if predict::at_stake(job, self.now) > STAKE_MAX {
                    *mask |= cell;
                }
            }
        }
        let dear: Rc<[u64]> = masks.into();
        self.dear = Some(Rc::clone(&dear));
        dear
    }

    fn push(&mut self, event: Event) {
        self.records.push(Record::new(self.now, event));
    }
}

impl Planner {
    /// Records that the policy wants next. Apply them and ask again until none are returned.
    pub fn decide(&mut self, state: &SchedulerState, now: Time) -> Vec<Record> {
        let records = lifecycle::progress(state, now);
        if !records.is_empty() {
            return records;
        }
        let records = queue::grant(self, state, now);
        if records.is_empty() { lifecycle::prune(state, now) } else { records }
    }
}

/// Records that the policy wants next, without memory of earlier decisions.
pub fn decide(state: &SchedulerState, now: Time) -> Vec<Record> {
    Planner::default().decide(state, now)
}

/// When to decide next if nothing else happens: [`Time::MAX`] for never.
pub fn wake(state: &SchedulerState, now: Time) -> Time {
    let due = state.next_due().unwrap_or(Time::MAX);
    let delayed = state.next_delayed(now).unwrap_or(Time::MAX);
    let exclusive = reserve::next(state, now).unwrap_or(Time::MAX);
    let probe = health::next(state).unwrap_or(Time::MAX);
    due.min(delayed).min(exclusive).min(probe)
}
