//! Service-level burn: how fast the share of bad answers uses up what the target allows.

mod report;
mod ring;

pub use self::{
    report::{BurnReport, BurnTracker, BurnTrackers, WindowCounts},
    ring::{AnswerCounts, CountRing},
};
