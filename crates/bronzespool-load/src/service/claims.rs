//! What a claim costs, as slopes over three rates.

use {
    crate::{
        Result,
        generate::{Mix, Quantiles, drive},
        service::{Options, Rig},
        usage::{Sample, Usage, line},
    },
    serde::Serialize,
    std::time::Duration,
    tokio::time::Instant,
};

/// Claims a second.
const RATES: [f64; 3] = [50.0, 150.0, 300.0];

/// One rate.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Point {
    /// Claims a second that ended in a whole answer, warming included.
    pub(super) rate: f64,
    /// Requests that got no whole answer.
    pub(super) others: u64,
    /// Processor time a second of all control instances in milliseconds.
    pub(super) control: f64,
    /// The same of the busiest control instance.
    pub(super) leader: f64,
    /// The same of all entries.
    pub(super) entry: f64,
    /// The same of all agents.
    pub(super) agent: f64,
    /// Bytes a second that each control instance wrote to its files.
    pub(super) log: f64,
    /// Bytes a second written to storage for each control instance, in whole pages.
    pub(super) written: f64,
    /// Time to a whole answer in milliseconds.
    pub(super) times: Quantiles,
}

/// Cost of one claim.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Slopes {
    /// Processor time of all control instances in microseconds.
    pub(super) control: f64,
    /// Processor time of the busiest control instance in microseconds.
    pub(super) leader: f64,
    /// Processor time of the entry in microseconds.
    pub(super) entry: f64,
    /// Processor time of the agent in microseconds.
    pub(super) agent: f64,
    /// Bytes written to the files of each control instance.
    pub(super) log: f64,
    /// Bytes written to storage for each control instance, in whole pages.
    pub(super) written: f64,
}

/// Points and their slopes.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Claims {
    pub(super) points: Vec<Point>,
    pub(super) slopes: Slopes,
}

/// Measures all rates.
pub(super) async fn measure(rig: &Rig, options: &Options) -> Result<Claims> {
    let protected = rig.mix().items().iter().find(|i| i.protected).map(|i| i.kind.clone());
    let mix = rig.mix().kind(&protected.ok_or("no kind is protected")?);
    let mut points = Vec::new();
    for rate in RATES {
        points.push(point(rig, options, &mix, rate).await);
    }
    let slope = |f: fn(&Point) -> f64| {
        let pairs: Vec<_> = points.iter().map(|p| (p.rate, f(p))).collect();
        line(&pairs).map_or(0.0, |(slope, _)| slope)
    };
    let slopes = Slopes {
        control: slope(|p| p.control) * 1e3,
        leader: slope(|p| p.leader) * 1e3,
        entry: slope(|p| p.entry) * 1e3,
        agent: slope(|p| p.agent) * 1e3,
        log: slope(|p| p.log),
        written: slope(|p| p.written),
    };
    Ok(Claims { points, slopes })
}

async fn point(rig: &Rig, options: &Options, mix: &Mix, rate: f64) -> Point {
    let target = rig.entries();
    let mut load = rig.load(rate, options);
    load.span += load.warm;
    load.warm = Duration::ZERO;
    let (before, begin) = (rig.sample(), Instant::now());
    let tally = drive(&target, mix, &load).await;
    let span = begin.elapsed().as_secs_f64();
    let after = rig.sample();
    let (counts, times) = tally.whole();
    let used = |role: &'static str| cpu(&before, &after, role).map(|m| m / span);
    let control: Vec<_> = used("control").collect();
    let controls = rig.controls() as f64;
    Point {
        rate: counts.good as f64 / span,
        others: counts.total() - counts.good,
        control: control.iter().sum(),
        leader: control.iter().copied().fold(0.0, f64::max),
        entry: used("entry").sum(),
        agent: used("agent").sum(),
        log: bytes(&before, &after, |u| u.appended) / span / controls,
        written: bytes(&before, &after, |u| u.written) / span / controls,
        times,
    }
}

/// Processor time in milliseconds of each process of a role.
fn cpu(before: &Sample, after: &Sample, role: &str) -> impl Iterator<Item = f64> {
    let of_role = after.iter().filter(move |(name, _)| name.starts_with(role));
    of_role.map(|(name, usage)| {
        let first = before.get(name).copied().unwrap_or_default();
        usage.cpu.saturating_sub(first.cpu).as_secs_f64() * 1e3
    })
}

/// Bytes of all control instances.
fn bytes(before: &Sample, after: &Sample, of: impl Fn(&Usage) -> u64) -> f64 {
    let control = after.iter().filter(|(name, _)| name.starts_with("control"));
    let grown = control.map(|(name, usage)| {
        let first = before.get(name).copied().unwrap_or_default();
        of(usage).saturating_sub(of(&first)) as f64
    });
    grown.sum()
}
