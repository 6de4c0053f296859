//! Drained data centres, where nothing new is placed.
//!
//! The drains are part of the caller's replicated state, not of the encoded scheduler state. The
//! caller sets them again after it has read a snapshot, before it applies the next record.

use {
    super::{Error, Result, SchedulerState, occupancy::Occupancy},
    crate::{cell::Cell, job::Attempt},
    bronzespool_core::{Center, Instance},
    std::collections::BTreeSet,
};

impl SchedulerState {
    /// Data centres that are drained.
    pub const fn drained_centers(&self) -> &BTreeSet<Center> {
        &self.index.occupancy.drained
    }

    /// Sets the data centres that are drained, in place of the former ones.
    pub fn set_drained_centers(&mut self, centers: BTreeSet<Center>) {
        if centers == self.index.occupancy.drained {
            return;
        }
        self.index.occupancy.drained = centers;
        self.durable.workers.values().for_each(|worker| self.index.occupancy.update(worker));
        self.index.capacity_epoch += 1;
    }

    /// The occupancy as it would be if no data centre were drained.
    pub(crate) fn undrained_occupancy(&self) -> Occupancy {
        let mut occupancy = self.index.occupancy.clone();
        occupancy.drained.clear();
        self.durable.workers.values().for_each(|worker| occupancy.update(worker));
        occupancy
    }

    /// Whether the data centre of a worker is drained.
    pub(crate) fn is_center_drained(&self, instance: &Instance) -> bool {
        let worker = self.durable.workers.get(instance);
        worker.is_some_and(|w| self.drained_centers().contains(&w.place.center))
    }

    /// Whether a member that has not stopped is in a drained data centre.
    pub(crate) fn uses_drained_center(&self, attempt: &Attempt) -> bool {
        let mut held = attempt.cells.iter().zip(&attempt.members).filter(|(_, m)| m.holds());
        held.any(|(cell, _)| self.is_center_drained(&cell.instance))
    }

    /// Refuses cells in drained data centres. A drain may be committed between a decision and its
    /// records.
    pub(super) fn check_undrained(&self, cells: &[Cell]) -> Result<()> {
        match cells.iter().find(|cell| self.is_center_drained(&cell.instance)) {
            Some(cell) => Err(Error::CenterDrained(cell.instance.clone())),
            None => Ok(()),
        }
    }
}
