//! What the path adds to a direct call, and what each role costs at rest and under load.

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
    /// Unprotected requests a second.
    pub request_rate: f64,
    /// Protected requests a second.
    pub claim_rate: f64,
    /// Length of a phase.
    pub phase_duration: Duration,
    /// Rounds of all phases.
    pub rounds: u32,
    /// Rest that is measured.
    pub idle_duration: Duration,
    /// Folder of the results.
    pub out_dir: PathBuf,
    /// Seed of the arrivals.
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

/// Times of one way to the endpoint.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RouteStats {
    /// What came back.
    pub counts: Counts,
    /// Time to a whole answer in milliseconds.
    pub times: Quantiles,
    /// The same from when the request was sent, without the generator's own lag.
    pub sent: Quantiles,
    /// How late the generator was in milliseconds.
    pub lag: Quantiles,
}

/// A direct call and the path, one after the other.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RouteComparison {
    /// Straight to the endpoint.
    pub direct: RouteStats,
    /// Through entry and agent.
    pub path: RouteStats,
}

impl RouteComparison {
    /// What the path adds to a quantile, in milliseconds.
    pub fn added(&self, quantile: impl Fn(&Quantiles) -> f64) -> f64 {
        quantile(&self.path.times) - quantile(&self.direct.times)
    }

    /// What the path adds to a quantile, without the generator's own lag, in milliseconds.
    pub fn added_sent(&self, quantile: impl Fn(&Quantiles) -> f64) -> f64 {
        quantile(&self.path.sent) - quantile(&self.direct.sent)
    }
}

/// Figures of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindFigures {
    /// Requests a second.
    pub rate: f64,
    /// Each round.
    pub rounds: Vec<RouteComparison>,
    /// All rounds together.
    pub whole: RouteComparison,
    /// What the roles used while the path was under load.
    pub usage: Vec<RoleUsage>,
}

/// All figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The machine before the first phase.
    pub before: HostLoad,
    /// The machine after the last phase.
    pub after: HostLoad,
    /// The unprotected kind.
    pub unprotected: KindFigures,
    /// The protected kind.
    pub protected: KindFigures,
    /// What the roles used at rest.
    pub rest: Vec<RoleUsage>,
    /// Targets.
    pub verdicts: Vec<Verdict>,
}

/// Measures and writes the page.
///
/// # Errors
///
/// If the system cannot be started or the page not written.
pub async fn run(options: &Options) -> Result<()> {
    let mut figures = measure::measure(options).await?;
    figures.verdicts = page::verdicts(options, &figures);
    page::render(options, &figures).write(&options.out_dir, "path", &figures)
}
