//! Fillers beside runs that serve: what the agent tells its worker as tail latencies change.

use {
    bronzespool_batch::{
        JobId, RunId, StepId, TaskId, WorkerIncarnation,
        agent::{Action, Limits, Listing, Reconciler, StopOutcome},
        ledger::WorkerSpec,
        message::{Orders, QosClass, RunStatus},
        spec::Resources,
    },
    bronzespool_core::{Instance, Time},
    std::time::Duration,
};

const LIMITS: Limits =
    Limits { lease_max: Duration::from_secs(6), heartbeat_interval: Duration::from_millis(1_500) };
/// Bound on the tail latency of what serves, in milliseconds.
const BOUND: u64 = 100;
/// Time between two lists of the worker.
const LOOK: Duration = Duration::from_millis(400);
const SERVER: u64 = 1;
const FILLER: u64 = 2;

fn run(job: u64) -> RunId {
    let step = StepId { job: JobId(job), occurrence: 0, step: 0 };
    RunId { task: TaskId { step, index: 0 }, run: 1 }
}

fn incarnation() -> WorkerIncarnation {
    WorkerIncarnation { worker: "w0".into(), started_at: 1 }
}

/// A worker with one filler whose work adds to the tail latency of what serves.
struct Bench {
    desk: Reconciler,
    now: Time,
    /// Share that the worker has been told, in percent.
    share: u32,
    /// Tail latency without the filler.
    own: u64,
    /// What the filler adds at its whole share.
    adds: u64,
}

impl Bench {
    fn new(own: u64, adds: u64, serves: bool) -> Self {
        let now = Time::from_secs(10);
        let agent = Instance::try_from("side-1").unwrap();
        let mut desk = Reconciler::new(agent.clone(), 7, LIMITS, now);
        let spec = WorkerSpec {
            incarnation: incarnation(),
            agent,
            service: "desk".into(),
            center: "c1".into(),
            labels: vec!["r0".into()],
            capacity: Resources { cpu: 1_000, memory: 1_000, gpu: 1 },
            leaving: false,
        };
        desk.check_in(now, spec, 1);
        let mut parts = vec![(run(FILLER), QosClass::BestEffort)];
        if serves {
            parts.push((run(SERVER), QosClass::LatencySensitive(BOUND)));
        }
        let poll = desk.poll(now);
        let orders = Orders {
            epoch: 3,
            incarnation: Some(incarnation()),
            cursor: 0,
            lease: 8_000,
            starts: Vec::new(),
            stops: Vec::new(),
            classes: parts,
        };
        desk.receive_orders(now, &poll, orders);
        Self { desk, now, share: 100, own, adds }
    }

    fn tail(&self) -> u64 {
        self.own + self.adds * u64::from(self.share) / 100
    }

    /// One list of the worker; `heard` tells whether it takes what follows.
    fn look(&mut self, heard: bool) -> Vec<u32> {
        self.now += LOOK;
        let look = self.desk.list_request(self.now).unwrap();
        let held =
            |job, usage| RunStatus { run: run(job), checkpoint: "".into(), percent: 100, usage };
        let running = vec![held(SERVER, self.tail()), held(FILLER, 500)];
        let clock = self.now.since(Time::ZERO).as_millis() as u64;
        let listing = Listing { started_at: Some(1), clock, running, ends: Vec::new() };
        self.desk.receive_listing(self.now, &look, listing);
        let mut told = Vec::new();
        for action in self.desk.pace_actions(self.now) {
            let Action::Pace { run, percent, epoch, incarnation } = action else {
                panic!("{action:?}")
            };
            assert_eq!(epoch, 3);
            told.push(percent);
            if heard {
                self.share = percent;
            }
            let verdict = if heard { StopOutcome::Noted } else { StopOutcome::Unknown };
            self.desk.pace_answered(&incarnation, run, verdict);
        }
        told
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.look(true);
        }
    }
}

#[test]
fn paces_filler_that_disturbs_is_slowed_within_the_bound() {
    // Beyond four seconds over the bound, a filler that is the cause counts as harm.
    let mut bench = Bench::new(60, 200, true);
    bench.pass(Duration::from_secs(3));
    assert!(bench.tail() < BOUND, "{} at {} %", bench.tail(), bench.share);
}

#[test]
fn paces_load_that_changes_is_followed_and_given_back_slowly() {
    let mut bench = Bench::new(20, 60, true);
    bench.pass(Duration::from_secs(20));
    assert!(bench.share >= 50, "room is used: {} %", bench.share);
    bench.own = 90;
    bench.pass(Duration::from_secs(3));
    assert!(bench.tail() < BOUND, "{} at {} %", bench.tail(), bench.share);
    bench.own = 20;
    bench.pass(Duration::from_secs(1));
    assert!(bench.share <= 20, "one calm second is no reason: {} %", bench.share);
    bench.pass(Duration::from_secs(20));
    assert!(bench.share >= 50, "{} %", bench.share);
}

#[test]
fn paces_filler_without_neighbours_works_whole() {
    let mut bench = Bench::new(500, 500, false);
    assert!(bench.look(true).is_empty(), "a run works at its whole share when it starts");
}

#[test]
fn paces_share_without_an_answer_is_told_again() {
    let mut bench = Bench::new(10, 10, true);
    assert_eq!(bench.look(false), [40]);
    assert_eq!(bench.look(false), [40]);
    assert_eq!(bench.look(true), [40]);
    assert!(bench.look(true).is_empty(), "told once");
}

#[test]
fn paces_own_load_over_the_bound_keeps_fillers_still() {
    let mut bench = Bench::new(150, 10, true);
    bench.pass(Duration::from_secs(6));
    assert_eq!(bench.share, 0);
}
