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
const UNSAVED_MAX: Duration = Duration::from_secs(300);

/// Placement memory between decisions of one book; it holds no durable state.
///
/// Make a new one when the book is replaced by another.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Classes of jobs that found no cells, with the book's epoch then.
    unplaceable: HashMap<PlacementClass, u64>,
    /// Gangs for which no other work may be stopped, with the book's epoch then.
    unevictable: HashMap<(JobNumber, bool), u64>,
    /// Jobs for which work of their team was last made borrowed.
    last_demotions: HashMap<JobNumber, Time>,
}

/// One pass over a book.
struct DecisionPass<'a> {
    state: &'a SchedulerState,
    now: Time,
    occupancy: Occupancy,
    grants: usize,
    records: Vec<Record>,
    costly: Option<Rc<[u64]>>,
}

impl DecisionPass<'_> {
    /// Accelerators by slot whose work would lose much by a stop.
    fn costly(&mut self) -> Rc<[u64]> {
        if let Some(costly) = &self.costly {
            return Rc::clone(costly);
        }
        let mut masks = vec![0; self.occupancy.slots.len()];
        for (slot, mask) in self.occupancy.slots.iter().zip(&mut masks) {
            for &(id, member) in &slot.tasks {
                let Some(job) = self.state.job_by_number(id) else {
                    continue;
                };
                let cell = job.attempt().map_or(0, |a| a.cells[member as usize].mask());
                if predict::unsaved_runtime(job, self.now) > UNSAVED_MAX {
                    *mask |= cell;
                }
            }
        }
        let costly: Rc<[u64]> = masks.into();
        self.costly = Some(Rc::clone(&costly));
        costly
    }

    fn push(&mut self, event: Event) {
        self.records.push(Record::new(self.now, event));
    }
}

impl Planner {
    /// Records that the policy wants next. Apply them and ask again until none are returned.
    pub fn decide(&mut self, state: &SchedulerState, now: Time) -> Vec<Record> {
        let records = lifecycle::advance_attempts(state, now);
        if !records.is_empty() {
            return records;
        }
        let records = queue::plan_grants(self, state, now);
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
    let exclusive = reserve::next_exclusive(state, now).unwrap_or(Time::MAX);
    let probe = health::next_probe(state).unwrap_or(Time::MAX);
    due.min(delayed).min(exclusive).min(probe)
}
