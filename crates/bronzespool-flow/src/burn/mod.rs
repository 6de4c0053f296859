//! Burn rate of the service levels: how fast bad answers use up the error budget of a target.

mod report;
mod ring;

pub use self::{
    report::{BurnReport, BurnTracker, BurnTrackers, WindowCounts},
    ring::{AnswerCounts, CountRing},
};
