//! Measures the time that the request path adds to a direct call of an endpoint, and the resource
//! usage of each role when idle and under load.

mod measure;
mod page;

use {
    crate::{
        Result,
        generate::{Counts, Quantiles},
        report::{HostLoad, Verdict},
        usage::RoleUsage,
    },
    serde::Serialize,
    std::{path::PathBuf, time::Duration},
};

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Unprotected requests per second.
    pub request_rate: f64,
    /// Protected requests per second, each of which makes a claim.
    pub claim_rate: f64,
    /// Length of a phase.
    pub phase_duration: Duration,
    /// Number of rounds; each runs all phases of a kind.
    pub rounds: u32,
    /// Length of the measurement without load.
    pub idle_duration: Duration,
    /// Output folder of the results.
    pub out_dir: PathBuf,
    /// Seed of the arrival schedule.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            request_rate: 1_000.0,
            claim_rate: 200.0,
            phase_duration: Duration::from_secs(4),
            rounds: 3,
            idle_duration: Duration::from_secs(10),
            out_dir: PathBuf::from("docs/measurements"),
            seed: 7,
        }
    }
}

/// Results of the requests sent over one route to the endpoints.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RouteStats {
    /// Requests by result.
    pub counts: Counts,
    /// Time from the scheduled arrival to the complete response in milliseconds.
    pub times: Quantiles,
    /// Time from sending to the complete response in milliseconds, without the generator's lag.
    pub sent: Quantiles,
    /// Lag of the generator in milliseconds.
    pub lag: Quantiles,
}

/// Results of direct calls and of calls through the path, measured one after the other.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RouteComparison {
    /// Calls sent directly to the endpoints.
    pub direct: RouteStats,
    /// Calls through entry instance and agent.
    pub path: RouteStats,
}

impl RouteComparison {
    /// Time that the path adds to a quantile, in milliseconds.
    pub fn added(&self, quantile: impl Fn(&Quantiles) -> f64) -> f64 {
        quantile(&self.path.times) - quantile(&self.direct.times)
    }

    /// Time that the path adds to a quantile, without the generator's lag, in milliseconds.
    pub fn added_sent(&self, quantile: impl Fn(&Quantiles) -> f64) -> f64 {
        quantile(&self.path.sent) - quantile(&self.direct.sent)
    }
}

/// Figures of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindFigures {
    /// Requests per second.
    pub rate: f64,
    /// Results of each round.
    pub rounds: Vec<RouteComparison>,
    /// Results of all rounds together.
    pub whole: RouteComparison,
    /// Usage by role while the path was under load.
    pub usage: Vec<RoleUsage>,
}

/// All figures of the measurement.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Load of the host before the first phase.
    pub before: HostLoad,
    /// Load of the host after the last phase.
    pub after: HostLoad,
    /// Figures of the unprotected kind.
    pub unprotected: KindFigures,
    /// Figures of the protected kind.
    pub protected: KindFigures,
    /// Usage by role without load.
    pub rest: Vec<RoleUsage>,
    /// Targets and whether they were met.
    pub verdicts: Vec<Verdict>,
}

/// Measures the request path and writes the page of results.
///
/// # Errors
///
/// Returns an error if the system cannot be started or the page cannot be written.
pub async fn run(options: &Options) -> Result<()> {
    let mut figures = measure::measure(options).await?;
    figures.verdicts = page::verdicts(options, &figures);
    page::render(options, &figures).write(&options.out_dir, "path", &figures)
}
