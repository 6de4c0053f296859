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
pub const RETRY: Duration = Duration::from_secs(5);
/// Lease of a gang's members, with the clock bound.
pub const LEASE: Duration = Duration::from_millis(10_050);

#[derive(Clone, Debug)]
struct Live {
    job: JobId,
    kind: KindPlan,
    running: bool,
    due: Option<Time>,
    after: Time,
    retried: bool,
    broken: bool,
}

/// Free parts of a team's guaranteed cells: accelerators of each block, grouped by cell.
type Cells = Vec<Vec<u32>>;

/// A guarantee that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Broken {
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
pub struct Judge {
    cells: Vec<Cells>,
    live: Vec<Vec<Live>>,
    teams: HashMap<JobId, usize>,
    /// Guarantees broken so far.
    pub broken: Vec<Broken>,
    /// Waits of the due jobs that started.
    pub waits: Vec<Duration>,
}

/// Accelerators of each worker in each guaranteed cell, larger cells first.
fn cells(cluster: &Cluster, team: usize) -> Cells {
    let mut cells = Cells::new();
    for shape in &cluster.teams[team].guarantees {
        let cell = match shape.level {
            Level::Block(order) => vec![1 << order],
            Level::Worker => vec![cluster.worker],
            _ => vec![cluster.worker; (cluster.rack / cluster.worker) as usize],
        };
        cells.extend((0..shape.count).map(|_| cell.clone()));
    }
    cells.sort_by_key(|c| std::cmp::Reverse(c.iter().sum::<u32>()));
    cells
}

/// Members of `kind` that fit into a cell.
fn room(cell: &[u32], kind: &KindPlan) -> u32 {
    cell.iter().map(|block| block / kind.accels).sum()
}

/// Takes the cells that a gang needs: the smallest single cell that holds all its members.
fn pack(cells: &mut Cells, kind: &KindPlan) -> bool {
    let fits = |c: &&mut Vec<u32>| room(c, kind) >= kind.gang;
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

impl Judge {
    /// Watches the guarantees of `cluster`.
    pub fn new(cluster: &Cluster) -> Self {
        let teams = cluster.teams.len();
        Self {
            cells: (0..teams).map(|t| cells(cluster, t)).collect(),
            live: vec![Vec::new(); teams],
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
        let live = Live {
            job: job.id,
            kind: job.plan,
            running: false,
            due: None,
            after: now,
            retried: false,
            broken: false,
        };
        self.live[job.team].push(live);
        self.update(now, job.team);
    }

    /// A job has started.
    pub fn started(&mut self, now: Time, job: JobId) {
        let Some(&team) = self.teams.get(&job) else { return };
        let Some(i) = self.live[team].iter().position(|l| l.job == job) else { return };
        self.live[team][i].running = true;
        if let Some(due) = self.live[team][i].due {
            self.waits.push(now.since(due));
        }
        self.settle(now, team, i);
        self.update(now, team);
    }

    /// A running job waits again and is not due before `after`.
    pub fn stopped(&mut self, now: Time, job: JobId, after: Time) {
        let Some(&team) = self.teams.get(&job) else { return };
        let Some(i) = self.live[team].iter().position(|l| l.job == job) else { return };
        self.live[team][i].running = false;
        self.live[team][i].after = after;
        self.live[team][i].retried |= after > now;
        self.update(now, team);
    }

    /// A job is gone.
    pub fn ended(&mut self, now: Time, job: JobId) {
        let Some(team) = self.teams.remove(&job) else { return };
        let Some(i) = self.live[team].iter().position(|l| l.job == job) else { return };
        self.settle(now, team, i);
        self.live[team].remove(i);
        self.update(now, team);
    }

    /// Counts what is overdue at the end of the run.
    pub fn finish(&mut self, now: Time) {
        for team in 0..self.live.len() {
            (0..self.live[team].len()).for_each(|i| self.settle(now, team, i));
        }
    }

    /// Ends a job's time of being due, counting it if that was too long.
    fn settle(&mut self, now: Time, team: usize, i: usize) {
        let live = &mut self.live[team][i];
        let Some(due) = live.due.take() else { return };
        if now.since(due) > RECLAIM_BOUND && !live.broken {
            live.broken = true;
            self.broken.push(Broken {
                job: live.job,
                team,
                kind: live.kind.name,
                since: due.as_micros() as f64 / 1e6,
                wait: now.since(due).as_secs_f64(),
                retried: live.retried,
            });
        }
    }

    fn update(&mut self, now: Time, team: usize) {
        let mut cells = self.cells[team].clone();
        let mut whole = true;
        for live in self.live[team].iter().filter(|l| l.running) {
            whole &= pack(&mut cells, &live.kind);
        }
        for i in 0..self.live[team].len() {
            let live = &self.live[team][i];
            if live.running {
                continue;
            }
            match (whole && pack(&mut cells, &live.kind), live.due) {
                (true, None) => self.live[team][i].due = Some(now.max(live.after)),
                (false, Some(_)) => self.settle(now, team, i),
                _ => {}
            }
        }
    }
}
