//! The table of the comparison, and its insertion into a page.

use {
    crate::run_times::{Deployment, Figures, Source},
    std::fmt::Write as _,
};

/// Marker line before the table.
pub const TABLE_BEGIN: &str =
    "<!-- run-times: made by `bronzespool-bench run-times`, do not edit -->";
/// Marker line after the table.
pub const TABLE_END: &str = "<!-- end of run-times -->";

/// Markdown table with one row for each source on each deployment.
pub fn table(results: &[(Deployment, [Figures; 3])]) -> String {
    let mut text = "| workers | run times | jobs | missed bounds | value | work thrown away \
         | utilisation |\n|---|---|---|---|---|---|---|\n"
        .to_owned();
    for (deployment, figures) in results {
        for (source, f) in Source::ALL.iter().zip(figures) {
            _ = writeln!(
                text,
                "| {} | {} | {} | {:.1} % | {:.3} | {:.1} % | {:.1} % |",
                deployment.name(),
                source.name(),
                f.jobs,
                f.missed() * 100.0,
                f.value(),
                f.lost_share() * 100.0,
                f.utilisation() * 100.0
            );
        }
    }
    text
}

/// The page with its table replaced; `None` if the page lacks one of the marker lines.
pub fn insert(page: &str, table: &str) -> Option<String> {
    let (before, rest) = page.split_once(TABLE_BEGIN)?;
    let (_, after) = rest.split_once(TABLE_END)?;
    Some(format!("{before}{TABLE_BEGIN}\n\n{table}\n{TABLE_END}{after}"))
}
