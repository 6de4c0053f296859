//! Service-level burn: how fast the share of bad answers uses up what the target allows.

mod report;
mod ring;

pub use self::{
    report::{Burn, Burns, Line, Windows},
    ring::{Counts, Ring},
};
