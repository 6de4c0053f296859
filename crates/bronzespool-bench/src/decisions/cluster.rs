//! The simulated deployments: the two that exist today and the size expected in two years.

use {
    bronzespool_core::{Level, Shape},
    std::time::Duration,
};

const HOUR_SECS: u64 = 3_600;
const MINUTE_SECS: u64 = 60;

/// A worker with its location and capacity.
#[derive(Clone, Copy, Debug)]
pub struct WorkerPlan {
    /// Index of the region.
    pub region: usize,
    /// Index of the data centre, counted over all regions.
    pub center: usize,
    /// Index of the rack, counted over all data centres.
    pub rack: usize,
    /// Number of accelerators; neighbouring numbers are adjacent.
    pub accels: u32,
    /// CPU in thousandths of a core.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
}

/// A team with its guarantees and its load.
#[derive(Clone, Debug)]
pub struct TeamPlan {
    /// Guaranteed shapes.
    pub guarantees: Vec<Shape>,
    /// Index of each job kind that the team submits, with that kind's share of the team's load.
    pub mix: Vec<(usize, f64)>,
}

impl TeamPlan {
    /// Accelerators of all guaranteed cells, for workers of `worker_accels` and racks of
    /// `rack_accels` accelerators.
    pub fn accels(&self, worker_accels: u32, rack_accels: u32) -> u32 {
        let cell = |level| match level {
            Level::Block(order) => 1 << order,
            Level::Worker => worker_accels,
            _ => rack_accels,
        };
        self.guarantees.iter().map(|s| s.count * cell(s.level)).sum()
    }
}

/// A kind of job.
#[derive(Clone, Copy, Debug)]
pub struct KindPlan {
    /// Name.
    pub name: &'static str,
    /// Number of members of the gang.
    pub gang: u32,
    /// Adjacent accelerators that each member needs.
    pub accels: u32,
    /// CPU of each member in thousandths of a core.
    pub cores: u32,
    /// Memory of each member in MiB.
    pub memory: u64,
    /// Topology level within one domain of which all members are placed.
    pub adjacent: Level,
    /// Median of the true run times.
    pub median: Duration,
    /// Declared run time.
    pub declared: Duration,
    /// Time between two checkpoints; `None` if the kind makes none.
    pub checkpoint: Option<Duration>,
    /// Whether the job runs at most once, so that it must never be preempted.
    pub protected: bool,
}

impl KindPlan {
    const fn new(name: &'static str, gang: u32, accels: u32, adjacent: Level, secs: u64) -> Self {
        Self {
            name,
            gang,
            accels,
            cores: 2_000,
            memory: 4_096,
            adjacent,
            median: Duration::from_secs(secs),
            declared: Duration::from_secs(secs * 2),
            checkpoint: Some(Duration::from_secs(600)),
            protected: false,
        }
    }

    const fn without_checkpoints(mut self) -> Self {
        self.checkpoint = None;
        self
    }

    const fn protected(mut self) -> Self {
        self.checkpoint = None;
        self.protected = true;
        self
    }
}

/// A simulated deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// The registry's permit desk: small jobs; placement gives completion time more weight.
    Registry,
    /// The cooperative's flight desk: large adjacent jobs; placement gives fragmentation more
    /// weight.
    Cooperative,
    /// The size expected in two years: 890 workers, 1,600 accelerators, 350 teams.
    TwoYear,
}

impl Scale {
    /// All deployments.
    pub const ALL: [Self; 3] = [Self::Registry, Self::Cooperative, Self::TwoYear];

    /// Name in tables, files and arguments.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Registry => "registry",
            Self::Cooperative => "cooperative",
            Self::TwoYear => "two-year",
        }
    }

    /// Builds the deployment's cluster.
    pub fn cluster(self) -> Cluster {
        match self {
            Self::Registry => registry(),
            Self::Cooperative => cooperative(),
            Self::TwoYear => two_year(1),
        }
    }
}

/// Workers, teams and job kinds of a deployment.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Workers by index.
    pub workers: Vec<WorkerPlan>,
    /// Teams by index.
    pub teams: Vec<TeamPlan>,
    /// Job kinds by index.
    pub kinds: Vec<KindPlan>,
    /// Accelerators of the largest worker.
    pub worker_accels: u32,
    /// Accelerators of the largest rack.
    pub rack_accels: u32,
    /// Weights of completion time and of fragmentation in placement, in this order.
    pub weights: (f64, f64),
}

impl Cluster {
    /// Total number of accelerators.
    pub fn accels(&self) -> u32 {
        self.workers.iter().map(|w| w.accels).sum()
    }

    /// Guaranteed accelerators by team.
    pub fn guaranteed(&self) -> Vec<u32> {
        self.teams.iter().map(|t| t.accels(self.worker_accels, self.rack_accels)).collect()
    }

    /// The two-year deployment with its workers and teams multiplied by `factor`.
    pub fn two_year(factor: usize) -> Self {
        two_year(factor)
    }
}

/// Ten workers of 8 accelerators in three data centres: racks of 3 and 1 workers in the first, and
/// one rack of 3 in each of the other two.
fn ten_workers(cores: u32, memory: u64) -> Vec<WorkerPlan> {
    let location = |i: usize| match i {
        0..3 => (0, 0),
        3 => (0, 1),
        4..7 => (1, 2),
        _ => (2, 3),
    };
    let worker = |i| {
        let (center, rack) = location(i);
        WorkerPlan { region: 0, center, rack, accels: 8, cores, memory }
    };
    (0..10).map(worker).collect()
}

const fn team(guarantees: Vec<Shape>, mix: Vec<(usize, f64)>) -> TeamPlan {
    TeamPlan { guarantees, mix }
}

const fn block_shape(count: u32, order: u8) -> Shape {
    Shape::new(Level::Block(order), count)
}

fn registry() -> Cluster {
    let kinds = vec![
        KindPlan::new("quota-batch", 1, 1, Level::Worker, 6 * MINUTE_SECS).without_checkpoints(),
        KindPlan::new("season-plan", 1, 2, Level::Worker, 20 * MINUTE_SECS),
        KindPlan::new("load-match", 1, 4, Level::Worker, 30 * MINUTE_SECS),
        KindPlan::new("permit-audit", 2, 8, Level::Rack, 90 * MINUTE_SECS),
        KindPlan::new("permit-print", 1, 1, Level::Worker, 2 * MINUTE_SECS).protected(),
    ];
    let teams = vec![
        team(vec![block_shape(2, 2), block_shape(2, 1)], vec![(0, 0.4), (1, 0.4), (4, 0.2)]),
        team(vec![block_shape(2, 2)], vec![(0, 0.3), (1, 0.4), (2, 0.3)]),
        team(vec![block_shape(2, 2)], vec![(0, 0.4), (2, 0.6)]),
        team(vec![Shape::new(Level::Rack, 1)], vec![(1, 0.2), (3, 0.8)]),
    ];
    let workers = ten_workers(64_000, 128 * 1_024);
    Cluster { workers, teams, kinds, worker_accels: 8, rack_accels: 24, weights: (2.0, 1.0) }
}

fn cooperative() -> Cluster {
    let kinds = vec![
        KindPlan::new("telemetry", 1, 1, Level::Worker, 8 * MINUTE_SECS).without_checkpoints(),
        KindPlan::new("airworthiness", 1, 2, Level::Worker, 15 * MINUTE_SECS).protected(),
        KindPlan::new("log-replay", 1, 4, Level::Worker, 40 * MINUTE_SECS),
        KindPlan::new("reconstruction", 1, 8, Level::Worker, 2 * HOUR_SECS),
        KindPlan::new("history", 3, 8, Level::Rack, 3 * HOUR_SECS),
    ];
    let club_mix = || vec![(0, 0.2), (1, 0.1), (2, 0.3), (3, 0.4)];
    let teams = vec![
        team(vec![Shape::new(Level::Worker, 1), block_shape(1, 2)], club_mix()),
        team(vec![Shape::new(Level::Worker, 1), block_shape(1, 2)], club_mix()),
        team(vec![block_shape(1, 2)], vec![(0, 0.3), (1, 0.2), (2, 0.5)]),
        team(vec![Shape::new(Level::Rack, 1)], vec![(2, 0.1), (3, 0.2), (4, 0.7)]),
    ];
    let workers = ten_workers(32_000, 64 * 1_024);
    Cluster { workers, teams, kinds, worker_accels: 8, rack_accels: 24, weights: (1.0, 2.0) }
}

/// Accelerators of worker `i` of 890: 140 workers have 8, 100 have 4, 80 have 1, the others none.
/// The factor 7 spreads the sizes over the racks.
const fn two_year_accels(i: usize) -> u32 {
    match i * 7 % 890 {
        0..140 => 8,
        140..240 => 4,
        240..320 => 1,
        _ => 0,
    }
}

fn two_year(factor: usize) -> Cluster {
    let kinds = vec![
        KindPlan::new("single", 1, 1, Level::Worker, 8 * HOUR_SECS),
        KindPlan::new("pair", 2, 1, Level::Center, 5 * HOUR_SECS),
        KindPlan::new("quad", 1, 4, Level::Worker, 5 * HOUR_SECS),
        KindPlan::new("worker", 1, 8, Level::Worker, 5 * HOUR_SECS),
        KindPlan::new("gang-64", 64, 1, Level::Center, 4 * HOUR_SECS),
        KindPlan::new("cores-16", 16, 0, Level::Center, 9 * HOUR_SECS),
        KindPlan::new("cores-32", 32, 0, Level::Region, 9 * HOUR_SECS),
    ];
    let plan = |i: usize| match i % 350 {
        0..12 => team(vec![block_shape(64, 0)], vec![(0, 0.1), (4, 0.9)]),
        12..36 => team(vec![block_shape(1, 3)], vec![(0, 0.1), (1, 0.1), (2, 0.3), (3, 0.5)]),
        _ => team(vec![block_shape(1, 0)], vec![(0, 1.0)]),
    };
    let count = 890 * factor;
    let worker = |i: usize| {
        let center = i * 8 / count;
        let region = [0, 0, 0, 1, 1, 1, 2, 2][center];
        let accels = two_year_accels(i % 890);
        WorkerPlan { region, center, rack: i / 10, accels, cores: 64_000, memory: 131_072 }
    };
    let workers: Vec<_> = (0..count).map(worker).collect();
    let teams = (0..350 * factor).map(plan).collect();
    Cluster { workers, teams, kinds, worker_accels: 8, rack_accels: 80, weights: (1.0, 1.0) }
}
