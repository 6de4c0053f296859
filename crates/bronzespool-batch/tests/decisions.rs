//! Decisions of the planner over random clusters, compared with those on record. A change that only
//! makes plans cheaper keeps all of them.
//!
//! After a change that is meant to alter decisions, the new record is what the failed test prints.

use {
    bronzespool_batch::{
        Config, Event, JobId, JobSpec, Ledger, Phase, Record, Resources, RunId, Step,
        WorkerIncarnation,
        config::{Advice, Pool, Queue, Team},
        ledger::{ActiveRun, Job, RunEnd, RunOutcome, StopCause, WorkerSpec},
        plan::{ClusterView, Planner, Progress},
    },
    bronzespool_core::{Instance, Time},
    fastrand::Rng,
    std::{fmt::Write, fs, path::PathBuf, sync::Arc, time::Duration},
};

/// Clusters that are compared: with jobs of all forms, and with gangs in the way of gangs.
const CLUSTERS: u64 = 80;
const CLUSTERS_OF_GANGS: u64 = 80;
/// Plans of each cluster.
const PLANS: usize = 40;
const SERVICES: [&str; 2] = ["desk", "kiln"];
const TEAMS: [&str; 3] = ["rangers", "depots", "clerks"];
const LABELS: [&str; 2] = ["a", "b"];

/// What the plans of one cluster decided.
#[derive(Debug, Default)]
struct Decisions {
    /// FNV-1a hash of all events.
    hash: u64,
    started: usize,
    gangs: usize,
    reclaimed: usize,
    broken: usize,
}

impl Decisions {
    fn add(&mut self, event: &Event) {
        let bytes = postcard::to_stdvec(event).unwrap();
        let add = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        self.hash = bytes.iter().fold(self.hash, add);
        match event {
            Event::Started(group) => {
                self.started += group.len();
                self.gangs += usize::from(group.len() > 1);
            }
            Event::Stopping { runs, cause: StopCause::Reclaimed(_) } => {
                self.reclaimed += runs.len();
            }
            Event::Stopping { runs, .. } => self.broken += runs.len(),
            _ => {}
        }
    }
}

struct RandomCluster {
    rng: Rng,
    ledger: Ledger,
    view: ClusterView,
    planner: Planner,
    racks: usize,
    jobs: u64,
    /// Whether gangs of a lower priority fill the cluster before those of the first come.
    of_gangs: bool,
}

impl RandomCluster {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let racks = rng.usize(1..6);
        let view = ClusterView {
            now: Time::from_secs(100),
            wall: Time::from_secs(100).as_millis(),
            ..ClusterView::default()
        };
        let (ledger, planner) = (Ledger::default(), Planner::default());
        let of_gangs = seed >= CLUSTERS;
        let mut cluster = Self { rng, ledger, view, planner, racks, jobs: 0, of_gangs };
        cluster.configure(1);
        let workers = cluster.rng.usize(1..5) * racks;
        for worker in 0..workers {
            cluster.worker_up(worker, 1);
        }
        cluster
    }

    fn apply(&mut self, event: Event) {
        self.ledger.apply(&Record { at: self.view.now, events: vec![event] });
    }

    fn configure(&mut self, version: u64) {
        let with_advice = self.rng.usize(0..6) == 0;
        let advice = Advice { call: 100, per_worker: 10, validity: 5_000 };
        let queue = |i: usize| Queue {
            name: format!("q{i}").into(),
            host: "desk.example".into(),
            prefix: format!("/q{i}/").into(),
            service: SERVICES[usize::from(i == 4)].into(),
            priority: [0, 1, 2, 0, 1][i],
            attempts: 3,
            slack: 1_500,
            latency_target: 250,
            timeout: 3_000,
            public: false,
            advice: (with_advice && i == 3).then_some(advice),
        };
        let pool = |name: &&str| Pool { name: (*name).into(), sheds_load: false, standby: false };
        let mut team = |name: &&str| {
            let guaranteed = self.rng.u64(0..60);
            Team { name: (*name).into(), keys: Vec::new(), guaranteed }
        };
        let config = Config {
            version,
            teams: TEAMS.iter().map(&mut team).collect(),
            queues: (0..5).map(queue).collect(),
            pools: SERVICES.iter().map(pool).collect(),
            ..Config::default()
        };
        self.apply(Event::Configured(Arc::new(config)));
    }

    fn worker_up(&mut self, worker: usize, started_at: u64) {
        let rng = &mut self.rng;
        let rack = worker % self.racks;
        let spec = WorkerSpec {
            incarnation: WorkerIncarnation { worker: format!("w{worker}").into(), started_at },
            agent: Instance::try_from(format!("side-{worker}")).unwrap(),
            service: SERVICES[usize::from(rng.usize(0..6) == 0)].into(),
            center: "c1".into(),
            labels: vec![LABELS[worker / self.racks % 2].into(), format!("r{rack}").into()],
            capacity: Resources {
                cpu: 64_000,
                memory: 128_000,
                gpu: rng.choice([4, 8, 8]).unwrap(),
            },
            leaving: rng.usize(0..30) == 0,
        };
        self.view.schedulable.insert(spec.incarnation.worker.clone());
        self.apply(Event::WorkerUp(Box::new(spec)));
    }

    fn submit(&mut self, plan: usize) {
        self.jobs += 1;
        if self.of_gangs {
            let spec = self.job_of_gangs(plan);
            return self.apply(Event::Submitted(Arc::new(spec)));
        }
        let steps = self.rng.u16(1..4);
        let repeated = self.rng.usize(0..8) == 0;
        let spec = JobSpec {
            id: JobId(self.rng.u64(..) << 20 | self.jobs),
            queue: format!("q{}", self.rng.usize(0..5)).into(),
            team: self.rng.bool().then(|| TEAMS[self.rng.usize(0..3)].into()),
            text: "".into(),
            steps: (0..steps).map(|i| self.step(i)).collect(),
            times: if repeated { 3 } else { 0 },
            start: if repeated { self.view.wall } else { 0 },
            interval: 500,
        };
        self.apply(Event::Submitted(Arc::new(spec)));
    }

    fn job_of_gangs(&mut self, plan: usize) -> JobSpec {
        let rng = &mut self.rng;
        let late = plan >= 8;
        let queue = if late { ["q0", "q1"][rng.usize(0..2)] } else { "q2" };
        let gang = rng.usize(0..5) > 0;
        let step = Step {
            count: rng.u32(2..8),
            need: Resources { cpu: 4_000, memory: 4_000, gpu: rng.choice([1, 2, 3]).unwrap() },
            estimate: rng.u64(10..200) * 100,
            checkpoints: rng.usize(0..3) == 0,
            gang,
            single_rack: late && rng.bool(),
            disruption_budget: (!gang && rng.bool()).then(|| rng.u32(0..4)),
            ..Step::default()
        };
        JobSpec {
            id: JobId(rng.u64(..) << 20 | self.jobs),
            queue: queue.into(),
            team: Some(TEAMS[rng.usize(0..3)].into()),
            text: "".into(),
            steps: vec![step],
            times: 0,
            start: 0,
            interval: 0,
        }
    }

    fn step(&mut self, index: u16) -> Step {
        let rng = &mut self.rng;
        let mut one_in = |n: usize| rng.usize(0..n) == 0;
        let (gang, depends, label, rack) = (one_in(3), one_in(2), one_in(4), one_in(4));
        let (narrow, long_lived, budget) = (one_in(5), one_in(10), one_in(6));
        let (best_effort, checkpoints, single_rack) = (one_in(12), one_in(2), one_in(2));
        let (speculation, alike) = (one_in(12), one_in(2));
        let gpu = rng.choice([0, 1, 1, 2, 4, 8]).unwrap();
        let cpu = if alike { 4_000 } else { rng.u64(1..30) * 1_000 };
        Step {
            count: rng.u32(1..9),
            need: Resources { cpu, memory: rng.u64(1..5) * 4_000, gpu },
            estimate: rng.u64(1..40) * 100,
            depends_on: if depends { index.checked_sub(1).into_iter().collect() } else { vec![] },
            checkpoints,
            gang,
            single_rack,
            label: label.then(|| LABELS[rng.usize(0..2)].into()),
            rack: rack.then(|| format!("r{}", rng.usize(0..self.racks + 1)).into()),
            worker_max: if narrow { rng.u32(1..3) } else { 0 },
            speculation,
            long_lived,
            image: None,
            latency_bound: 0,
            best_effort,
            disruption_budget: budget.then(|| rng.u32(0..3)),
        }
    }

    fn active_runs(&self) -> Vec<(RunId, ActiveRun)> {
        let runs = self.ledger.jobs().flat_map(Job::active_runs);
        runs.map(|(id, run)| (id, run.clone())).collect()
    }

    fn end(&mut self, (run, active): &(RunId, ActiveRun), outcome: RunOutcome) {
        let cursor = self.ledger.worker(&active.incarnation).map_or(0, |w| w.cursor);
        let checkpoint = if outcome == RunOutcome::Stopped { "saved" } else { "" };
        let end = RunEnd { number: cursor + 1, run: *run, outcome, checkpoint: checkpoint.into() };
        self.apply(Event::Ended { incarnation: active.incarnation.clone(), ends: vec![end] });
    }

    fn end_some(&mut self) {
        for run in self.active_runs() {
            let wanted = !self.ledger.is_unwanted(run.0);
            let outcome = match self.rng.usize(0..40) {
                0..8 if !wanted => RunOutcome::Stopped,
                8..12 => RunOutcome::Done,
                12 => RunOutcome::Failed,
                _ => continue,
            };
            self.end(&run, outcome);
        }
    }

    /// A worker that fails whatever it runs.
    fn fail_on_one_worker(&mut self) {
        let Some((_, first)) = self.active_runs().into_iter().next() else { return };
        for run in self.active_runs() {
            if run.1.incarnation == first.incarnation {
                self.end(&run, RunOutcome::Failed);
            }
        }
    }

    /// A second copy of a task whose step allows it.
    fn speculate(&mut self) {
        let workers: Vec<_> = self.ledger.workers().map(|w| w.spec.incarnation.clone()).collect();
        let Some(incarnation) = self.rng.choice(workers) else { return };
        for (id, run) in self.active_runs() {
            let id = RunId { run: id.run + 1, ..id };
            let (checkpoint, permit) = (run.checkpoint, None);
            let incarnation = incarnation.clone();
            let copy =
                bronzespool_batch::ledger::Assignment { run: id, incarnation, checkpoint, permit };
            self.apply(Event::Started(vec![copy]));
        }
    }

    fn change_workers(&mut self) {
        let workers: Vec<_> = self.ledger.workers().map(|w| w.spec.incarnation.clone()).collect();
        let Some(incarnation) = self.rng.choice(workers) else { return };
        match self.rng.usize(0..4) {
            0 => self.apply(Event::WorkerGone(incarnation)),
            1 => {
                let worker = incarnation.worker[1..].parse().unwrap();
                self.worker_up(worker, incarnation.started_at + 1);
            }
            2 => _ = self.view.draining.insert(incarnation.worker),
            _ => self.view.draining.clear(),
        }
    }

    fn report_progress(&mut self) {
        for (id, run) in self.active_runs() {
            if self.rng.usize(0..3) == 0 {
                let percent = self.rng.u32(0..101);
                self.view.progress.insert(id, Progress { checkpoint: run.checkpoint, percent });
            }
        }
    }

    fn issue_permits(&mut self) {
        let until = self.view.now + Duration::from_secs(5);
        let waiting = self.ledger.jobs().filter(|j| j.phase.is_active() && &*j.spec.queue == "q3");
        let steps: Vec<_> = waiting
            .flat_map(|j| (0..j.spec.steps.len() as u16).map(|step| (j.spec.id, step)))
            .collect();
        for (job, step) in steps {
            let step = bronzespool_batch::StepId { job, occurrence: 0, step };
            let some = self.ledger.workers().filter(|_| self.rng.bool());
            let permits: Vec<_> =
                some.map(|w| (w.spec.incarnation.clone(), Arc::from("p"))).collect();
            self.view.permits.record(step, until, permits);
        }
    }

    fn change(&mut self, plan: usize) {
        let span = self.rng.choice([3, 20, 120, 400]).unwrap();
        self.view.now += Duration::from_millis(span);
        self.view.wall += span;
        let jobs = self.rng.usize(0..if plan < 8 { 6 } else { 3 });
        (0..jobs).for_each(|_| self.submit(plan));
        self.end_some();
        self.report_progress();
        match self.rng.usize(0..24) {
            0..3 => self.change_workers(),
            3 => self.fail_on_one_worker(),
            4 => self.speculate(),
            5 => self.configure(plan as u64 + 2),
            6..9 => self.issue_permits(),
            9 => {
                let active = self.ledger.jobs().find(|j| j.phase == Phase::Running);
                if let Some(id) = active.map(|j| j.spec.id) {
                    self.apply(Event::Cancelled(id));
                }
            }
            _ => {}
        }
    }

    fn decisions(&mut self) -> Decisions {
        let mut decisions = Decisions::default();
        for plan in 0..PLANS {
            self.change(plan);
            let events = self.planner.plan(&self.ledger, &self.view);
            events.iter().for_each(|e| decisions.add(e));
            decisions.add(&Event::Cancelled(JobId(events.len() as u64)));
            self.ledger.apply(&Record { at: self.view.now, events });
        }
        decisions
    }
}

fn record_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/decisions.txt")
}

#[test]
fn plan_random_clusters_as_on_record() {
    let mut text = String::new();
    let mut sums = [0; 4];
    for seed in 0..CLUSTERS + CLUSTERS_OF_GANGS {
        let Decisions { hash, started, gangs, reclaimed, broken } =
            RandomCluster::new(seed).decisions();
        writeln!(text, "{seed} {hash:016x} {started} {gangs} {reclaimed} {broken}").unwrap();
        let counts = [started, gangs, reclaimed, broken];
        counts.iter().zip(&mut sums).for_each(|(count, sum)| *sum += count);
    }
    println!("started, gangs, reclaimed, broken: {sums:?}");
    assert!(
        sums.iter().all(|s| *s > CLUSTERS as usize),
        "the clusters decide too little: {sums:?}"
    );
    let record = fs::read_to_string(record_path()).unwrap_or_default();
    let differs = text.lines().zip(record.lines()).find(|(now, then)| now != then);
    assert!(text == record, "first difference: {differs:?}; all decisions now:\n{text}");
}
