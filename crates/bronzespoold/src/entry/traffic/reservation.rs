//! Resources that an admitted request holds until it ends.

use {
    crate::entry::{dispatch::Target, state::State},
    bronzespool::core::{Service, Team},
    std::rc::Rc,
};

/// Counts a request against its team's limit until the permit is dropped.
pub(in crate::entry) struct Permit {
    pub(super) state: Rc<State>,
    pub(super) service: Service,
    pub(super) team: Team,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.state.traffic.borrow_mut().service(&self.service).buckets.release(&self.team);
        self.state.wake_admission();
    }
}

/// Slots of an endpoint that this entry counts as used until the reservation is dropped.
pub(in crate::entry) struct SlotReservation {
    pub(super) state: Rc<State>,
    pub(super) slots: u32,
    pub(in crate::entry) target: Target,
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        let instance = &self.target.incarnation.instance;
        self.state.traffic.borrow_mut().loads.request_ended(instance, self.slots);
        self.state.wake_admission();
    }
}
