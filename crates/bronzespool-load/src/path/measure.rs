//! Starts the system and takes the figures.

use {
    crate::{
        Result,
        generate::{Direct, Entries, Item, Load, Mix, Tally, Target, drive},
        path::{Figures, KindFigures, Options, Pair, Way},
        report::Machine,
        usage::{RoleUsage, Sample, by_role, sample},
    },
    bronzespool_fakes::cluster::{Cluster, Plan},
    std::{fs, rc::Rc, time::Duration},
    tempfile::TempDir,
    tokio::time::{Instant, sleep},
};

/// Endpoints of the measured system.
const WORKERS: u32 = 3;
/// Time before a phase is counted.
const WARM: Duration = Duration::from_millis(500);
/// Time between start and the first figure.
const SETTLE: Duration = Duration::from_secs(3);
/// Time that a caller waits.
const DEADLINE: Duration = Duration::from_secs(5);
/// The probe's service file.
const SERVICE: &str = include_str!("../../probe/service.ini");

struct Ways {
    direct: Rc<Direct>,
    path: Rc<Entries>,
}

pub(super) async fn measure(options: &Options) -> Result<Figures> {
    let files = TempDir::with_prefix("load-path-")?;
    fs::write(files.path().join("service.ini"), SERVICE)?;
    let plan = Plan::small("path-probe", files.path(), WORKERS).millis(0);
    let mut cluster = Cluster::start(plan).await?;
    let published = cluster.publish("load-path").await?;
    if !published.status.is_success() {
        return Err(format!("publishing failed: {}", published.json()).into());
    }
    sleep(SETTLE).await;
    let mut figures = Figures { before: Machine::now(), ..Figures::default() };
    figures.rest = rest(&cluster, options.idle).await;
    let endpoints: Vec<_> = cluster.workers().iter().map(|w| w.endpoint).collect();
    let entries: Vec<_> = cluster.entries().iter().map(|(_, address)| *address).collect();
    let ways = Ways { direct: Direct::new(&endpoints), path: Entries::new(&entries) };
    figures.unprotected = kind(&cluster, options, &ways, &mix("read", false), options.rate).await;
    figures.protected = kind(&cluster, options, &ways, &mix("write", true), options.claims).await;
    figures.after = Machine::now();
    let failed = cluster.stop().await?;
    if failed.is_empty() { Ok(figures) } else { Err(format!("{failed:?} did not end well").into()) }
}

fn mix(kind: &str, protected: bool) -> Mix {
    let mut mix = Mix::default();
    let item = Item {
        service: "path-probe".to_owned(),
        kind: kind.to_owned(),
        team: "prober".to_owned(),
        protected,
        deadline: DEADLINE,
    };
    mix.push(item, 1);
    mix
}

async fn rest(cluster: &Cluster, span: Duration) -> Vec<RoleUsage> {
    let ids = cluster.ids();
    let (before, begin) = (sample(&ids), Instant::now());
    sleep(span).await;
    by_role(&before, &sample(&ids), begin.elapsed())
}

async fn kind(
    cluster: &Cluster,
    options: &Options,
    ways: &Ways,
    mix: &Mix,
    rate: f64,
) -> KindFigures {
    let ids = cluster.ids();
    let (mut direct, mut path) = (Tally::default(), Tally::default());
    let mut figures = KindFigures { rate, ..KindFigures::default() };
    let mut used = Used::default();
    for round in 0..options.rounds {
        let seed = options.seed + u64::from(round);
        let load = Load { rate, warm: WARM, span: options.phase, seed };
        let first = phase(&ways.direct, mix, &load).await;
        used.begin(&ids);
        let second = phase(&ways.path, mix, &load).await;
        used.end(&ids);
        figures.rounds.push(Pair { direct: way(&first), path: way(&second) });
        direct.add(&first);
        path.add(&second);
    }
    figures.whole = Pair { direct: way(&direct), path: way(&path) };
    figures.usage = used.roles();
    figures
}

async fn phase<T: Target>(target: &Rc<T>, mix: &Mix, load: &Load) -> Tally {
    drive(target, mix, load).await
}

fn way(tally: &Tally) -> Way {
    let (counts, times) = tally.whole();
    Way { counts, times, sent: tally.sent(), lag: tally.lag() }
}

/// Usage summed over several spans.
#[derive(Default)]
struct Used {
    before: Sample,
    total: Sample,
    span: Duration,
    begun: Option<Instant>,
}

impl Used {
    fn begin(&mut self, ids: &[(String, u32)]) {
        self.before = sample(ids);
        self.begun = Some(Instant::now());
    }

    fn end(&mut self, ids: &[(String, u32)]) {
        self.span += self.begun.take().map_or(Duration::ZERO, |b| b.elapsed());
        for (name, after) in sample(ids) {
            let before = self.before.get(&name).copied().unwrap_or_default();
            let total = self.total.entry(name).or_default();
            total.cpu += after.cpu.saturating_sub(before.cpu);
            total.wait += after.wait.saturating_sub(before.wait);
            total.memory = total.memory.max(after.memory);
        }
    }

    fn roles(&self) -> Vec<RoleUsage> {
        let zero = self.total.keys().map(|name| (name.clone(), Default::default())).collect();
        by_role(&zero, &self.total, self.span)
    }
}
