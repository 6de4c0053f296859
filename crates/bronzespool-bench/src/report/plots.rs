//! SVG plots: distribution of completion times, and fragmentation over time.

use {
    crate::{decisions::Figures, report::Result},
    plotters::prelude::*,
    std::path::Path,
};

const PLOT_PIXELS: (u32, u32) = (760, 380);
const COLORS: [RGBColor; 4] =
    [RGBColor(200, 90, 40), RGBColor(120, 120, 120), RGBColor(60, 140, 60), RGBColor(30, 80, 180)];
/// Streams that are plotted.
const PLOTTED_STREAMS: [&str; 3] = ["steady", "burst-large", "bad-workers"];
/// Largest number of points of a line.
const POINTS_MAX: usize = 200;

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Writes the plots of the scenarios in [`PLOTTED_STREAMS`] and returns their file names.
pub(super) fn write(dir: &Path, runs: &[Vec<Figures>]) -> Result<Vec<String>> {
    let mut names = Vec::new();
    for run in runs {
        let Some(first) = run.first().filter(|f| PLOTTED_STREAMS.contains(&f.stream.as_str()))
        else {
            continue;
        };
        let stem = format!("{}-{}", first.scale, first.stream);
        let lines = run.iter().map(completion).collect();
        names.push(format!("{stem}-completion.svg"));
        draw(dir, &names[names.len() - 1], "completion time, s: share of jobs below", lines)?;
        let lines = run.iter().map(|f| over_time(f, |s| s.1)).collect();
        names.push(format!("{stem}-fragmentation.svg"));
        draw(dir, &names[names.len() - 1], "hour: unusable share of the free", lines)?;
    }
    Ok(names)
}

fn downsample<T: Copy>(items: &[T]) -> impl Iterator<Item = T> {
    items.iter().copied().step_by(items.len().div_ceil(POINTS_MAX).max(1))
}

fn completion(f: &Figures) -> Line {
    let mut secs: Vec<f64> = f.times.iter().map(std::time::Duration::as_secs_f64).collect();
    secs.sort_by(f64::total_cmp);
    let len = secs.len() as f64;
    let ranks: Vec<_> = secs.iter().enumerate().map(|(i, s)| (*s, (i + 1) as f64 / len)).collect();
    Line { name: f.policy.clone(), points: downsample(&ranks).collect() }
}

fn over_time(f: &Figures, pick: impl Fn(&(f64, f64, f64)) -> f64) -> Line {
    let points: Vec<_> = f.samples.iter().map(|s| (s.0, pick(s))).collect();
    Line { name: f.policy.clone(), points: downsample(&points).collect() }
}

fn draw(dir: &Path, name: &str, label: &str, lines: Vec<Line>) -> Result<()> {
    let path = dir.join(name);
    let area = SVGBackend::new(&path, PLOT_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let xs = lines.iter().flat_map(|l| &l.points).map(|p| p.0);
    let x_max = xs.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..x_max, 0.0..1.0)?;
    chart.configure_mesh().x_desc(label).draw()?;
    for (line, color) in lines.into_iter().zip(COLORS) {
        let series = LineSeries::new(line.points, color.stroke_width(2));
        let legend_line =
            move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2));
        chart.draw_series(series)?.label(line.name).legend(legend_line);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
