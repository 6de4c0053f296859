//! Who may send how much where: team limits, the queue, routing, ejection and retry budgets.

mod admission;
mod admit;
mod reservation;
mod shares;
mod state;

pub(super) use {
    admit::{AdmitFilter, AdmittedRequest},
    reservation::SlotReservation,
    state::Traffic,
};
