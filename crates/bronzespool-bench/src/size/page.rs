//! The tables of growth and decisions, and their insertion into a page.

use {
    crate::size::{DecisionFigures, Growth, Results},
    std::fmt::Write as _,
};

/// Marker line before the tables.
pub const TABLE_BEGIN: &str = "<!-- size: made by `bronzespool-bench size`, do not edit -->";
/// Marker line after the tables.
pub const TABLE_END: &str = "<!-- end of size -->";

/// Markdown table of the growth over the number of workers.
pub fn growth_table(results: &Results) -> String {
    let heads = |what: &str| {
        results.sizes.iter().fold(String::new(), |text, n| text + &format!(" {what}, N = {n} |"))
    };
    let mut text = format!("| count |{} exponent |", heads("per run"));
    _ = writeln!(text, "{} exponent |", heads("per idle agent-second"));
    _ = writeln!(text, "|---{}|", "|---".repeat(results.sizes.len() * 2 + 2));
    results.growth.iter().for_each(|row| growth_row(&mut text, row));
    text
}

fn growth_row(text: &mut String, row: &Growth) {
    let values =
        |values: &[f64]| values.iter().map(|v| format!(" {v:.2} |")).collect::<Vec<_>>().concat();
    let exponent = |e: Option<f64>| e.map_or_else(|| "-".to_owned(), |e| format!("{e:+.2}"));
    _ = writeln!(
        text,
        "| {} |{} {} |{} {} |",
        row.name,
        values(&row.per_run),
        exponent(row.run_exponent),
        values(&row.per_idle),
        exponent(row.idle_exponent)
    );
}

/// Markdown tables of the decisions.
pub fn decision_table(figures: &DecisionFigures) -> String {
    let f = figures;
    let v = &f.violations;
    let rows = [
        ("runs started", f.started.to_string()),
        ("runs done", f.done.to_string()),
        ("runs ended by a stop order", f.stopped.to_string()),
        ("runs ended because their gang lost a member", f.broken.to_string()),
        ("runs ended because their gang did not start in time", f.alone.to_string()),
        ("share of runs that were not done", percent(f.stopped_share())),
        ("stop orders: capacity reclaimed for a job", f.ordered_reclaimed.to_string()),
        ("stop orders: gang lost a member", f.ordered_broken.to_string()),
        ("gangs spread over racks against their wish", f.spread_gangs.to_string()),
        ("work thrown away, core-seconds", format!("{:.0}", f.lost)),
        ("work done, core-seconds", format!("{:.0}", f.useful)),
        ("accelerators held while jobs arrived", percent(f.utilisation)),
        ("seconds until the last job ended", format!("{:.1}", f.length)),
        ("runs that ended twice", v.double_ends.to_string()),
        ("starts over a worker's capacity", v.over_capacity.to_string()),
        ("gangs in part", v.partial_gangs.to_string()),
        ("jobs that did not end", v.unfinished.to_string()),
    ];
    let mut text = "| figure | value |\n|---|---|\n".to_owned();
    rows.iter().for_each(|(name, value)| _ = writeln!(text, "| {name} | {value} |"));
    text.push_str(
        "\n| priority | jobs | in time | within three times the allowed duration \
         | began more than 2.7 s late |\n|---|---|---|---|---|\n",
    );
    for (priority, p) in f.priorities.iter().enumerate() {
        let share = |count: usize| format!("{count}, {}", percent(share(count, p.jobs)));
        _ = writeln!(
            text,
            "| {priority} | {} | {} | {} | {} |",
            p.jobs,
            share(p.in_time),
            share(p.before_cutoff),
            share(p.late_begin)
        );
    }
    text
}

fn share(count: usize, all: usize) -> f64 {
    count as f64 / all.max(1) as f64
}

fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}

/// The page with its tables replaced; `None` if the page lacks one of the marker lines.
pub fn insert(page: &str, results: &Results) -> Option<String> {
    let (before, rest) = page.split_once(TABLE_BEGIN)?;
    let (_, after) = rest.split_once(TABLE_END)?;
    let (growth, decisions) = (growth_table(results), decision_table(&results.decisions));
    Some(format!("{before}{TABLE_BEGIN}\n\n{growth}\n{decisions}\n{TABLE_END}{after}"))
}
