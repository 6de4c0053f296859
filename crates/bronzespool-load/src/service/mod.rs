//! Completion times and goodput of the deployments under load and faults.

use {
    crate::Result,
    std::{path::PathBuf, time::Duration},
};

/// What goes wrong while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One endpoint fails every request at once.
    Bad,
    /// One endpoint takes ten times as long.
    Slow,
    /// One instance is killed in the middle.
    Killed,
}

impl Fault {
    /// Name in arguments and pages.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Bad => "bad",
            Self::Slow => "slow",
            Self::Killed => "killed",
        }
    }
}

impl TryFrom<&str> for Fault {
    type Error = Box<dyn std::error::Error>;

    fn try_from(text: &str) -> Result<Self> {
        let all = [Self::None, Self::Bad, Self::Slow, Self::Killed];
        let found = all.into_iter().find(|f| f.name() == text);
        found.ok_or_else(|| format!("{text:?} is not none, bad, slow or killed").into())
    }
}

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Names of the deployments.
    pub deployments: Vec<String>,
    /// Loads in percent of capacity.
    pub loads: Vec<u32>,
    /// Faults.
    pub faults: Vec<Fault>,
    /// Endpoints.
    pub workers: u32,
    /// Time in milliseconds of one request at an endpoint.
    pub millis: u64,
    /// Length of a phase.
    pub phase: Duration,
    /// Folder of the results.
    pub out: PathBuf,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployments: vec!["registry".to_owned(), "cooperative".to_owned()],
            loads: vec![50, 90, 150, 300],
            faults: vec![Fault::None, Fault::Bad, Fault::Slow, Fault::Killed],
            workers: 10,
            millis: 100,
            phase: Duration::from_secs(4),
            out: PathBuf::from("docs/measurements"),
            seed: 7,
        }
    }
}

/// Measures and writes the page.
///
/// # Errors
///
/// If the system cannot be started or the page not written.
pub async fn run(_: &Options) -> Result<()> {
    Err("not there yet".into())
}
