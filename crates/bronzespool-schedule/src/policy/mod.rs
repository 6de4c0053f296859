//! The scheduling policy, which decides the next records.
//!
//! A pass first advances attempts, then grants guaranteed cells, then lends free cells. It works on
//! a copy of the occupancy, so that all of its records can be applied one after the other.

pub mod claim;
mod demotion;
pub mod drain;
pub mod evict;
pub mod fit;
mod health;
mod lifecycle;
pub mod place;
pub mod predict;
mod queue;
mod reclaim;
mod reserve;
mod stops;

pub use stops::Delivery;
use {
    crate::{
        job::JobNumber,
        record::{Event, Record},
        state::{SchedulerState, occupancy::Occupancy},
    },
    bronzespool_core::{HashMap, Time},
    place::PlacementClass,
    std::{rc::Rc, time::Duration},
    stops::Stops,
};

/// Largest number of grants in one pass, so that a burst of jobs does not delay other input.
const GRANTS_MAX: usize = 64;

/// Accelerators are costly to reclaim if their work would lose more run time than this.
const UNSAVED_MAX: Duration = Duration::from_secs(300);

/// Memory between the decisions on one state: placement results, and when stops were seen applied.
///
/// Nothing in it is durable. Create a new planner when the state is replaced by another one. Cells
/// of silent workers are freed only by a planner that lives as long as their leases, since it counts
/// these from the decision in which it first sees the stop.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Placement classes for which no cells were found, with the capacity epoch at that time.
    unplaceable: HashMap<PlacementClass, u64>,
    /// Gangs for which no other work may be stopped, with the capacity epoch at that time. The flag
    /// says whether the gang was younger than the exclusive age.
    unevictable: HashMap<(JobNumber, bool), u64>,
    /// Jobs for which other work of their team was made borrowed, with the time of the last
    /// demotion.
    last_demotions: HashMap<JobNumber, Time>,
    stops: Stops,
}

/// One decision pass over a state.
struct DecisionPass<'a> {
    state: &'a SchedulerState,
    now: Time,
    occupancy: Occupancy,
    grants: usize,
    records: Vec<Record>,
    /// Result of [`DecisionPass::costly`], computed on first use.
    costly: Option<Rc<[u64]>>,
}

impl DecisionPass<'_> {
    /// Accelerators, by slot, whose work would lose more than [`UNSAVED_MAX`] if stopped.
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
    /// Sets how far the sessions of agents have followed the log, for the next decisions.
    pub const fn set_delivery(&mut self, delivery: Delivery) {
        self.stops.set_delivery(delivery);
    }

    /// Decides the next records. The caller applies them and calls this again until none are
    /// returned.
    pub fn decide(&mut self, state: &SchedulerState, now: Time) -> Vec<Record> {
        self.stops.observe(state, now);
        let records = lifecycle::advance_attempts(&self.stops, state, now);
        if !records.is_empty() {
            return records;
        }
        let records = queue::plan_grants(self, state, now);
        if records.is_empty() { lifecycle::prune(state, now) } else { records }
    }

    /// Time of the next decision if no other record is applied before; [`Time::MAX`] if there is
    /// none.
    pub fn wake(&self, state: &SchedulerState, now: Time) -> Time {
        let due = self.next_due(state);
        let delayed = state.next_delayed(now).unwrap_or(Time::MAX);
        let exclusive = reserve::next_exclusive(state, now).unwrap_or(Time::MAX);
        let probe = health::next_probe(state).unwrap_or(Time::MAX);
        due.min(delayed).min(exclusive).min(probe)
    }

    /// First time at which a job is due for a record. The leases of a stopped attempt may end after
    /// its timer.
    fn next_due(&self, state: &SchedulerState) -> Time {
        let mut first = Time::MAX;
        for (due, job) in state.timers() {
            if due >= first {
                break;
            }
            first = first.min(self.stops.next_look(state, job, due));
        }
        first
    }
}
