//! Compares declared, learned and true run times on one stream of jobs.
//!
//! One list scheduler in virtual time gets its durations from one [`Source`] at a time: what jobs
//! declare, what `bronzespool-estimate` learns from progress and ends, or the truth. Everything else
//! is equal: the stream, the workers and the rules. The rules are those of the plan in small: the
//! tightest job first, on the slowest worker on which it still completes in time. Gangs, racks,
//! guarantees and commits are left out, so that differences come from durations alone.

mod fit_time;
mod load;
mod page;
mod simulator;

pub use self::{
    fit_time::{FitTimes, fit_times},
    load::{Deployment, Options},
    page::{TABLE_BEGIN, TABLE_END, insert, table},
    simulator::{Figures, Source, run},
};

/// Seeds over which the published figures are summed.
pub const SEEDS: [u64; 3] = [1, 2, 3];

/// Figures of all sources on one deployment, summed over seeds, in the order of [`Source::ALL`].
pub fn compare(deployment: Deployment, seeds: &[u64]) -> [Figures; 3] {
    Source::ALL.map(|source| {
        let runs = seeds.iter().map(|&seed| run(&Options::new(deployment, seed), source));
        runs.fold(Figures::default(), |sum, figures| sum + figures)
    })
}
