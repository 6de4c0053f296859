//! Starts the system and measures it.

use {
    crate::{
        Result,
        generate::{
            DirectTarget, EntryTarget, LoadPhase, RequestMix, RequestStats, RequestTemplate,
            Target, drive,
        },
        path::{Figures, KindFigures, Options, RouteComparison, RouteStats},
        report::HostLoad,
        usage::{RoleUsage, UsageSample, by_role, sample_usage},
    },
    bronzespool_fakes::cluster::{Cluster, Plan},
    std::{fs, rc::Rc, time::Duration},
    tempfile::TempDir,
    tokio::time::{Instant, sleep},
};

/// Number of endpoints of the measured system.
const WORKER_COUNT: u32 = 3;
/// Time at the start of a phase that is not counted.
const WARMUP: Duration = Duration::from_millis(500);
/// Time between the start of the system and the first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Longest wait of a caller.
const DEADLINE: Duration = Duration::from_secs(5);
/// Service file of the measured service.
const SERVICE_FILE: &str = include_str!("../../probe/service.ini");

struct Targets {
    direct: Rc<DirectTarget>,
    path: Rc<EntryTarget>,
}

pub(super) async fn measure(options: &Options) -> Result<Figures> {
    let files = TempDir::with_prefix("load-path-")?;
    fs::write(files.path().join("service.ini"), SERVICE_FILE)?;
    let plan = Plan::small("path-probe", files.path(), WORKER_COUNT).millis(0);
    let mut cluster = Cluster::start(plan).await?;
    let published = cluster.publish("load-path").await?;
    if !published.status.is_success() {
        return Err(format!("publishing failed: {}", published.json()).into());
    }
    sleep(SETTLE_TIME).await;
    let mut figures = Figures { before: HostLoad::read(), ..Figures::default() };
    figures.rest = measure_idle(&cluster, options.idle_duration).await;
    let endpoints: Vec<_> = cluster.workers().iter().map(|w| w.endpoint).collect();
    let entries: Vec<_> = cluster.entries().iter().map(|(_, address)| *address).collect();
    let targets =
        Targets { direct: DirectTarget::new(&endpoints), path: EntryTarget::new(&entries) };
    figures.unprotected = measure_kind(
        &cluster,
        options,
        &targets,
        &single_kind_mix("read", false),
        options.request_rate,
    )
    .await;
    figures.protected = measure_kind(
        &cluster,
        options,
        &targets,
        &single_kind_mix("write", true),
        options.claim_rate,
    )
    .await;
    figures.after = HostLoad::read();
    let failed = cluster.stop().await?;
    if failed.is_empty() {
        Ok(figures)
    } else {
        Err(format!("{failed:?} did not exit cleanly").into())
    }
}

fn single_kind_mix(kind: &str, protected: bool) -> RequestMix {
    let mut mix = RequestMix::default();
    let template = RequestTemplate {
        service: "path-probe".to_owned(),
        kind: kind.to_owned(),
        team: "prober".to_owned(),
        protected,
        deadline: DEADLINE,
    };
    mix.push(template, 1);
    mix
}

/// Usage by role without load.
async fn measure_idle(cluster: &Cluster, duration: Duration) -> Vec<RoleUsage> {
    let ids = cluster.ids();
    let (before, begin) = (sample_usage(&ids), Instant::now());
    sleep(duration).await;
    by_role(&before, &sample_usage(&ids), begin.elapsed())
}

/// Measures one kind: in each round a direct phase, then a phase through the path.
async fn measure_kind(
    cluster: &Cluster,
    options: &Options,
    targets: &Targets,
    mix: &RequestMix,
    rate: f64,
) -> KindFigures {
    let ids = cluster.ids();
    let (mut direct, mut path) = (RequestStats::default(), RequestStats::default());
    let mut figures = KindFigures { rate, ..KindFigures::default() };
    let mut usage = UsageTotal::default();
    for round in 0..options.rounds {
        let seed = options.seed + u64::from(round);
        let load = LoadPhase { rate, warmup: WARMUP, duration: options.phase_duration, seed };
        let first = run_phase(&targets.direct, mix, &load).await;
        usage.begin(&ids);
        let second = run_phase(&targets.path, mix, &load).await;
        usage.end(&ids);
        figures
            .rounds
            .push(RouteComparison { direct: route_stats(&first), path: route_stats(&second) });
        direct.merge(&first);
        path.merge(&second);
    }
    figures.whole = RouteComparison { direct: route_stats(&direct), path: route_stats(&path) };
    figures.usage = usage.by_role();
    figures
}

async fn run_phase<T: Target>(target: &Rc<T>, mix: &RequestMix, load: &LoadPhase) -> RequestStats {
    drive(target, mix, load).await
}

fn route_stats(stats: &RequestStats) -> RouteStats {
    let (counts, times) = stats.totals();
    RouteStats { counts, times, sent: stats.sent(), lag: stats.lag() }
}

/// Usage of processes summed over several intervals.
#[derive(Default)]
struct UsageTotal {
    before: UsageSample,
    total: UsageSample,
    duration: Duration,
    started_at: Option<Instant>,
}

impl UsageTotal {
    fn begin(&mut self, ids: &[(String, u32)]) {
        self.before = sample_usage(ids);
        self.started_at = Some(Instant::now());
    }

    fn end(&mut self, ids: &[(String, u32)]) {
        self.duration += self.started_at.take().map_or(Duration::ZERO, |b| b.elapsed());
        for (name, after) in sample_usage(ids) {
            let before = self.before.get(&name).copied().unwrap_or_default();
            let total = self.total.entry(name).or_default();
            total.cpu_time += after.cpu_time.saturating_sub(before.cpu_time);
            total.wait_time += after.wait_time.saturating_sub(before.wait_time);
            total.memory_bytes = total.memory_bytes.max(after.memory_bytes);
        }
    }

    fn by_role(&self) -> Vec<RoleUsage> {
        let zero = self.total.keys().map(|name| (name.clone(), Default::default())).collect();
        by_role(&zero, &self.total, self.duration)
    }
}
