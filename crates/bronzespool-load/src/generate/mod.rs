//! Load generator: arrival schedule, request mix, connections, targets and result statistics.

mod arrivals;
mod baseline;
mod drive;
mod mix;
mod pool;
mod stats;
mod target;

pub use {
    arrivals::Arrivals,
    baseline::BaselineTarget,
    drive::{LoadPhase, drive},
    mix::{RequestMix, RequestTemplate},
    pool::{Pool, Response},
    stats::{Counts, Quantiles, RequestStats, ResultClass},
    target::{DirectTarget, EntryTarget, LoadRequest, Target},
};
