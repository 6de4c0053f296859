//! Who may send how much where: team limits, the queue, routing, ejection and retry budgets.

mod admit;
mod lane;
mod pump;
mod shares;
mod state;

pub(super) use {
    admit::{Admit, Admitted},
    lane::Lane,
    state::Traffic,
};
