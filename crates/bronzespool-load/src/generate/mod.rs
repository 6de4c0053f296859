//! The load generator: schedule, mix of requests, connections, and the tally of answers.

mod arrivals;
mod baseline;
mod drive;
mod mix;
mod pool;
mod tally;
mod target;

pub use {
    arrivals::Arrivals,
    baseline::Baseline,
    drive::{Load, drive},
    mix::{Item, Mix},
    pool::{Pool, Reply},
    tally::{Class, Counts, Quantiles, Tally},
    target::{Direct, Entries, Target, Wish},
};
