//! Plot of burn rates as SVG.

use {
    crate::{
        error::{Error, Result},
        report::Row,
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
const SIZE: (u32, u32) = (960, 480);
/// Smallest height of the burn axis.
const BURN_MIN: f64 = 2.0;
/// Largest burn rate drawn; higher ones are cut off.
const BURN_MAX: f64 = 1_000.0;
/// Seconds in a minute.
const MINUTE: f64 = 60.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = std::result::Result<(), Box<dyn StdError>>;

/// The history of each row's burn rate as a line in an SVG document.
///
/// # Errors
///
/// The plot cannot be drawn.
pub fn plot(rows: &[Row]) -> Result<String> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    draw(&area, rows).map_err(|error| Error::Plot(error.to_string()))?;
    drop(area);
    Ok(svg)
}

fn draw(area: &Area<'_>, rows: &[Row]) -> Drawn {
    area.fill(&WHITE)?;
    let (start, end) = bounds(rows);
    let top = rows.iter().flat_map(points).map(|(_, burn)| burn).fold(BURN_MIN, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Burn rate of service-level targets", ("sans-serif", 20).into_font())
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((start - end) / MINUTE..0.0, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("minutes before now").y_desc("burn rate").draw()?;
    let limit = [((start - end) / MINUTE, 1.0), (0.0, 1.0)];
    chart
        .draw_series(LineSeries::new(limit, RED))?
        .label("budget spent exactly")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED));
    for (i, row) in rows.iter().enumerate() {
        let style = Palette99::pick(i).stroke_width(2);
        let line = points(row).map(|(time, burn)| ((time - end) / MINUTE, burn));
        chart
            .draw_series(LineSeries::new(line, style))?
            .label(row.label())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// The points that can be drawn.
fn points(row: &Row) -> impl Iterator<Item = (f64, f64)> + '_ {
    let finite = row.history.iter().filter(|(time, burn)| time.is_finite() && burn.is_finite());
    finite.map(|&(time, burn)| (time, burn.clamp(0.0, BURN_MAX)))
}

/// First and last time of all rows, at least a minute apart.
fn bounds(rows: &[Row]) -> (f64, f64) {
    let times = || rows.iter().flat_map(points).map(|(time, _)| time);
    let end = times().reduce(f64::max).unwrap_or(0.0);
    let start = times().reduce(f64::min).unwrap_or(0.0);
    (start.min(end - MINUTE), end)
}
