//! Measures the cost of a claim as the slope of resource usage over three claim rates.

use {
    crate::{
        Result,
        generate::{Quantiles, RequestMix, drive},
        service::{Options, RunningDeployment},
        usage::{Usage, UsageSample, fit_line},
    },
    serde::Serialize,
    std::time::Duration,
    tokio::time::Instant,
};

/// Measured rates in claims per second.
const CLAIM_RATES: [f64; 3] = [50.0, 150.0, 300.0];

/// Figures at one rate.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct RatePoint {
    /// Claims per second that got a complete response, warm-up included.
    pub(super) rate: f64,
    /// Requests that got no complete response in time.
    pub(super) others: u64,
    /// Processor time of all control instances, in milliseconds per second.
    pub(super) control: f64,
    /// Processor time of the busiest control instance, in milliseconds per second.
    pub(super) leader: f64,
    /// Processor time of all entry instances, in milliseconds per second.
    pub(super) entry: f64,
    /// Processor time of all agents, in milliseconds per second.
    pub(super) agent: f64,
    /// Bytes per second that each control instance wrote to its files.
    pub(super) log: f64,
    /// Bytes per second written to storage for each control instance, in whole pages.
    pub(super) written: f64,
    /// Time from the scheduled arrival to the complete response in milliseconds.
    pub(super) times: Quantiles,
}

/// Cost of one claim: the slopes over the claim rate.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Slopes {
    /// Processor time of all control instances in microseconds.
    pub(super) control: f64,
    /// Processor time of the busiest control instance in microseconds.
    pub(super) leader: f64,
    /// Processor time of all entry instances in microseconds.
    pub(super) entry: f64,
    /// Processor time of all agents in microseconds.
    pub(super) agent: f64,
    /// Bytes written to the files of each control instance.
    pub(super) log: f64,
    /// Bytes written to storage for each control instance, in whole pages.
    pub(super) written: f64,
}

/// Figures at all rates and their slopes.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct ClaimFigures {
    pub(super) points: Vec<RatePoint>,
    pub(super) slopes: Slopes,
}

/// Measures all rates with the first protected kind of the mix.
pub(super) async fn measure(
    deployment: &RunningDeployment,
    options: &Options,
) -> Result<ClaimFigures> {
    let protected =
        deployment.mix().templates().iter().find(|t| t.protected).map(|t| t.kind.clone());
    let mix = deployment.mix().for_kind(&protected.ok_or("no kind is protected")?);
    let mut points = Vec::new();
    for rate in CLAIM_RATES {
        points.push(measure_rate(deployment, options, &mix, rate).await);
    }
    let slope = |f: fn(&RatePoint) -> f64| {
        let pairs: Vec<_> = points.iter().map(|p| (p.rate, f(p))).collect();
        fit_line(&pairs).map_or(0.0, |(slope, _)| slope)
    };
    let slopes = Slopes {
        control: slope(|p| p.control) * 1e3,
        leader: slope(|p| p.leader) * 1e3,
        entry: slope(|p| p.entry) * 1e3,
        agent: slope(|p| p.agent) * 1e3,
        log: slope(|p| p.log),
        written: slope(|p| p.written),
    };
    Ok(ClaimFigures { points, slopes })
}

async fn measure_rate(
    deployment: &RunningDeployment,
    options: &Options,
    mix: &RequestMix,
    rate: f64,
) -> RatePoint {
    let target = deployment.entries();
    let mut load = deployment.load_phase(rate, options);
    load.duration += load.warmup;
    load.warmup = Duration::ZERO;
    let (before, begin) = (deployment.sample_usage(), Instant::now());
    let stats = drive(&target, mix, &load).await;
    let seconds = begin.elapsed().as_secs_f64();
    let after = deployment.sample_usage();
    let (counts, times) = stats.totals();
    let cpu_rate = |role: &'static str| cpu_millis(&before, &after, role).map(|m| m / seconds);
    let control: Vec<_> = cpu_rate("control").collect();
    let control_count = deployment.control_count() as f64;
    RatePoint {
        rate: counts.good as f64 / seconds,
        others: counts.total() - counts.good,
        control: control.iter().sum(),
        leader: control.iter().copied().fold(0.0, f64::max),
        entry: cpu_rate("entry").sum(),
        agent: cpu_rate("agent").sum(),
        log: control_bytes(&before, &after, |u| u.file_bytes) / seconds / control_count,
        written: control_bytes(&before, &after, |u| u.storage_bytes) / seconds / control_count,
        times,
    }
}

/// Processor time in milliseconds of each process of a role.
fn cpu_millis(before: &UsageSample, after: &UsageSample, role: &str) -> impl Iterator<Item = f64> {
    let of_role = after.iter().filter(move |(name, _)| name.starts_with(role));
    of_role.map(|(name, usage)| {
        let first = before.get(name).copied().unwrap_or_default();
        usage.cpu_time.saturating_sub(first.cpu_time).as_secs_f64() * 1e3
    })
}

/// Growth of a byte counter between two samples, summed over all control instances.
fn control_bytes(before: &UsageSample, after: &UsageSample, of: impl Fn(&Usage) -> u64) -> f64 {
    let control = after.iter().filter(|(name, _)| name.starts_with("control"));
    let growth = control.map(|(name, usage)| {
        let first = before.get(name).copied().unwrap_or_default();
        of(usage).saturating_sub(of(&first)) as f64
    });
    growth.sum()
}
