//! SVG plot of the burn rates.

use {
    crate::{
        error::{Error, Result},
        report::BurnRow,
    },
    plotters::{
        coord::Shift,
        prelude::{
            BLACK, ChartBuilder, Color, DrawingArea, IntoDrawingArea, IntoFont, LineSeries,
            Palette, Palette99, PathElement, RED, SVGBackend, WHITE,
        },
    },
    std::error::Error as StdError,
};

/// Width and height of the plot in pixels.
const SIZE_PIXELS: (u32, u32) = (960, 480);
/// Smallest upper end of the burn-rate axis.
const BURN_AXIS_MIN: f64 = 2.0;
/// Largest burn rate drawn; higher ones are clamped.
const BURN_DRAWN_MAX: f64 = 1_000.0;
/// Earliest time drawn, in minutes before now: 30 days.
const TIME_MIN_MINUTES: f64 = -43_200.0;
/// Seconds in a minute.
const SECONDS_PER_MINUTE: f64 = 60.0;

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = std::result::Result<(), Box<dyn StdError>>;

/// Renders the history of each row's burn rate as a line in an SVG document.
///
/// A row without history is drawn as two steps: its burn rates over the long and the short window.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn svg_plot(rows: &[BurnRow]) -> Result<String> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE_PIXELS).into_drawing_area();
    draw(&area, rows).map_err(|error| Error::Plot(error.to_string()))?;
    drop(area);
    Ok(svg)
}

fn draw(area: &PlotArea<'_>, rows: &[BurnRow]) -> DrawResult {
    area.fill(&WHITE)?;
    let lines: Vec<_> = row_lines(rows);
    let points = || lines.iter().flatten();
    let start = points().map(|&(time, _)| time).fold(-1.0, f64::min);
    let top = points().map(|&(_, burn)| burn).fold(BURN_AXIS_MIN, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Burn rate of service-level targets", ("sans-serif", 20).into_font())
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(start..0.0, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("minutes before now").y_desc("burn rate").draw()?;
    let limit = [(start, 1.0), (0.0, 1.0)];
    chart
        .draw_series(LineSeries::new(limit, RED))?
        .label("budget spent exactly")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED));
    for (i, (row, line)) in rows.iter().zip(lines).enumerate() {
        let style = Palette99::pick(i).stroke_width(2);
        chart
            .draw_series(LineSeries::new(line, style))?
            .label(row.legend_label())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Points of each row: time in minutes relative to the newest point of all rows (0 or negative),
/// and burn rate.
fn row_lines(rows: &[BurnRow]) -> Vec<Vec<(f64, f64)>> {
    let times = rows.iter().flat_map(|row| &row.history).map(|&(time, _)| time);
    let end = times.filter(|time| time.is_finite()).reduce(f64::max).unwrap_or(0.0);
    rows.iter().map(|row| row_line(row, end)).collect()
}

fn row_line(row: &BurnRow, end: f64) -> Vec<(f64, f64)> {
    let points = match row.history.is_empty() {
        true => window_steps(row),
        false => row
            .history
            .iter()
            .map(|&(time, burn)| ((time - end) / SECONDS_PER_MINUTE, burn))
            .collect(),
    };
    let finite = points.into_iter().filter(|(time, burn)| time.is_finite() && burn.is_finite());
    finite
        .map(|(time, burn)| (time.clamp(TIME_MIN_MINUTES, 0.0), burn.clamp(0.0, BURN_DRAWN_MAX)))
        .collect()
}

/// Burn rates over the long and the short window as a line with one step.
fn window_steps(row: &BurnRow) -> Vec<(f64, f64)> {
    let (Some(long), Some(short)) = (row.burn_long, row.burn_short) else { return Vec::new() };
    let (start, step) = (-row.long_s / SECONDS_PER_MINUTE, -row.short_s / SECONDS_PER_MINUTE);
    vec![(start, long), (step, long), (step, short), (0.0, short)]
}
