//! Page of results of the service measurement.

use {
    crate::{
        report::{Page, Table},
        service::{
            Options,
            burst::Burst,
            claims::ClaimFigures,
            figures::{DeploymentFigures, GroupFigures, PhaseFigures},
        },
    },
    std::time::Duration,
};

pub(super) fn render(options: &Options, all: &[DeploymentFigures]) -> Page {
    let mut page = Page::new("Completion and goodput under load and faults");
    page.paragraph(&format!(
        "Made by `load service --workers {} --millis {} --seconds {} --seed {}` (see \
         [performance](../operations/performance.md)). Each deployment of `examples` ran as \
         processes on one machine, together with the generator: three control instances, two \
         entries, {} endpoints of 8 slots with an agent each. A request takes an endpoint {} ms. \
         Kinds that are jobs are left out. Callers wait 2 s at most and do not come back after a \
         refusal. Times are milliseconds from the scheduled arrival to the whole answer; goodput \
         counts whole answers in time by when they came.",
        options.worker_count,
        options.request_millis,
        seconds(options.phase_duration),
        options.seed,
        options.worker_count,
        options.request_millis
    ));
    page.paragraph(
        "The baseline sends straight to the same endpoints in the same run: round robin, no \
         limits, no claims, three tries of 1 s each at most. Each endpoint works on 8 requests at \
         once and queues the others, also those whose callers have given up.",
    );
    page.paragraph(
        "Faults: `bad` is one endpoint that fails every request, `slow` one that takes ten times \
         as long, `killed` one endpoint and its agent that end in the middle of the phase.",
    );
    all.iter().for_each(|figures| add_deployment(&mut page, figures));
    page
}

fn seconds(span: Duration) -> f64 {
    span.as_secs_f64()
}

fn add_deployment(page: &mut Page, figures: &DeploymentFigures) {
    page.heading(&format!("{}: capacity {:.0} requests/s", figures.deployment, figures.capacity));
    page.paragraph(&format!(
        "Other work ran on the machine of {} cores: its load average was {:.1} before the run and \
         {:.1} after.",
        figures.before.cores, figures.before.load, figures.after.load
    ));
    page.verdicts(&figures.verdicts);
    page.paragraph("All kinds together:");
    page.table(&phase_table(&figures.phases));
    page.paragraph("The system by kind, without a fault:");
    page.table(&group_table("kind", &figures.phases, |p| &p.kinds));
    page.paragraph("The system by team, without a fault:");
    page.table(&group_table("team", &figures.phases, |p| &p.teams));
    page.paragraph(
        "A burst of one team at 150 % of capacity beside a steady load of 50 %; times of the \
         other teams:",
    );
    page.table(&burst_table(&figures.bursts));
    add_claims(page, &figures.claims);
}

fn phase_table(phases: &[PhaseFigures]) -> Table {
    let mut table = Table::new(&[
        "load",
        "fault",
        "way",
        "offered/s",
        "goodput/s",
        "not run",
        "unknown",
        "failed",
        "late",
        "wrong",
        "p50",
        "p99",
        "p99.9",
        "refusal p99",
        "lag p99",
    ]);
    for phase in phases {
        let counts = phase.counts;
        let mut cells = vec![
            format!("{} %", phase.load),
            phase.fault.name().to_owned(),
            phase.target_name().to_owned(),
            format!("{:.0}", phase.offered),
            format!("{:.0}", phase.goodput),
        ];
        let numbers = [counts.not_run, counts.unknown, counts.failed, counts.late, counts.wrong];
        cells.extend(numbers.map(|n| n.to_string()));
        let times = phase.times;
        let spans = [times.p50, times.p99, times.p999, phase.refusals.p99, phase.lag.p99];
        cells.extend(spans.map(format_millis));
        table.row(cells);
    }
    table
}

fn group_table(
    of: &str,
    phases: &[PhaseFigures],
    groups: fn(&PhaseFigures) -> &[GroupFigures],
) -> Table {
    let mut table = Table::new(&["load", of, "good", "others", "p50", "p99", "p99.9"]);
    let faultless = phases.iter().filter(|p| p.system && p.fault.name() == "none");
    for (phase, group) in faultless.flat_map(|p| groups(p).iter().map(move |group| (p, group))) {
        let mut cells = vec![
            format!("{} %", phase.load),
            group.name.clone(),
            group.counts.good.to_string(),
            (group.counts.total() - group.counts.good).to_string(),
        ];
        cells.extend([group.times.p50, group.times.p99, group.times.p999].map(format_millis));
        table.row(cells);
    }
    table
}

fn burst_table(bursts: &[Burst]) -> Table {
    let mut table = Table::new(&[
        "way",
        "team",
        "p99 without",
        "p99 with",
        "p50 without",
        "p50 with",
        "others good",
        "others not",
        "team good",
        "team refused",
    ]);
    for burst in bursts {
        let target = if burst.system { "system" } else { "baseline" };
        let mut cells = vec![target.to_owned(), burst.team.clone()];
        let (without, during) = (burst.without, burst.during);
        cells.extend([without.p99, during.p99, without.p50, during.p50].map(format_millis));
        let others = burst.others.total() - burst.others.good;
        let counts = [burst.others.good, others, burst.own.good, burst.own.not_run];
        cells.extend(counts.map(|n| n.to_string()));
        table.row(cells);
    }
    table
}

fn add_claims(page: &mut Page, claims: &ClaimFigures) {
    page.paragraph(
        "Protected requests alone. Processor time in ms a second over all processes of a role; \
         bytes a second that each control instance wrote to its files, snapshots included, and \
         that went to storage in whole pages:",
    );
    let mut table = Table::new(&[
        "claims/s",
        "others",
        "control",
        "leader",
        "entries",
        "agents",
        "files B/s",
        "storage B/s",
        "p50",
        "p99",
    ]);
    for p in &claims.points {
        let mut cells = vec![format!("{:.0}", p.rate), p.others.to_string()];
        cells.extend([p.control, p.leader, p.entry, p.agent].map(format_millis));
        cells.extend([p.log, p.written].map(|v| format!("{v:.0}")));
        cells.extend([p.times.p50, p.times.p99].map(format_millis));
        table.row(cells);
    }
    page.table(&table);
    let s = claims.slopes;
    page.paragraph(&format!(
        "Slopes, for each claim: {:.0} µs of processor time in control ({:.0} µs of it in the \
         busiest instance), {:.0} µs in the entries, {:.0} µs in the agents, {:.0} bytes to \
         files and {:.0} bytes to storage in each control instance.",
        s.control, s.leader, s.entry, s.agent, s.log, s.written
    ));
}

fn format_millis(value: f64) -> String {
    format!("{value:.1}")
}
