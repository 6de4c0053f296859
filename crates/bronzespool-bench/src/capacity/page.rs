//! The table of slopes, and its insertion into the capacity page.

use {
    crate::capacity::{Results, Slope},
    std::fmt::Write as _,
};

/// Marker line before the table.
pub const TABLE_BEGIN: &str = "<!-- slopes: made by `bronzespool-bench capacity`, do not edit -->";
/// Marker line after the table.
pub const TABLE_END: &str = "<!-- end of slopes -->";

const TABLE_HEAD: &str = "\
| act | bytes = base + slope x size | sizes measured | error of the fit | size and rate | load, B/s \
| bound, B/s | at 2x | at 10x | mechanism |
|---|---|---|---|---|---|---|---|---|---|
";

/// Markdown table of `results`; loads over their bound are bold.
pub fn table(results: &Results) -> String {
    let mut text = TABLE_HEAD.to_owned();
    results.slopes.iter().for_each(|slope| row(&mut text, slope));
    text
}

fn row(text: &mut String, s: &Slope) {
    let sizes: Vec<_> = s.points.iter().map(|p| p.0.to_string()).collect();
    let load = if s.fits() { format!("{:.0}", s.load) } else { format!("**{:.0}**", s.load) };
    _ = writeln!(
        text,
        "| {} | {} + {} x {} | {} | {:.1} % | {:.0}; {:.3} /s: {} | {load} | {:.0} | {:.0} | {:.0} | {} |",
        s.name,
        s.base,
        s.slope,
        s.by,
        sizes.join(", "),
        s.error * 100.0,
        s.size,
        s.rate,
        s.reason,
        s.bound,
        s.load * 2.0,
        s.load * 10.0,
        s.mechanism
    );
}

/// The page with its table replaced; `None` if the page lacks one of the marker lines.
pub fn insert(page: &str, results: &Results) -> Option<String> {
    let (before, rest) = page.split_once(TABLE_BEGIN)?;
    let (_, after) = rest.split_once(TABLE_END)?;
    Some(format!("{before}{TABLE_BEGIN}\n\n{}\n{TABLE_END}{after}", table(results)))
}
