//! Counts broken guarantees from the true state, independently of the policy.
//!
//! A team's guarantee consists of cells: blocks of accelerators, whole workers or whole racks.
//! A waiting job is due while it fits into its team's guaranteed cells together with the team's
//! running jobs and the due jobs that the team submitted earlier. A job that stays due for longer
//! than [`RECLAIM_BOUND`] is a broken guarantee; each job is counted at most once.

use {
    crate::decisions::{Cluster, Job, JobId, KindPlan},
    bronzespool_core::{HashMap, Level, Time},
    serde::Serialize,
    std::time::Duration,
};

/// Longest time for which a job may be due before it starts.
pub const RECLAIM_BOUND: Duration = Duration::from_millis(1_100);

/// Delay before a failed job is due again.
pub const RETRY_DELAY: Duration = Duration::from_secs(5);
/// Lease of a gang's members plus the upper bound on clock drift. A gang that lost a member is not
/// due again before this time and [`RETRY_DELAY`] have passed.
pub const GANG_LEASE: Duration = Duration::from_millis(10_050);

/// A waiting or running job of a team.
#[derive(Clone, Debug)]
struct TrackedJob {
    job: JobId,
    kind: KindPlan,
    running: bool,
    due_since: Option<Time>,
    /// Earliest time at which the job is due, for instance after a retry delay.
    due_after: Time,
    /// Whether the job has failed or lost a worker before.
    retried: bool,
    /// Whether the job has already been counted as a broken guarantee.
    broken: bool,
}

/// Free accelerators of a team's guaranteed cells: by cell, then by worker or block of the cell.
type Cells = Vec<Vec<u32>>;

/// A guarantee that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BrokenGuarantee {
    /// Index of the job.
    pub job: JobId,
    /// Index of its team.
    pub team: usize,
    /// Name of its kind.
    pub kind: &'static str,
    /// Time since which the job was due, in seconds.
    pub since: f64,
    /// Time for which the job was due, in seconds.
    pub wait: f64,
    /// Whether the job had failed or lost a worker before.
    pub retried: bool,
}

/// Monitor of the guarantees of all teams.
#[derive(Clone, Debug)]
pub struct GuaranteeMonitor {
    cells: Vec<Cells>,
    tracked: Vec<Vec<TrackedJob>>,
    teams: HashMap<JobId, usize>,
    /// Broken guarantees so far.
    pub broken: Vec<BrokenGuarantee>,
    /// Time from becoming due to the start, of all jobs that started while due.
    pub waits: Vec<Duration>,
}

/// Accelerators of each worker or block in each guaranteed cell of a team, largest cell first.
fn guaranteed_cells(cluster: &Cluster, team: usize) -> Cells {
    let mut cells = Cells::new();
    for shape in &cluster.teams[team].guarantees {
        let cell = match shape.level {
            Level::Block(order) => vec![1 << order],
            Level::Worker => vec![cluster.worker_accels],
            _ => {
                vec![cluster.worker_accels; (cluster.rack_accels / cluster.worker_accels) as usize]
            }
        };
        cells.extend((0..shape.count).map(|_| cell.clone()));
    }
    cells.sort_by_key(|c| std::cmp::Reverse(c.iter().sum::<u32>()));
    cells
}

/// Number of members of `kind` that fit into a cell.
fn members_fitting(cell: &[u32], kind: &KindPlan) -> u32 {
    cell.iter().map(|block| block / kind.accels).sum()
}

/// Packs a gang into the smallest cell that holds all its members; returns false if there is none.
/// A gang is never split over several cells: a guarantee of many cells does not promise that they
/// are adjacent.
fn pack_gang(cells: &mut Cells, kind: &KindPlan) -> bool {
    let fits = |c: &&mut Vec<u32>| members_fitting(c, kind) >= kind.gang;
    let best = cells.iter_mut().filter(fits).min_by_key(|c| c.iter().sum::<u32>());
    let Some(cell) = best else { return false };
    let mut left = kind.gang;
    for block in cell.iter_mut() {
        let members = left.min(*block / kind.accels);
        *block -= members * kind.accels;
        left -= members;
    }
    true
}

impl GuaranteeMonitor {
    /// Monitors the guarantees of `cluster`, without any jobs.
    pub fn new(cluster: &Cluster) -> Self {
        let teams = cluster.teams.len();
        Self {
            cells: (0..teams).map(|t| guaranteed_cells(cluster, t)).collect(),
            tracked: vec![Vec::new(); teams],
            teams: HashMap::default(),
            broken: Vec::new(),
            waits: Vec::new(),
        }
    }

    /// Notes that a job was submitted. Jobs without accelerators are not tracked.
    pub fn submitted(&mut self, now: Time, job: &Job) {
        if job.accels() == 0 {
            return;
        }
        self.teams.insert(job.id, job.team);
        let tracked = TrackedJob {
            job: job.id,
            kind: job.plan,
            running: false,
            due_since: None,
            due_after: now,
            retried: false,
            broken: false,
        };
        self.tracked[job.team].push(tracked);
        self.update(now, job.team);
    }

    /// Notes that a job has started.
    pub fn started(&mut self, now: Time, job: JobId) {
        let Some(&team) = self.teams.get(&job) else { return };
        let Some(i) = self.tracked[team].iter().position(|t| t.job == job) else { return };
        self.tracked[team][i].running = true;
        if let Some(due_since) = self.tracked[team][i].due_since {
            self.waits.push(now.since(due_since));
        }
        self.close_wait(now, team, i);
        self.update(now, team);
    }

    /// Notes that a running job waits again and is not due before `due_after`.
    pub fn stopped(&mut self, now: Time, job: JobId, due_after: Time) {
        let Some(&team) = self.teams.get(&job) else { return };
        let Some(i) = self.tracked[team].iter().position(|t| t.job == job) else { return };
        self.tracked[team][i].running = false;
        self.tracked[team][i].due_after = due_after;
        self.tracked[team][i].retried |= due_after > now;
        self.update(now, team);
    }

    /// Notes that a job has left the system.
    pub fn ended(&mut self, now: Time, job: JobId) {
        let Some(team) = self.teams.remove(&job) else { return };
        let Some(i) = self.tracked[team].iter().position(|t| t.job == job) else { return };
        self.close_wait(now, team, i);
        self.tracked[team].remove(i);
        self.update(now, team);
    }

    /// Counts the jobs that are still due at the end of the run.
    pub fn finish(&mut self, now: Time) {
        for team in 0..self.tracked.len() {
            (0..self.tracked[team].len()).for_each(|i| self.close_wait(now, team, i));
        }
    }

    /// Ends the time for which a job is due, and counts a broken guarantee if it was too long.
    fn close_wait(&mut self, now: Time, team: usize, i: usize) {
        let tracked = &mut self.tracked[team][i];
        let Some(due_since) = tracked.due_since.take() else { return };
        if now.since(due_since) > RECLAIM_BOUND && !tracked.broken {
            tracked.broken = true;
            self.broken.push(BrokenGuarantee {
                job: tracked.job,
                team,
                kind: tracked.kind.name,
                since: due_since.as_micros() as f64 / 1e6,
                wait: now.since(due_since).as_secs_f64(),
                retried: tracked.retried,
            });
        }
    }

    /// Updates which waiting jobs of a team are due. None of them is due while the running jobs
    /// alone do not fit into the guaranteed cells.
    fn update(&mut self, now: Time, team: usize) {
        let mut cells = self.cells[team].clone();
        let mut all_packed = true;
        for tracked in self.tracked[team].iter().filter(|t| t.running) {
            all_packed &= pack_gang(&mut cells, &tracked.kind);
        }
        for i in 0..self.tracked[team].len() {
            let tracked = &self.tracked[team][i];
            if tracked.running {
                continue;
            }
            match (all_packed && pack_gang(&mut cells, &tracked.kind), tracked.due_since) {
                (true, None) => self.tracked[team][i].due_since = Some(now.max(tracked.due_after)),
                (false, Some(_)) => self.close_wait(now, team, i),
                _ => {}
            }
        }
    }
}
