//! Output of `report` as table, page and plot.

mod support;

use {
    bronzespool_cli::{
        Exit,
        report::{BurnRow, html_page, svg_plot, table_text},
    },
    std::fs,
    support::{Server, ok},
};

const ROWS: &str = r#"[
    {"service":"permit-desk","kind":"quota-check","target":0.995,"within_ms":200,"total":1000,
     "good":990,"share":0.99,"budget_left":-1.0,"burn_short":0.5,"burn_long":2.0,"short_s":300,
     "long_s":3600,"history":[[1000,0.0],[1060,2.5],[1120,2.0]]},
    {"service":"permit-desk","kind":"permit-issue","target":0.999,"within_ms":2000,"total":0,
     "good":0,"share":null,"budget_left":null,"burn_short":null,"burn_long":null,"short_s":300,
     "long_s":3600,"history":[]}
]"#;

fn rows() -> Vec<BurnRow> {
    serde_json::from_str(ROWS).unwrap()
}

/// Number of row lines in a plot. They are wider than the lines of the mesh and have more points
/// than those of the legend.
fn row_line_count(svg: &str) -> usize {
    let polylines = svg.split("<polyline").skip(1).filter_map(|rest| rest.split("/>").next());
    let points = |line: &str| line.matches(',').count();
    polylines.filter(|line| line.contains("stroke-width=\"2\"") && points(line) > 2).count()
}

#[test]
fn report_prints_a_table() {
    let run = Server::start([ok(ROWS)]).run("report");
    assert_eq!(run.exit, Exit::Done, "{run:?}");
    for text in
        ["quota-check", "99.50%", "200 ms", "2.0 s", "990/1000", "99.00%", "-100.00%", "2.00"]
    {
        assert!(run.out.contains(text), "{text}: {}", run.out);
    }
    assert!(run.out.contains("burn short is over 5 min, burn long over 1.0 h"), "{}", run.out);
}

#[test]
fn report_json_is_the_rows() {
    let run = Server::start([ok(ROWS)]).run("report --json");
    assert_eq!(run.json(), serde_json::from_str::<serde_json::Value>(ROWS).unwrap());
}

#[test]
fn report_writes_page_and_plot() {
    let dir = tempfile::tempdir().unwrap();
    for (option, mark) in [("--html", "<!DOCTYPE html>"), ("--svg", "<svg ")] {
        let path = dir.path().join(option);
        let run = Server::start([ok(ROWS)]).run(&format!("report {option}={}", path.display()));
        assert_eq!(run.exit, Exit::Done, "{run:?}");
        let text = fs::read_to_string(path).unwrap();
        assert!(text.starts_with(mark), "{text}");
        assert!(text.contains("permit-desk/quota-check"));
    }
}

#[test]
fn report_unwritable_file_is_fault() {
    let run = Server::start([ok(ROWS)]).run("report --svg /no/such/folder/burn.svg");
    assert_eq!(run.exit, Exit::Refused);
    assert!(run.err.contains("cannot write /no/such/folder/burn.svg"), "{}", run.err);
}

#[test]
fn report_rows_of_another_form_are_refused() {
    let run = Server::start([ok(r#"[{"service":1}]"#)]).run("report");
    assert_eq!(run.exit, Exit::Refused);
    assert!(run.err.contains("unexpected response format"), "{}", run.err);
}

#[test]
fn table_text_no_rows_says_so() {
    assert_eq!(table_text(&[]), "no requests yet");
}

#[test]
fn svg_plot_draws_a_line_for_each_row_and_the_limit() {
    let svg = svg_plot(&rows()).unwrap();
    assert!(svg.contains("permit-desk/permit-issue") && svg.contains("budget spent exactly"));
    assert_eq!(row_line_count(&svg), 1, "only the first row has points");
}

#[test]
fn svg_plot_row_without_history_draws_its_windows() {
    let mut rows = rows();
    rows.truncate(1);
    rows[0].history.clear();
    assert_eq!(row_line_count(&svg_plot(&rows).unwrap()), 1);
    rows[0].burn_long = None;
    assert_eq!(row_line_count(&svg_plot(&rows).unwrap()), 0);
}

#[test]
fn svg_plot_extreme_numbers_does_not_fail() {
    let mut rows = rows();
    rows[0].history =
        vec![(f64::NAN, 1.0), (f64::MAX, f64::INFINITY), (-1e300, -1.0), (0.0, 1e300)];
    svg_plot(&rows).unwrap();
    svg_plot(&[]).unwrap();
}

#[test]
fn html_page_names_are_escaped() {
    let mut rows = rows();
    rows[0].kind = "<script>alert(1)</script>".to_owned();
    let page = html_page(&rows).unwrap();
    assert!(!page.contains("<script"), "{page}");
}
