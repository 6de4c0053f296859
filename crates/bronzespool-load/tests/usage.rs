//! Usage by role and line fitting.

use {
    bronzespool_load::usage::{Usage, UsageSample, by_role, fit_line, sample_usage},
    std::time::Duration,
};

fn used(millis: u64, mib: u64) -> Usage {
    Usage { cpu_time: Duration::from_millis(millis), memory_bytes: mib << 20, ..Usage::default() }
}

#[test]
fn by_role_processes_are_grouped() {
    let names = ["agent-1", "agent-2", "entry-1"].map(str::to_owned);
    let [first, second, third] = names;
    let before = UsageSample::from([(first.clone(), used(0, 1)), (second.clone(), used(10, 1))]);
    let after =
        UsageSample::from([(first, used(10, 2)), (second, used(40, 3)), (third, used(9, 9))]);
    let roles = by_role(&before, &after, Duration::from_secs(1));
    assert_eq!(roles.len(), 1, "a process without a first sample is left out");
    assert_eq!((roles[0].role.as_str(), roles[0].count), ("agent", 2));
    assert!((roles[0].cpu_mean - 2.0).abs() < 1e-9);
    assert!((roles[0].cpu_max - 3.0).abs() < 1e-9);
    assert!((roles[0].memory_max - 3.0).abs() < 1e-9);
}

#[test]
fn sample_usage_own_process_has_memory() {
    let own = sample_usage(&[("own-1".to_owned(), std::process::id())]);
    assert!(own["own-1"].memory_bytes > 0);
}

#[test]
fn fit_line_exact_points_give_slope() {
    let (slope, offset) = fit_line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((slope - 2.0).abs() < 1e-9 && (offset - 3.0).abs() < 1e-9);
    assert_eq!(fit_line(&[(1.0, 5.0), (1.0, 6.0)]), None);
    assert_eq!(fit_line(&[]), None);
}
