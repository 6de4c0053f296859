//! Completion times and goodput of the deployments under load and faults.

mod burst;
mod claims;
mod figures;
mod page;
mod rig;

use {
    crate::{Result, report::Machine},
    figures::{Figures, Phase},
    rig::Rig,
    serde::Serialize,
    std::{path::PathBuf, time::Duration},
};

/// What goes wrong while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
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

/// Pause between two phases.
const PAUSE: Duration = Duration::from_millis(300);

/// Measures and writes the page.
///
/// # Errors
///
/// If the system cannot be started or the page not written.
pub async fn run(options: &Options) -> Result<()> {
    let mut all = Vec::new();
    for name in &options.deployments {
        all.push(deployment(name, options).await?);
        page::page(options, &all).write(&options.out, "service", &all)?;
    }
    Ok(())
}

async fn deployment(name: &str, options: &Options) -> Result<Figures> {
    let mut rig = Rig::start(name, options).await?;
    let mut figures = Figures::new(name, rig.capacity(), Machine::now());
    for (load, fault) in phases(options) {
        for system in [true, false] {
            let phase = phase(&mut rig, options, load, fault, system).await?;
            eprintln!("{}", phase.line());
            figures.phases.push(phase);
            tokio::time::sleep(PAUSE).await;
        }
    }
    figures.bursts = burst::measure(&mut rig, options).await?;
    figures.claims = claims::measure(&rig, options).await?;
    figures.after = Machine::now();
    rig.stop().await?;
    figures.verdicts = figures::verdicts(&figures);
    Ok(figures)
}

/// All loads without a fault, 100 % among them, then those asked for with each fault.
fn phases(options: &Options) -> Vec<(u32, Fault)> {
    let mut loads = options.loads.clone();
    loads.push(100);
    loads.sort_unstable();
    loads.dedup();
    let mut phases: Vec<_> = loads.iter().map(|load| (*load, Fault::None)).collect();
    for fault in options.faults.iter().filter(|f| **f != Fault::None) {
        phases.extend(options.loads.iter().map(|load| (*load, *fault)));
    }
    phases
}

async fn phase(
    rig: &mut Rig,
    options: &Options,
    load: u32,
    fault: Fault,
    system: bool,
) -> Result<Phase> {
    let rate = rig.capacity() * f64::from(load) / 100.0;
    let wish = rig.load(rate, options);
    let tally = if system {
        let target = rig.entries();
        rig.under(fault, &target, &wish).await?
    } else {
        let target = rig.baseline();
        let tally = rig.under(fault, &target, &wish).await?;
        target.close();
        tally
    };
    Ok(Phase::new(load, fault, system, &wish, &tally))
}
