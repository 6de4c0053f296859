//! Admission and routing: team limits, queues, endpoint choice, outlier ejection and retry budgets.

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
