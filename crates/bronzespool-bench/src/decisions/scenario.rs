//! Seeded job streams with their faults.

use {
    crate::decisions::{Cluster, Job, KindPlan, PlannedOutcome, Scale},
    bronzespool_core::Time,
    fastrand::Rng,
    std::time::Duration,
};

const HOUR_SECS: f64 = 3_600.0;
/// Length of a team's busy phase and of the idle phase that follows.
const PHASE_SECS: f64 = 4.0 * HOUR_SECS;
/// Share of a team's load that arrives in its busy phases.
const BUSY_SHARE: f64 = 0.8;
/// Standard deviation of the logarithm of the true run times, which are log-normal.
const RUNTIME_LOG_SD: f64 = 0.8;
/// Core-only jobs an hour at the two-year size, from all 350 teams together.
const CORE_JOBS_PER_HOUR: f64 = 37.5;
/// Jobs in a burst of small jobs.
const BURST_SMALL_JOBS: usize = 200;
/// Largest number of gangs in a burst of large gangs.
const BURST_LARGE_GANGS_MAX: usize = 24;

/// A stream of jobs and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Steady total load; each team has alternating busy and idle phases.
    Steady,
    /// Load of 50 % and bursts of small jobs from a few teams.
    BurstSmall,
    /// Load of 50 % and bursts of the largest gangs.
    BurstLarge,
    /// Declared run times are ten times too long or too short.
    WrongSizes,
    /// Most of a team's recent jobs are cancelled at once, several times.
    Cancellations,
    /// Some workers fail every job that they start, and some jobs fail on every worker.
    BadWorkers,
    /// A rack is down for two hours.
    RackLoss,
}

/// A fault of the cluster.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Workers go down.
    Down(Vec<usize>),
    /// Workers come back.
    Up(Vec<usize>),
    /// Workers fail every job that they start from now on.
    Failing(Vec<usize>),
    /// Workers no longer fail jobs.
    Recovered(Vec<usize>),
}

/// A cluster, its jobs and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The simulated deployment.
    pub scale: Scale,
    /// The stream that the jobs come from.
    pub stream: Stream,
    /// Workers, teams and job kinds of the deployment.
    pub cluster: Cluster,
    /// Jobs by index, ordered by time of submission.
    pub jobs: Vec<Job>,
    /// Faults with their times.
    pub faults: Vec<(Time, Fault)>,
    /// End of the submissions; utilisation and fragmentation are measured up to this time.
    pub horizon: Time,
    /// Share of each kind in the declared accelerators, by index of the kind.
    pub mix: Vec<f64>,
}

impl Stream {
    /// All streams.
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::BurstSmall,
        Self::BurstLarge,
        Self::WrongSizes,
        Self::Cancellations,
        Self::BadWorkers,
        Self::RackLoss,
    ];

    /// Name in tables, files and arguments.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::BurstSmall => "burst-small",
            Self::BurstLarge => "burst-large",
            Self::WrongSizes => "wrong-sizes",
            Self::Cancellations => "cancellations",
            Self::BadWorkers => "bad-workers",
            Self::RackLoss => "rack-loss",
        }
    }

    /// Generates the stream on a deployment. Equal seeds give equal jobs; submissions end after
    /// `hours`.
    pub fn scenario(self, scale: Scale, seed: u64, hours: u64) -> Scenario {
        ScenarioBuilder::new(self, scale, seed, hours).build()
    }

    /// Offered load as a share of the cluster's accelerators.
    const fn load_share(self) -> f64 {
        match self {
            Self::BurstSmall | Self::BurstLarge => 0.5,
            _ => 0.8,
        }
    }
}

struct ScenarioBuilder {
    stream: Stream,
    scale: Scale,
    cluster: Cluster,
    rng: Rng,
    hours: u64,
    jobs: Vec<Job>,
}

fn secs(time: f64) -> Time {
    Time::from_micros((time * 1e6) as u64)
}

impl ScenarioBuilder {
    fn new(stream: Stream, scale: Scale, seed: u64, hours: u64) -> Self {
        let mut cluster = scale.cluster();
        if stream == Stream::WrongSizes {
            for (i, kind) in cluster.kinds.iter_mut().enumerate() {
                kind.declared = if i % 2 == 0 { kind.declared * 10 } else { kind.declared / 10 };
            }
        }
        Self { stream, scale, cluster, rng: Rng::with_seed(seed), hours, jobs: Vec::new() }
    }

    fn build(mut self) -> Scenario {
        for team in 0..self.cluster.teams.len() {
            self.add_team_jobs(team);
        }
        match self.stream {
            Stream::BurstSmall => self.add_bursts(0, BURST_SMALL_JOBS),
            Stream::BurstLarge => self.add_large_bursts(),
            Stream::Cancellations => self.add_cancellations(),
            Stream::BadWorkers => self.add_failing_jobs(),
            _ => {}
        }
        if self.scale == Scale::TwoYear {
            self.add_core_jobs();
        }
        self.jobs.sort_by_key(|j| j.submit);
        self.jobs.iter_mut().enumerate().for_each(|(i, j)| j.id = i);
        let faults = self.faults();
        let mix = mix(&self.cluster);
        Scenario {
            scale: self.scale,
            stream: self.stream,
            cluster: self.cluster,
            jobs: self.jobs,
            faults,
            horizon: Time::from_secs(self.hours * 3_600),
            mix,
        }
    }

    /// Adds the jobs of one team, whose share of the load is its share of all guaranteed
    /// accelerators.
    fn add_team_jobs(&mut self, team: usize) {
        let guaranteed = self.cluster.guaranteed();
        let share = f64::from(guaranteed[team]) / f64::from(guaranteed.iter().sum::<u32>());
        let load = share * self.stream.load_share() * f64::from(self.cluster.accels());
        for (kind, kind_share) in self.cluster.teams[team].mix.clone() {
            let plan = self.cluster.kinds[kind];
            let mean = plan.median.as_secs_f64() * (RUNTIME_LOG_SD * RUNTIME_LOG_SD / 2.0).exp();
            let rate = load * kind_share / (mean * f64::from(plan.gang * plan.accels));
            self.add_arrivals(team, kind, rate);
        }
    }

    /// Adds Poisson arrivals of `rate` jobs a second on average, thinned in the idle phases. Busy
    /// phases are staggered between teams of even and odd index.
    fn add_arrivals(&mut self, team: usize, kind: usize, rate: f64) {
        let end = self.hours as f64 * HOUR_SECS;
        let mut time = 0.0;
        loop {
            time += -self.rng.f64().max(1e-12).ln() / (rate * 2.0 * BUSY_SHARE);
            if time >= end {
                return;
            }
            let busy = ((time / PHASE_SECS) as usize + team).is_multiple_of(2);
            if busy || self.rng.f64() < (1.0 - BUSY_SHARE) / BUSY_SHARE {
                self.add_job(team, kind, time);
            }
        }
    }

    /// Adds one job with a log-normal run time, drawn by the Box-Muller transform.
    fn add_job(&mut self, team: usize, kind: usize, time: f64) {
        let plan = self.cluster.kinds[kind];
        let (u, v) = (self.rng.f64().max(1e-12), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let actual = plan.median.as_secs_f64() * (RUNTIME_LOG_SD * normal).exp();
        self.jobs.push(Job {
            id: self.jobs.len(),
            team,
            kind,
            plan,
            submit: secs(time),
            actual: Duration::from_secs_f64(actual),
            outcome: PlannedOutcome::Completes,
        });
    }

    /// Adds three bursts of `count` jobs of one kind, each within a minute. At most four of the
    /// teams that submit the kind take turns.
    fn add_bursts(&mut self, kind: usize, count: usize) {
        let sends = |t: &usize| self.cluster.teams[*t].mix.iter().any(|m| m.0 == kind);
        let teams: Vec<_> = (0..self.cluster.teams.len()).filter(sends).take(4).collect();
        for part in 1..4 {
            let start = self.hours as f64 * HOUR_SECS * f64::from(part) / 4.0;
            for i in 0..count {
                let team = teams[i % teams.len()];
                let time = start + self.rng.f64() * 60.0;
                self.add_job(team, kind, time);
            }
        }
    }

    /// Adds three bursts of the largest gangs, each of twice as many as the cluster holds, up to a
    /// maximum.
    fn add_large_bursts(&mut self) {
        let size = |k: &KindPlan| k.gang * k.accels;
        let kinds = &self.cluster.kinds;
        let Some(kind) = (0..kinds.len()).max_by_key(|&k| size(&kinds[k])) else { return };
        let count = (self.cluster.accels() / size(&kinds[kind]) * 2) as usize;
        self.add_bursts(kind, count.min(BURST_LARGE_GANGS_MAX));
    }

    /// Cancels, at four times, 60 % of the jobs that one team submitted in the four hours before.
    /// With more than four teams, wave `n` affects the teams whose index modulo 4 is `n`: in
    /// the fourth wave none.
    fn add_cancellations(&mut self) {
        for wave in 1..5 {
            let at = self.hours as f64 * HOUR_SECS * f64::from(wave) / 5.0;
            let (from, to) = (secs(at - PHASE_SECS), secs(at));
            let team = wave as usize % self.cluster.teams.len();
            let many_teams = self.cluster.teams.len() > 4;
            for job in &mut self.jobs {
                let selected = if many_teams { job.team % 4 == team } else { job.team == team };
                if selected && job.submit >= from && job.submit < to && self.rng.f64() < 0.6 {
                    job.outcome = PlannedOutcome::Cancelled(to);
                }
            }
        }
    }

    /// Makes one job in 50, protected jobs aside, fail on every worker.
    fn add_failing_jobs(&mut self) {
        for job in &mut self.jobs {
            if !job.plan.protected && self.rng.usize(0..50) == 0 {
                job.outcome = PlannedOutcome::AlwaysFails;
            }
        }
    }

    /// Adds jobs that need cores and memory but no accelerators, from all teams. Their kinds have
    /// the indexes 5 and 6 of the two-year deployment.
    fn add_core_jobs(&mut self) {
        let end = self.hours as f64 * HOUR_SECS;
        let mut time = 0.0;
        loop {
            time += -self.rng.f64().max(1e-12).ln() / (CORE_JOBS_PER_HOUR / HOUR_SECS);
            if time >= end {
                return;
            }
            let team = self.rng.usize(0..self.cluster.teams.len());
            let kind = 5 + self.rng.usize(0..2);
            self.add_job(team, kind, time);
        }
    }

    fn faults(&self) -> Vec<(Time, Fault)> {
        let span = self.hours as f64 * HOUR_SECS;
        let rack_workers = |rack| {
            let workers = &self.cluster.workers;
            (0..workers.len()).filter(|&w| workers[w].rack == rack).collect::<Vec<_>>()
        };
        match self.stream {
            Stream::RackLoss => vec![
                (secs(span / 3.0), Fault::Down(rack_workers(2))),
                (secs(span / 3.0 + 2.0 * HOUR_SECS), Fault::Up(rack_workers(2))),
            ],
            Stream::BadWorkers => {
                let failing = self.failing_workers();
                vec![
                    (secs(span / 4.0), Fault::Failing(failing.clone())),
                    (secs(span * 3.0 / 4.0), Fault::Recovered(failing)),
                ]
            }
            _ => Vec::new(),
        }
    }

    /// Workers that fail jobs: one in 50 of those with accelerators, which is one of the ten
    /// workers of the small deployments.
    fn failing_workers(&self) -> Vec<usize> {
        let workers = &self.cluster.workers;
        let with_accels = (0..workers.len()).filter(|&w| workers[w].accels > 0);
        with_accels.skip(1).step_by(50).collect()
    }
}

/// Share of each kind in the guaranteed accelerators, from the load mix of all teams.
fn mix(cluster: &Cluster) -> Vec<f64> {
    let guaranteed = cluster.guaranteed();
    let total: u32 = guaranteed.iter().sum();
    let mut mix = vec![0.0; cluster.kinds.len()];
    for (team, accels) in cluster.teams.iter().zip(guaranteed) {
        for (kind, kind_share) in &team.mix {
            mix[*kind] += kind_share * f64::from(accels) / f64::from(total);
        }
    }
    mix
}
