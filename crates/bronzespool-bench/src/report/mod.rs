//! Writes the figures as a Markdown page, as JSON and as plots.

mod plots;
mod targets;

use {
    crate::decisions::Figures,
    std::{fmt::Write as _, fs, path::Path},
};

pub use self::targets::{Target, targets};

/// Result of writing a report.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Writes `decisions.md`, `decisions.json` and the plots into `dir`.
///
/// # Errors
///
/// If a file cannot be written.
pub fn write(dir: &Path, runs: &[Vec<Figures>], seed: u64, hours: u64) -> Result<()> {
    fs::create_dir_all(dir)?;
    fs::write(dir.join("decisions.json"), serde_json::to_string_pretty(runs)? + "\n")?;
    let names = plots::write(dir, runs)?;
    let mut scales: Vec<&str> = runs.iter().flatten().map(|f| f.scale.as_str()).collect();
    scales.dedup();
    let scales = scales.join(",");
    let mut page = format!(
        "# Scheduling decisions\n\n\
         Made by `cargo run --release -p bronzespool-bench -- decisions --scale {scales} --out \
         docs/measurements`;\ndo not edit. Seed {seed}, {hours} h of submissions in virtual time. All figures, also by \
         team and gang size, are in\n`decisions.json`. Times are seconds.\n\n"
    );
    page += &targets::section(runs);
    page += "## Figures\n\n";
    page += &table(runs);
    page += "\n## Plots\n\n";
    names.iter().for_each(|name| _ = writeln!(page, "![{name}]({name})"));
    fs::write(dir.join("decisions.md"), page)?;
    Ok(())
}

const TABLE_HEAD: &str = "\
| deployment, stream | policy | jobs | completion mean | p95 | p99 | left over | fragmentation \
| floor | unusable | utilisation | longest gang wait | reclaim p99 | broken (of retried jobs) | preempted | work lost, h \
| refused, dropped | gang violations | invalid |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
";

/// Markdown table with one row for each policy on each scenario.
pub fn table(runs: &[Vec<Figures>]) -> String {
    let rows = runs.iter().flatten().map(row);
    TABLE_HEAD.to_owned() + &rows.collect::<String>()
}

fn row(f: &Figures) -> String {
    let Figures { completion: c, jobs, unfinished, fragmentation, floor, .. } = f;
    let Figures { unusable, utilisation, .. } = f;
    format!(
        "| {}, {} | {} | {jobs} | {:.0} | {:.0} | {:.0} | {unfinished} | {fragmentation:.3} \
         | {floor:.3} | {unusable:.1} | {utilisation:.3} | {:.0} | {:.1} | {} ({}) | {} | {:.1} | {}, {} | {} | {} |\n",
        f.scale,
        f.stream,
        f.policy,
        c.mean,
        c.p95,
        c.p99,
        f.gang_wait,
        f.reclaim.p99,
        f.broken,
        f.broken_retried,
        f.preemptions,
        f.lost / 3_600.0,
        f.refused.0,
        f.dropped,
        f.gang_violations,
        f.invalid
    )
}
