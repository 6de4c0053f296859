//! Page of results of the path measurement.

use {
    crate::{
        generate::{Counts, Quantiles},
        path::{Figures, KindFigures, Options, RouteComparison},
        report::{Page, Table, Verdict},
        usage::RoleUsage,
    },
    std::time::Duration,
};

/// Target: largest time that the path may add to the 99th percentile of an unprotected request.
const ADDED_P99_MAX: Duration = Duration::from_millis(1);
/// Target: largest processor use of a process without load.
const IDLE_CPU_MAX_PERCENT: f64 = 1.0;
/// Target: largest resident memory of a process without load.
const IDLE_MEMORY_MAX_MIB: f64 = 64.0;
/// Roles to which the targets for idle processes apply.
const BOUNDED_ROLES: [&str; 3] = ["control", "entry", "agent"];

pub(super) fn verdicts(options: &Options, figures: &Figures) -> Vec<Verdict> {
    let added = figures.unprotected.whole.added(|q| q.p99);
    let mut verdicts = vec![Verdict {
        target: format!("unprotected adds < 1 ms to p99 at {} requests/s", options.request_rate),
        measured: format!("{added:.3} ms"),
        met: added < ADDED_P99_MAX.as_secs_f64() * 1e3,
    }];
    for role in figures.rest.iter().filter(|r| BOUNDED_ROLES.contains(&r.role.as_str())) {
        verdicts.push(Verdict {
            target: format!("idle {} < 1 % of a core", role.role),
            measured: format!("{:.2} %", role.cpu_max),
            met: role.cpu_max < IDLE_CPU_MAX_PERCENT,
        });
        verdicts.push(Verdict {
            target: format!("idle {} < 64 MiB", role.role),
            measured: format!("{:.1} MiB", role.memory_max),
            met: role.memory_max < IDLE_MEMORY_MAX_MIB,
        });
    }
    let counts = [&figures.unprotected, &figures.protected].map(|k| k.whole.path.counts);
    let not_good: u64 = counts.iter().map(|c| c.total() - c.good).sum();
    verdicts.push(Verdict {
        target: "every answer through the path is whole and in time".to_owned(),
        measured: format!("{not_good} others of {}", counts.iter().map(Counts::total).sum::<u64>()),
        met: not_good == 0,
    });
    verdicts
}

pub(super) fn render(options: &Options, figures: &Figures) -> Page {
    let mut page = Page::new("What the request path adds");
    page.paragraph(&format!(
        "Made by `load path --rate {} --claims {} --seconds {} --rounds {} --idle {} --seed {}` \
         (see [performance](../operations/performance.md)). Three control instances, two entries \
         and three endpoints with an agent each ran as processes on one machine with {} cores, \
         together with the generator. The endpoints take one step of their timer, about 1 ms. \
         Direct and path phases follow each other in each round. Times are counted from the \
         scheduled arrival.",
        options.request_rate,
        options.claim_rate,
        options.phase_duration.as_secs_f64(),
        options.rounds,
        options.idle_duration.as_secs_f64(),
        options.seed,
        figures.before.cores
    ));
    page.paragraph(&format!(
        "Other work ran on the machine: its load average was {:.1} before the run and {:.1} after.",
        figures.before.load, figures.after.load
    ));
    page.heading("Targets");
    page.verdicts(&figures.verdicts);
    add_kind(&mut page, "Unprotected requests", &figures.unprotected);
    add_kind(&mut page, "Protected requests", &figures.protected);
    page.heading("Processor time and memory by role");
    page.paragraph(
        "Shares of one core in percent, resident memory in MiB. `wait` is the share of the time in \
         which a process could run and had no processor: what other work on the machine costs it.",
    );
    page.table(&usage_table(figures));
    page
}

fn add_kind(page: &mut Page, title: &str, figures: &KindFigures) {
    page.heading(&format!("{title}, {} a second", figures.rate));
    page.paragraph(
        "Milliseconds. `lag` is how late the generator itself sent; `sent` counts from then \
         instead of from the scheduled arrival.",
    );
    let mut table = Table::new(&[
        "round", "way", "good", "others", "p50", "p90", "p99", "p99.9", "sent p50", "sent p99",
        "lag p99",
    ]);
    let numbered = figures.rounds.iter().enumerate().map(|(n, p)| ((n + 1).to_string(), p));
    for (name, comparison) in numbered.chain([("all".to_owned(), &figures.whole)]) {
        add_rows(&mut table, &name, comparison);
    }
    page.table(&table);
}

fn add_rows(table: &mut Table, name: &str, comparison: &RouteComparison) {
    for (way, figures) in [("direct", comparison.direct), ("path", comparison.path)] {
        let counts = figures.counts;
        let mut cells = vec![name.to_owned(), way.to_owned(), counts.good.to_string()];
        cells.push((counts.total() - counts.good).to_string());
        cells.extend(quantile_cells(&figures.times));
        cells.extend([figures.sent.p50, figures.sent.p99, figures.lag.p99].map(format_millis));
        table.row(cells);
    }
    let added = Quantiles {
        p50: comparison.added(|q| q.p50),
        p90: comparison.added(|q| q.p90),
        p99: comparison.added(|q| q.p99),
        p999: comparison.added(|q| q.p999),
    };
    let mut cells = vec![name.to_owned(), "added".to_owned(), String::new(), String::new()];
    cells.extend(quantile_cells(&added));
    cells.extend(
        [comparison.added_sent(|q| q.p50), comparison.added_sent(|q| q.p99)].map(format_millis),
    );
    cells.push(String::new());
    table.row(cells);
}

fn quantile_cells(q: &Quantiles) -> [String; 4] {
    [q.p50, q.p90, q.p99, q.p999].map(format_millis)
}

fn format_millis(value: f64) -> String {
    format!("{value:.3}")
}

fn usage_table(figures: &Figures) -> Table {
    let mut table = Table::new(&[
        "role",
        "processes",
        "phase",
        "core, mean",
        "core, max",
        "wait, mean",
        "memory, max",
    ]);
    let phases = [
        ("rest", &figures.rest),
        ("unprotected", &figures.unprotected.usage),
        ("protected", &figures.protected.usage),
    ];
    for (phase, roles) in phases {
        roles.iter().for_each(|role| table.row(usage_row(phase, role)));
    }
    table
}

fn usage_row(phase: &str, role: &RoleUsage) -> Vec<String> {
    vec![
        role.role.clone(),
        role.count.to_string(),
        phase.to_owned(),
        format!("{:.2}", role.cpu_mean),
        format!("{:.2}", role.cpu_max),
        format!("{:.2}", role.wait_mean),
        format!("{:.1}", role.memory_max),
    ]
}
