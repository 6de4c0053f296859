//! Simulated workers that run steps of tasks and report progress, in virtual time.
#![allow(dead_code, reason = "each test binary uses a part")]

use {
    bronzespool_core::{Center, Instance, Time},
    bronzespool_estimate::{Kind, Model, Sample, StepKey},
    fastrand::Rng,
    std::time::Duration,
};

/// Time between two rounds of polls, and between two fits.
pub(crate) const ROUND: Duration = Duration::from_millis(500);
/// Runs on one worker at a time.
const SLOTS: usize = 4;

/// What is simulated.
pub(crate) struct Load {
    /// Speeds of the workers.
    pub speeds: Vec<f64>,
    /// Index of the data centre of each worker.
    pub centers: Vec<usize>,
    /// Range of the work of a step, in seconds on a worker of speed 1.
    pub work: [f64; 2],
    /// Part by which tasks of one step differ, either way.
    pub jitter: f64,
    /// Part by which declared durations are off, either way.
    pub misdeclared: f64,
    /// Share of the tasks that take seven times as long.
    pub tail: f64,
}

impl Load {
    pub(crate) fn new(speeds: Vec<f64>) -> Self {
        let centers = vec![0; speeds.len()];
        Self { speeds, centers, work: [2.0, 10.0], jitter: 0.3, misdeclared: 0.9, tail: 0.03 }
    }
}

struct Running {
    step: StepKey,
    run: u64,
    declared: Duration,
    work: f64,
    done: f64,
    started: Time,
}

/// A simulated deployment with its model.
pub(crate) struct Simulation {
    pub load: Load,
    pub model: Model,
    pub now: Time,
    pub rng: Rng,
    /// Work of the latest steps with their declared durations.
    pub steps: Vec<(StepKey, Duration, f64)>,
    running: Vec<Vec<Running>>,
    next: u64,
    waiting: Vec<(StepKey, Duration, f64)>,
}

pub(crate) fn instance(worker: usize) -> Instance {
    Instance::try_from(format!("w{worker:04}").as_str()).unwrap()
}

pub(crate) fn kind(queue: &str) -> Kind {
    Kind { queue: queue.into(), image: None }
}

/// A sample of a completed run.
pub(crate) fn sample(step: u64, run: u64, worker: usize, declared: f64, observed: f64) -> Sample {
    Sample {
        run,
        step: StepKey(step),
        kind: kind("checks"),
        instance: instance(worker),
        declared: Duration::from_secs_f64(declared),
        observed: Duration::from_secs_f64(observed),
        complete: true,
        at: Time::ZERO,
    }
}

impl Simulation {
    pub(crate) fn new(load: Load, seed: u64) -> Self {
        let mut model = Model::new();
        place(&mut model, &load);
        let running = load.speeds.iter().map(|_| Vec::new()).collect();
        let rng = Rng::with_seed(seed);
        let (now, steps, waiting) = (Time::ZERO, Vec::new(), Vec::new());
        Self { load, model, now, rng, steps, running, next: 0, waiting }
    }

    /// Plays a number of seconds.
    pub(crate) fn play(&mut self, secs: u64) {
        let end = self.now + Duration::from_secs(secs);
        while self.now < end {
            self.start();
            self.now += ROUND;
            self.report();
            self.model.refit(self.now);
        }
    }

    /// Drops the runs of a worker that is lost.
    pub(crate) fn end_runs(&mut self, worker: usize) {
        self.running[worker].clear();
    }

    /// Logarithm of the reported speed of a worker divided by the true one, relative to a speed.
    pub(crate) fn speed_error(&self, worker: usize, typical: f64) -> f64 {
        let reported = self.model.estimates().speed(&instance(worker)).factor;
        (reported * typical / self.load.speeds[worker]).ln()
    }

    /// Number of workers whose reported speed is not typical.
    pub(crate) fn claimed(&self) -> usize {
        let estimates = self.model.estimates();
        let speed = |w: usize| estimates.speed(&instance(w)).factor;
        (0..self.load.speeds.len()).filter(|w| speed(*w) != 1.0).count()
    }

    /// Fills free slots, in an order that is drawn.
    fn start(&mut self) {
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        self.rng.shuffle(&mut order);
        for worker in order {
            while self.running[worker].len() < SLOTS {
                let run = self.next_run();
                self.running[worker].push(run);
            }
        }
    }

    fn next_run(&mut self) -> Running {
        if self.waiting.is_empty() {
            self.submit();
        }
        let (step, declared, work) = self.waiting.pop().unwrap();
        self.next += 1;
        let load = &self.load;
        let tail = if self.rng.f64() < load.tail { 7.0 } else { 1.0 };
        let work = work * tail * (1.0 + load.jitter * (2.0 * self.rng.f64() - 1.0));
        Running { step, run: self.next, declared, work, done: 0.0, started: self.now }
    }

    fn submit(&mut self) {
        let [low, high] = self.load.work;
        let work = low + (high - low) * self.rng.f64();
        let off = 1.0 + self.load.misdeclared * (2.0 * self.rng.f64() - 1.0);
        let declared = Duration::from_secs_f64(work * off);
        let step = (StepKey(self.next + 1), declared, work);
        self.steps.push(step);
        let tasks = self.rng.usize(2..9);
        self.waiting.extend(std::iter::repeat_n(step, tasks));
    }

    fn report(&mut self) {
        for (worker, runs) in self.running.iter_mut().enumerate() {
            let speed = self.load.speeds[worker];
            for run in runs.iter_mut() {
                run.done += speed * ROUND.as_secs_f64();
                let age = self.now.since(run.started);
                let share = run.done / run.work;
                let noise = 1.0 + 0.1 * (2.0 * self.rng.f64() - 1.0);
                let percent = (share * noise * 100.0).floor().min(99.0);
                let complete = share >= 1.0;
                let observed =
                    if complete { run.work / speed } else { age.as_secs_f64() / percent * 100.0 };
                if complete || (age >= Duration::from_secs(1) && percent > 0.0) {
                    self.model.record(Sample {
                        run: run.run,
                        step: run.step,
                        kind: kind("checks"),
                        instance: instance(worker),
                        declared: run.declared,
                        observed: Duration::from_secs_f64(observed),
                        complete,
                        at: self.now,
                    });
                }
            }
            runs.retain(|run| run.done < run.work);
        }
    }
}

/// Tells a model in which data centres the workers are.
fn place(model: &mut Model, load: &Load) {
    for (worker, center) in load.centers.iter().enumerate() {
        let center = Center::try_from(format!("center-{center}").as_str()).unwrap();
        model.set_center(&instance(worker), &center);
    }
}
