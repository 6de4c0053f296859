//! Replays a load on a small cluster: runs take their declared duration, stops take 0.9 s.

#![allow(unreachable_pub)]

use {
    crate::common::{self, Cluster, QUEUES, step},
    bronzespool_batch::{
        Event, JobId, Phase, RunId, Step,
        config::{Config, Team},
        ledger::{RunOutcome, StopCause},
        overload::{
            Detector, Overload,
            admission::{Admission, Rejection},
            job_times,
        },
        spec::JobSpec,
    },
    bronzespool_core::{HashSet, Time},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

pub const TICK: Duration = Duration::from_millis(50);
const STOP_TIME: Duration = Duration::from_millis(900);

/// What became of jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    pub in_time: usize,
    pub late: usize,
    pub lost: usize,
}

impl Served {
    pub fn all(&self) -> usize {
        self.in_time + self.late + self.lost
    }
}

pub struct Replay {
    pub cluster: Cluster,
    pub detector: Detector,
    pub admission: Admission,
    /// Workers with which contact is lost.
    pub silent: HashSet<Arc<str>>,
    /// Whether the planner is told of overload.
    pub enabled: bool,
    ends: BTreeMap<RunId, Time>,
    stops: BTreeMap<RunId, Time>,
    pub starts: usize,
    /// Runs stopped for other jobs.
    pub preempted: Vec<RunId>,
    next: u64,
}

impl Replay {
    pub fn new(racks: usize, each: usize, guaranteed: u64) -> Self {
        let mut cluster = Cluster::new(racks, each, guaranteed);
        cluster.apply(Event::Configured(Arc::new(config(guaranteed))));
        Self {
            cluster,
            detector: Detector::default(),
            admission: Admission::default(),
            silent: HashSet::default(),
            enabled: true,
            ends: BTreeMap::new(),
            stops: BTreeMap::new(),
            starts: 0,
            preempted: Vec::new(),
            next: 0,
        }
    }

    pub fn without_part(racks: usize, each: usize, guaranteed: u64) -> Self {
        Self { enabled: false, ..Self::new(racks, each, guaranteed) }
    }

    pub fn spec(&mut self, team: &str, priority: usize, steps: Vec<Step>) -> JobSpec {
        self.next += 1;
        JobSpec {
            id: JobId(self.next),
            queue: QUEUES[priority].into(),
            team: Some(team.into()),
            text: "".into(),
            steps,
            times: 0,
            start: 0,
            interval: 0,
        }
    }

    pub fn submit(&mut self, team: &str, priority: usize, steps: Vec<Step>) -> JobId {
        let spec = self.spec(team, priority, steps);
        let id = spec.id;
        self.cluster.apply(Event::Submitted(Arc::new(spec)));
        id
    }

    pub fn fill(&mut self, team: &str, priority: usize, count: u32, work: Duration) -> JobId {
        let estimate = work.as_millis() as u64;
        self.submit(team, priority, vec![Step { estimate, ..step(count, 1) }])
    }

    /// Decides on a job as the leader does, without recording it.
    pub fn decide(&mut self, spec: &JobSpec) -> Result<(), Rejection> {
        self.cluster.view.overload = self.assess();
        let Self { cluster, admission, silent, .. } = self;
        admission.decide(&cluster.ledger, &cluster.view, silent, spec)
    }

    /// Submits a job if it is admitted.
    pub fn offer(&mut self, spec: JobSpec) -> Result<JobId, Rejection> {
        let id = spec.id;
        self.decide(&spec)?;
        self.cluster.apply(Event::Submitted(Arc::new(spec)));
        Ok(id)
    }

    /// Assesses overload as the leader does before a plan.
    pub fn assess(&mut self) -> Overload {
        let Self { cluster, detector, silent, .. } = self;
        detector.assess(&cluster.ledger, &cluster.view, silent).clone()
    }

    pub fn tick(&mut self) {
        self.cluster.pass(TICK);
        self.end_runs();
        let overload = self.assess();
        if self.enabled {
            self.cluster.view.overload = overload;
            self.cluster.view.overload.set_places(self.admission.places());
        }
        for event in self.cluster.plan() {
            match event {
                Event::Started(group) => self.started(group.iter().map(|a| a.run)),
                Event::Stopping { runs, cause } => {
                    let at = self.cluster.view.now + STOP_TIME;
                    self.stops.extend(runs.iter().map(|r| (*r, at)));
                    if matches!(cause, StopCause::Reclaimed(_)) {
                        self.preempted.extend(runs);
                    }
                }
                _ => {}
            }
        }
    }

    fn started(&mut self, runs: impl Iterator<Item = RunId>) {
        for run in runs {
            let step = run.task.step;
            let job = self.cluster.ledger.job(step.job).unwrap();
            let work = Duration::from_millis(job.step_spec(step.step).unwrap().estimate);
            self.ends.insert(run, self.cluster.view.now + work);
            self.starts += 1;
        }
    }

    fn end_runs(&mut self) {
        let now = self.cluster.view.now;
        let due = |map: &BTreeMap<RunId, Time>| {
            map.iter().filter(|(_, at)| **at <= now).map(|(run, _)| *run).collect::<Vec<_>>()
        };
        for (runs, outcome) in
            [(due(&self.ends), RunOutcome::Done), (due(&self.stops), RunOutcome::Stopped)]
        {
            for run in runs {
                self.ends.remove(&run);
                self.stops.remove(&run);
                if self.cluster.ledger.active_run(run).is_some() {
                    self.cluster.end(run, outcome);
                }
            }
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let until = self.cluster.view.now + span;
        while self.cluster.view.now < until {
            self.tick();
        }
    }

    /// Returns what became of jobs; those that are not done yet count by the time that they have
    /// waited so far.
    pub fn served(&self, jobs: &[JobId]) -> Served {
        let mut served = Served::default();
        for id in jobs {
            let job = self.cluster.ledger.job(*id).unwrap();
            let times = job_times(&self.cluster.ledger, &job.spec, &self.cluster.view.estimates);
            let took = job.finished.map(|f| f.since(job.submitted));
            let took = took.filter(|_| job.phase == Phase::Completed);
            match took {
                // A plan begins up to one tick after what it waits for.
                Some(t) if t <= times.allowed + TICK => served.in_time += 1,
                Some(t) if t <= times.cutoff + TICK => served.late += 1,
                _ => served.lost += 1,
            }
        }
        served
    }
}

/// Queues with the slack that callers have: 1.5 for the first priority, 3 for the others.
fn config(guaranteed: u64) -> Config {
    let mut config = common::config(2, guaranteed);
    for queue in &mut config.queues {
        queue.slack = if queue.priority == 0 { 1_500 } else { 3_000 };
    }
    let team = |name: &str| Team { name: name.into(), keys: Vec::new(), guaranteed: 0 };
    config.teams.extend(["mills", "ferries", "small-1", "small-2", "small-3"].map(team));
    config
}
