//! Decisions with learned run times against those with declared and true ones, on equal streams.

use bronzespool_bench::run_times::{
    Deployment, Options, Source, TABLE_BEGIN, TABLE_END, compare, insert, run,
};

/// Guards against estimates that are good by themselves and do not help decisions: on each
/// deployment learned run times remove at least half of the missed bounds that true ones remove.
#[test]
fn compare_learned_at_least_halfway_from_declared_to_true() {
    for deployment in Deployment::ALL {
        let [declared, learned, known] = compare(deployment, &[1, 2]).map(|f| f.missed());
        let halfway = f64::midpoint(declared, known);
        let name = deployment.name();
        assert!(known < declared, "{name}: true run times do not help: {declared} to {known}");
        assert!(learned <= halfway, "{name}: {declared} declared, {learned} learned, {known} true");
    }
}

/// Guards against figures that differ between two runs of one stream.
#[test]
fn run_equal_options_equal_figures() {
    let options = Options {
        stream: std::time::Duration::from_secs(20),
        ..Options::new(Deployment::Mixed, 3)
    };
    let figures = run(&options, Source::Learned);
    assert_eq!(figures, run(&options, Source::Learned));
    assert!(figures.in_time + figures.late <= figures.jobs, "{figures:?}");
    assert!(figures.lost <= figures.done, "{figures:?}");
}

/// Guards against a page whose text around the table is lost.
#[test]
fn insert_replaces_the_table_only() {
    let page = format!("before\n{TABLE_BEGIN}\nold\n{TABLE_END}\nafter\n");
    let text = insert(&page, "| new |").unwrap();
    assert!(text.starts_with("before\n") && text.ends_with("\nafter\n"), "{text}");
    assert!(text.contains("| new |") && !text.contains("old"), "{text}");
    assert_eq!(insert("no markers", "| new |"), None);
}
