//! Burn rates of the service-level targets as table, plot and HTML page.

mod page;
mod plot;

pub use self::{page::html_page, plot::svg_plot};

use {
    crate::output::table,
    serde::{Deserialize, Serialize},
};

/// Burn rates of the service-level target of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Name of the service.
    pub service: String,
    /// Name of the kind.
    pub kind: String,
    /// Share of requests that must be good.
    pub target: f64,
    /// Response time in milliseconds within which a request counts as good.
    pub within_ms: u64,
    /// Number of requests in the window of the error budget.
    pub total: u64,
    /// Number of good requests among them.
    pub good: u64,
    /// Share of good requests; `None` without requests.
    pub share: Option<f64>,
    /// Share of the error budget that is left; negative if overspent.
    pub budget_left: Option<f64>,
    /// Burn rate over the short window; at 1 the budget is spent exactly by the end of its window.
    pub burn_short: Option<f64>,
    /// Burn rate over the long window.
    pub burn_long: Option<f64>,
    /// Length of the short window in seconds.
    pub short_s: f64,
    /// Length of the long window in seconds.
    pub long_s: f64,
    /// Pairs of time in seconds and burn rate, the oldest first; may be empty.
    #[serde(default)]
    pub history: Vec<(f64, f64)>,
}

impl BurnRow {
    /// Label in the legend of the plot.
    fn legend_label(&self) -> String {
        format!("{}/{}", self.service, self.kind)
    }
}

/// Column headers of the table.
const HEADERS: [&str; 9] = [
    "service",
    "kind",
    "target",
    "within",
    "good/total",
    "share",
    "budget left",
    "burn short",
    "burn long",
];

/// Renders the rows as a text table.
pub fn table_text(rows: &[BurnRow]) -> String {
    if rows.is_empty() {
        return "no requests yet".to_owned();
    }
    let lines: Vec<_> = rows.iter().map(cell_texts).collect();
    let mut text = table(&HEADERS, &lines);
    if let Some(row) = rows.first() {
        let (short, long) = (format_duration(row.short_s), format_duration(row.long_s));
        text.push_str(&format!("burn short is over {short}, burn long over {long}"));
    }
    text
}

/// Texts of the cells of one row.
fn cell_texts(row: &BurnRow) -> Vec<String> {
    vec![
        row.service.clone(),
        row.kind.clone(),
        format_percent(row.target),
        format_duration(row.within_ms as f64 / 1_000.0),
        format!("{}/{}", row.good, row.total),
        row.share.map_or_else(no_value, format_percent),
        row.budget_left.map_or_else(no_value, format_percent),
        row.burn_short.map_or_else(no_value, |burn| format!("{burn:.2}")),
        row.burn_long.map_or_else(no_value, |burn| format!("{burn:.2}")),
    ]
}

fn no_value() -> String {
    "-".to_owned()
}

fn format_percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

fn format_duration(seconds: f64) -> String {
    match seconds {
        s if s >= 3_600.0 => format!("{:.1} h", s / 3_600.0),
        s if s >= 60.0 => format!("{:.0} min", s / 60.0),
        s if s >= 1.0 => format!("{s:.1} s"),
        s => format!("{:.0} ms", s * 1_000.0),
    }
}
