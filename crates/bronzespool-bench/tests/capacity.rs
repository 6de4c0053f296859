//! The capacity page agrees with the measurement, and the loads stay within their limits.

use {
    bronzespool_bench::capacity::{self, Results, fit},
    std::{fs, path::PathBuf},
};

fn docs(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn results() -> Results {
    serde_json::from_str(&docs("measurements/capacity.json")).expect("the results file is JSON")
}

#[test]
fn page_same_as_results() {
    let page = docs("CAPACITY.md");
    let made = capacity::insert(&page, &results()).expect("the page has the marker lines");
    assert!(page == made, "run `cargo run --release -p bronzespool-bench -- capacity`");
}

#[test]
fn results_same_as_measured() {
    let measured = serde_json::to_string_pretty(&capacity::measure()).expect("results serialize");
    let file = docs("measurements/capacity.json");
    let changed: Vec<_> = file.lines().zip(measured.lines()).filter(|(a, b)| a != b).collect();
    assert!(changed.is_empty(), "measure again and look at what has grown: {changed:?}");
    assert_eq!(file.lines().count(), measured.lines().count());
}

/// Checks that the loads whose names contain one of `parts` stay within their limits.
fn check(parts: &[&str]) {
    let slopes = results().slopes;
    let wanted: Vec<_> =
        slopes.iter().filter(|s| parts.iter().any(|p| s.name.contains(p))).collect();
    assert!(!wanted.is_empty(), "no slope has a name with one of {parts:?}");
    let over = wanted.iter().filter(|s| !s.fits());
    let over: Vec<_> =
        over.map(|s| format!("{}: {} B/s, bound {} B/s", s.name, s.load, s.bound)).collect();
    assert!(over.is_empty(), "{}", over.join("\n"));
}

#[test]
fn loads_sessions_by_design_fit() {
    check(&["renewal of an agent's", "renewal of an entry's", "hub's progress", "whole view"]);
}

#[test]
fn loads_sessions_by_default_fit() {
    check(&["default setting"]);
}

#[test]
fn loads_configuration_fits() {
    check(&["change of a service"]);
}

#[test]
fn loads_claims_fit() {
    check(&["claim"]);
}

#[test]
fn loads_jobs_fit() {
    check(&["grant", "of a job"]);
}

#[test]
fn fit_line_is_exact() {
    let (slope, base, error) = fit(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]);
    assert!((slope - 2.0).abs() < 1e-9 && (base - 3.0).abs() < 1e-9 && error < 1e-9);
}

#[test]
fn fit_curve_reports_error() {
    let (_, _, error) = fit(&[(1.0, 1.0), (2.0, 4.0), (3.0, 9.0)]);
    assert!(error > 0.1);
}
