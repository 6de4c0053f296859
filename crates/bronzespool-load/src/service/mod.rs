//! Measures completion times and goodput of the example deployments under load and faults.

mod burst;
mod claims;
mod deployment;
mod figures;
mod page;

use {
    crate::{Result, report::HostLoad},
    deployment::RunningDeployment,
    figures::{DeploymentFigures, PhaseFigures},
    serde::Serialize,
    std::{path::PathBuf, time::Duration},
};

/// Fault that is injected while the load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// No fault.
    None,
    /// One endpoint fails every request at once.
    Bad,
    /// One endpoint takes ten times as long.
    Slow,
    /// One endpoint and its agent are killed in the middle of the phase.
    Killed,
}

impl Fault {
    /// Name of the fault in arguments and pages.
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
        let fault = all.into_iter().find(|f| f.name() == text);
        fault.ok_or_else(|| format!("{text:?} is not none, bad, slow or killed").into())
    }
}

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Names of the deployments.
    pub deployments: Vec<String>,
    /// Loads in percent of capacity.
    pub load_percents: Vec<u32>,
    /// Injected faults.
    pub faults: Vec<Fault>,
    /// Number of endpoints.
    pub worker_count: u32,
    /// Service time of a request at an endpoint in milliseconds.
    pub request_millis: u64,
    /// Length of a phase.
    pub phase_duration: Duration,
    /// Output folder of the results.
    pub out_dir: PathBuf,
    /// Seed of the arrival schedule.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deployments: vec!["registry".to_owned(), "cooperative".to_owned()],
            load_percents: vec![50, 90, 150, 300],
            faults: vec![Fault::None, Fault::Bad, Fault::Slow, Fault::Killed],
            worker_count: 10,
            request_millis: 100,
            phase_duration: Duration::from_secs(4),
            out_dir: PathBuf::from("docs/measurements"),
            seed: 7,
        }
    }
}

/// Pause between two phases.
const PHASE_PAUSE: Duration = Duration::from_millis(300);

/// Measures each deployment and writes the page of results after each.
///
/// # Errors
///
/// Returns an error if the system cannot be started or the page cannot be written.
pub async fn run(options: &Options) -> Result<()> {
    let mut all = Vec::new();
    for name in &options.deployments {
        all.push(measure_deployment(name, options).await?);
        page::render(options, &all).write(&options.out_dir, "service", &all)?;
    }
    Ok(())
}

async fn measure_deployment(name: &str, options: &Options) -> Result<DeploymentFigures> {
    let mut deployment = RunningDeployment::start(name, options).await?;
    let mut figures = DeploymentFigures::new(name, deployment.capacity(), HostLoad::read());
    for (load, fault) in phase_plan(options) {
        for system in [true, false] {
            let phase = measure_phase(&mut deployment, options, load, fault, system).await?;
            eprintln!("{}", phase.summary());
            figures.phases.push(phase);
            tokio::time::sleep(PHASE_PAUSE).await;
        }
    }
    figures.bursts = burst::measure(&mut deployment, options).await?;
    figures.claims = claims::measure(&deployment, options).await?;
    figures.after = HostLoad::read();
    deployment.stop().await?;
    figures.verdicts = figures::verdicts(&figures);
    Ok(figures)
}

/// Load in percent and fault of each phase: first all loads and 100 % without a fault, then the
/// loads of `options` with each fault.
fn phase_plan(options: &Options) -> Vec<(u32, Fault)> {
    let mut loads = options.load_percents.clone();
    loads.push(100);
    loads.sort_unstable();
    loads.dedup();
    let mut phases: Vec<_> = loads.iter().map(|load| (*load, Fault::None)).collect();
    for fault in options.faults.iter().filter(|f| **f != Fault::None) {
        phases.extend(options.load_percents.iter().map(|load| (*load, *fault)));
    }
    phases
}

async fn measure_phase(
    deployment: &mut RunningDeployment,
    options: &Options,
    load_percent: u32,
    fault: Fault,
    system: bool,
) -> Result<PhaseFigures> {
    let rate = deployment.capacity() * f64::from(load_percent) / 100.0;
    let load = deployment.load_phase(rate, options);
    let stats = if system {
        let target = deployment.entries();
        deployment.run_with_fault(fault, &target, &load).await?
    } else {
        let target = deployment.baseline();
        let stats = deployment.run_with_fault(fault, &target, &load).await?;
        target.close();
        stats
    };
    Ok(PhaseFigures::new(load_percent, fault, system, &load, &stats))
}
