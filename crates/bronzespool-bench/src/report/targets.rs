//! Targets for the scheduler, and whether each scenario meets them.

use {crate::decisions::Figures, std::fmt::Write as _};

/// Largest mean and p99 completion time, relative to first-fit FIFO with strict quotas.
const COMPLETION_RATIO_MAX: f64 = 0.70;
/// Largest fragmentation, relative to first-fit FIFO with strict quotas.
const FRAGMENTATION_RATIO_MAX: f64 = 0.60;
/// Smallest utilisation, relative to the oracle.
const UTILISATION_RATIO_MIN: f64 = 0.95;

/// A target on one scenario.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the figure.
    pub name: &'static str,
    /// The scheduler's figure.
    pub value: f64,
    /// Bound that the figure must keep.
    pub bound: f64,
    /// Whether the target is met.
    pub met: bool,
}

const fn at_most(name: &'static str, value: f64, bound: f64) -> Target {
    Target { name, value, bound, met: value <= bound }
}

/// Targets for one scenario. `run` holds the figures of FIFO, count-based backfill, the oracle and
/// the scheduler, in this order.
pub fn targets(run: &[Figures]) -> Vec<Target> {
    let [fifo, _, oracle, scheduler] = run else { return Vec::new() };
    let utilisation_min = UTILISATION_RATIO_MIN * oracle.utilisation;
    vec![
        at_most("broken guarantees", scheduler.broken as f64, 0.0),
        at_most("gang violations", scheduler.gang_violations as f64, 0.0),
        at_most(
            "mean completion",
            scheduler.completion.mean,
            COMPLETION_RATIO_MAX * fifo.completion.mean,
        ),
        at_most(
            "p99 completion",
            scheduler.completion.p99,
            COMPLETION_RATIO_MAX * fifo.completion.p99,
        ),
        at_most(
            "fragmentation",
            scheduler.fragmentation,
            FRAGMENTATION_RATIO_MAX * fifo.fragmentation,
        ),
        Target {
            name: "utilisation",
            value: scheduler.utilisation,
            bound: utilisation_min,
            met: scheduler.utilisation >= utilisation_min,
        },
    ]
}

/// Section of the page with one row for each scenario: each figure, and in brackets the bound if it
/// is missed.
pub(super) fn section(runs: &[Vec<Figures>]) -> String {
    let mut text = String::from(
        "## Targets\n\nBroken guarantees and gang violations: none. Mean and p99 completion: at \
         least 30 % below\n`fifo-quota`. Fragmentation: at least 40 % below it. Utilisation: within \
         5 % of `oracle`. A missed\ntarget is in bold, with its bound.\n\n",
    );
    let names = ["broken", "gang violations", "mean", "p99", "fragmentation", "utilisation"];
    _ = writeln!(text, "| deployment, stream | {} |", names.join(" | "));
    _ = writeln!(text, "|---|{}", "---|".repeat(names.len()));
    let mut met = 0;
    let mut total = 0;
    for run in runs {
        let Some(scheduler) = run.last() else { continue };
        _ = write!(text, "| {}, {} |", scheduler.scale, scheduler.stream);
        for target in targets(run) {
            total += 1;
            met += usize::from(target.met);
            _ = write!(text, " {} |", cell(&target));
        }
        text.push('\n');
    }
    _ = writeln!(text, "\n{met} of {total} targets met.\n");
    text
}

fn cell(target: &Target) -> String {
    let digits = if target.bound < 2.0 && target.bound > 0.0 { 3 } else { 0 };
    let value = format!("{:.digits$}", target.value);
    if target.met {
        return value;
    }
    format!("**{value}** ({:.digits$})", target.bound)
}
