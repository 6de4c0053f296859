//! Figures of one deployment, and whether they meet the targets.

use {
    crate::{
        generate::{Counts, LoadPhase, Quantiles, RequestStats},
        report::{HostLoad, Verdict},
        service::{Fault, burst::Burst, claims::ClaimFigures},
    },
    serde::Serialize,
};

/// Target: smallest goodput at 300 % of capacity, as a share of that at 100 %.
const GOODPUT_SHARE_MIN: f64 = 0.9;
/// Target: largest factor by which a burst of one team may raise the 99th percentile of the others.
const BURST_P99_FACTOR_MAX: f64 = 1.2;

/// Figures of one phase against the system or the baseline.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PhaseFigures {
    /// Load in percent of capacity.
    pub(super) load: u32,
    /// Injected fault.
    pub(super) fault: Fault,
    /// Whether the system was measured; the baseline otherwise.
    pub(super) system: bool,
    /// Requests sent per second.
    pub(super) offered: f64,
    /// Complete responses in time per second, counted by when they arrived.
    pub(super) goodput: f64,
    /// Requests by result.
    pub(super) counts: Counts,
    /// Time from the scheduled arrival to the complete response in milliseconds.
    pub(super) times: Quantiles,
    /// Time from the scheduled arrival to a refusal in milliseconds.
    pub(super) refusals: Quantiles,
    /// Lag of the generator in milliseconds.
    pub(super) lag: Quantiles,
    /// Figures by kind.
    pub(super) kinds: Vec<GroupFigures>,
    /// Figures by team.
    pub(super) teams: Vec<GroupFigures>,
}

/// Figures of one kind or team in a phase.
#[derive(Clone, Debug, Serialize)]
pub(super) struct GroupFigures {
    pub(super) name: String,
    pub(super) counts: Counts,
    pub(super) times: Quantiles,
}

impl PhaseFigures {
    pub(super) fn new(
        load_percent: u32,
        fault: Fault,
        system: bool,
        load: &LoadPhase,
        stats: &RequestStats,
    ) -> Self {
        let (counts, times) = stats.totals();
        let kind = |name: String| {
            let (counts, times) = stats.select(|k, _| k == name);
            GroupFigures { name, counts, times }
        };
        let team = |name: String| {
            let (counts, times) = stats.select(|_, t| t == name);
            GroupFigures { name, counts, times }
        };
        let seconds = load.duration.as_secs_f64();
        Self {
            load: load_percent,
            fault,
            system,
            offered: counts.total() as f64 / seconds,
            goodput: stats.good_completions() as f64 / seconds,
            counts,
            times,
            refusals: stats.refusals(),
            lag: stats.lag(),
            kinds: stats.kinds().into_iter().map(kind).collect(),
            teams: stats.teams().into_iter().map(team).collect(),
        }
    }

    /// Name of the measured target.
    pub(super) const fn target_name(&self) -> &'static str {
        if self.system { "system" } else { "baseline" }
    }

    /// Progress line on standard error.
    pub(super) fn summary(&self) -> String {
        format!(
            "{} % {} {}: {:.0}/s good of {:.0}/s, p50 {:.0} ms, p99 {:.0} ms",
            self.load,
            self.fault.name(),
            self.target_name(),
            self.goodput,
            self.offered,
            self.times.p50,
            self.times.p99
        )
    }
}

/// All figures of one deployment.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DeploymentFigures {
    pub(super) deployment: String,
    pub(super) capacity: f64,
    pub(super) before: HostLoad,
    pub(super) after: HostLoad,
    pub(super) phases: Vec<PhaseFigures>,
    pub(super) bursts: Vec<Burst>,
    pub(super) claims: ClaimFigures,
    pub(super) verdicts: Vec<Verdict>,
}

impl DeploymentFigures {
    pub(super) fn new(deployment: &str, capacity: f64, before: HostLoad) -> Self {
        Self {
            deployment: deployment.to_owned(),
            capacity,
            before,
            after: HostLoad::default(),
            phases: Vec::new(),
            bursts: Vec::new(),
            claims: ClaimFigures::default(),
            verdicts: Vec::new(),
        }
    }

    /// Phase of the system at a load in percent of capacity, without a fault.
    fn faultless_phase(&self, load: u32) -> Option<&PhaseFigures> {
        self.phases.iter().find(|p| p.system && p.load == load && p.fault == Fault::None)
    }
}

pub(super) fn verdicts(figures: &DeploymentFigures) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    if let (Some(full), Some(over)) = (figures.faultless_phase(100), figures.faultless_phase(300)) {
        let share = over.goodput / full.goodput;
        verdicts.push(Verdict {
            target: "goodput at 300 % ≥ 90 % of that at 100 %".to_owned(),
            measured: format!("{:.0} of {:.0}/s, {:.0} %", over.goodput, full.goodput, share * 1e2),
            met: share >= GOODPUT_SHARE_MIN,
        });
    }
    for burst in figures.bursts.iter().filter(|b| b.system) {
        let factor = burst.during.p99 / burst.without.p99;
        verdicts.push(Verdict {
            target: "a burst of one team leaves the others' p99 within 20 %".to_owned(),
            measured: format!(
                "{:.1} ms without, {:.1} ms with, factor {factor:.2}",
                burst.without.p99, burst.during.p99
            ),
            met: factor <= BURST_P99_FACTOR_MAX,
        });
    }
    let wrong: u64 = figures.phases.iter().filter(|p| p.system).map(|p| p.counts.wrong).sum();
    verdicts.push(Verdict {
        target: "no answer is short or another request's".to_owned(),
        measured: wrong.to_string(),
        met: wrong == 0,
    });
    verdicts
}
