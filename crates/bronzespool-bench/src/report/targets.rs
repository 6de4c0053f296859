//! The targets, and how each scenario stands against them.

use {crate::decisions::Figures, std::fmt::Write as _};

/// Largest mean and p99 completion time, as a share of first-fit FIFO with strict quotas.
const COMPLETION: f64 = 0.70;
/// Largest fragmentation, as a share of first-fit FIFO with strict quotas.
const FRAGMENTATION: f64 = 0.60;
/// Least utilisation, as a share of the oracle's.
const UTILISATION: f64 = 0.95;

/// One target on one scenario.
#[derive(Clone, Debug)]
pub struct Target {
    /// What is measured.
    pub name: &'static str,
    /// The scheduler's figure.
    pub value: f64,
    /// The bound that follows from the target.
    pub bound: f64,
    /// Whether the target is met.
    pub met: bool,
}

const fn at_most(name: &'static str, value: f64, bound: f64) -> Target {
    Target { name, value, bound, met: value <= bound }
}

/// The targets for one scenario: figures of FIFO, count-based backfill, the oracle and the
/// scheduler, in this order.
pub fn targets(run: &[Figures]) -> Vec<Target> {
    let [fifo, _, oracle, own] = run else { return Vec::new() };
    let least = UTILISATION * oracle.utilisation;
    vec![
        at_most("broken guarantees", own.broken as f64, 0.0),
        at_most("gang violations", own.gang_violations as f64, 0.0),
        at_most("mean completion", own.completion.mean, COMPLETION * fifo.completion.mean),
        at_most("p99 completion", own.completion.p99, COMPLETION * fifo.completion.p99),
        at_most("fragmentation", own.fragmentation, FRAGMENTATION * fifo.fragmentation),
        Target {
            name: "utilisation",
            value: own.utilisation,
            bound: least,
            met: own.utilisation >= least,
        },
    ]
}

/// One row for each scenario: the figure, and the bound in brackets where it is missed.
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
    let mut all = 0;
    for run in runs {
        let Some(own) = run.last() else { continue };
        _ = write!(text, "| {}, {} |", own.scale, own.stream);
        for target in targets(run) {
            all += 1;
            met += usize::from(target.met);
            _ = write!(text, " {} |", cell(&target));
        }
        text.push('\n');
    }
    _ = writeln!(text, "\n{met} of {all} targets met.\n");
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
