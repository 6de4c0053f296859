//! Counts broken guarantees, whatever the policy believes.
//!
//! A job is due while it waits and its team's running jobs and the jobs that it submitted
//! before, with this one, fit into the team's guaranteed cells. A job that stays due for longer
//! than the reclaim bound is a broken guarantee, counted once.

use {
    crate::decisions::{Cluster, Job, JobId, KindPlan},
    bronzespool_core::{HashMap, Level, Time},
    serde::Serialize,
    std::time::Duration,
};

/// Longest time from the claim of a guaranteed shape to the start on it.
pub const RECLAIM_BOUND: Duration = Duration::from_millis(1_100);

/// Wait before a failed job is due again.
pub const RETRY_DELAY: Duration = Duration::from_secs(5);
/// Lease of a gang's members, with the clock bound.
pub const GANG_LEASE: Duration = Duration::from_millis(10_050);

#[derive(Clone, Debug)]
struct TrackedJob {
    job: JobId,
    kind: KindPlan,
    running: bool,
    due_since: Option<Time>,
    due_after: Time,
    retried: bool,
    broken: bool,
}

/// Free parts of a team's guaranteed cells: accelerators of each block, grouped by cell.
type Cells = Vec<Vec<u32>>;

/// A guarantee that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BrokenGuarantee {
    /// The job.
    pub job: JobId,
    /// Its team.
    pub team: usize,
    /// Its kind.
    pub kind: &'static str,
    /// Since when it was due, in seconds.
    pub since: f64,
    /// For how long it was due, in seconds.
    pub wait: f64,
    /// Whether it had failed or lost a worker before.
    pub retried: bool,
}

/// Watches the guarantees of all teams.
#[derive(Clone, Debug)]
pub struct GuaranteeMonitor {
    cells: Vec<Cells>,
    tracked: Vec<Vec<TrackedJob>>,
    teams: HashMap<JobId, usize>,
    /// Guarantees broken so far.
    pub broken: Vec<BrokenGuarantee>,
    /// Waits of the due jobs that started.
    pub waits: Vec<Duration>,
}

/// Accelerators of each worker in each guaranteed cell, larger cells first.
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

/// Members of `kind` that fit into a cell.
fn members_fitting(cell: &[u32], kind: &KindPlan) -> u32 {
    cell.iter().map(|block| block / kind.accels).sum()
}

/// Takes the cells that a gang needs: the smallest single cell that holds all its members.
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
    /// Watches the guarantees of `cluster`.
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

    /// A job waits from now on.
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

    /// A job has started.
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

    /// A running job waits again and is not due before `after`.
    pub fn stopped(&mut self, now: Time, job: JobId, due_after: Time) {
        let Some(&team) = self.teams.get(&job) else { return };
        let Some(i) = self.tracked[team].iter().position(|t| t.job == job) else { return };
        self.tracked[team][i].running = false;
        self.tracked[team][i].due_after = due_after;
        self.tracked[team][i].retried |= due_after > now;
        self.update(now, team);
    }

    /// A job is gone.
    pub fn ended(&mut self, now: Time, job: JobId) {
        let Some(team) = self.teams.remove(&job) else { return };
        let Some(i) = self.tracked[team].iter().position(|t| t.job == job) else { return };
        self.close_wait(now, team, i);
        self.tracked[team].remove(i);
        self.update(now, team);
    }

    /// Counts what is overdue at the end of the run.
    pub fn finish(&mut self, now: Time) {
        for team in 0..self.tracked.len() {
            (0..self.tracked[team].len()).for_each(|i| self.close_wait(now, team, i));
        }
    }

    /// Ends a job's time of being due, counting it if that was too long.
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
