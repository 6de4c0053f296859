//! The list scheduler in virtual time.

use {
    crate::run_times::load::{Job, Options, SLOTS, jobs},
    bronzespool::estimate::{Estimates, Model, Sample, StepKey},
    bronzespool_core::{Center, Instance, Time},
    fastrand::Rng,
    serde::Serialize,
    std::{ops::Add, time::Duration},
};

/// Time between two decisions.
const TICK_SECS: f64 = 0.1;
/// Ticks between two polls, each of which is followed by a fit.
const POLL_TICKS: u64 = 5;
/// Age from which a run reports its progress.
const REPORT_AGE_SECS: f64 = 1.0;
/// Part by which reported progress is off, either way.
const REPORT_NOISE: f64 = 0.1;
/// Duration that nine of ten tasks of a step do not exceed, in units of the mean, without the tail.
const HIGH: f64 = 1.24;
/// Value of a job that completes after its bound and before its cutoff.
const LATE_VALUE: f64 = 0.25;

/// Where durations and speeds come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Declared durations and equal workers.
    Declared,
    /// Estimates of `bronzespool-estimate`.
    Learned,
    /// The mean work of each step and the speed of each worker.
    True,
}

impl Source {
    /// All sources.
    pub const ALL: [Self; 3] = [Self::Declared, Self::Learned, Self::True];

    /// Name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::Learned => "learned",
            Self::True => "true",
        }
    }
}

/// What came of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Jobs.
    pub jobs: usize,
    /// Jobs that completed within their bound.
    pub in_time: usize,
    /// Jobs that completed later, before their cutoff.
    pub late: usize,
    /// Work done for jobs that were given up at their cutoff, in seconds at speed 1.
    pub lost: f64,
    /// All work done, in seconds at speed 1.
    pub done: f64,
    /// Slot-seconds in which runs held slots while jobs arrived.
    pub held: f64,
    /// Slot-seconds of the same time.
    pub slots: f64,
}

impl Figures {
    /// Share of the jobs that missed their bound.
    pub fn missed(&self) -> f64 {
        1.0 - self.in_time as f64 / self.jobs.max(1) as f64
    }

    /// Mean value of a job: 1 in time, 0.25 when late, 0 otherwise.
    pub fn value(&self) -> f64 {
        (self.in_time as f64 + LATE_VALUE * self.late as f64) / self.jobs.max(1) as f64
    }

    /// Share of the work that was thrown away.
    pub fn lost_share(&self) -> f64 {
        self.lost / self.done.max(f64::MIN_POSITIVE)
    }

    /// Share of the slots that were held.
    pub fn utilisation(&self) -> f64 {
        self.held / self.slots.max(f64::MIN_POSITIVE)
    }
}

impl Add for Figures {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            jobs: self.jobs + other.jobs,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            lost: self.lost + other.lost,
            done: self.done + other.done,
            held: self.held + other.held,
            slots: self.slots + other.slots,
        }
    }
}

struct Run {
    job: usize,
    task: usize,
    worker: usize,
    started: f64,
    done: f64,
}

/// A job that has arrived and is neither complete nor given up.
struct Open {
    job: usize,
    /// Tasks that have not started.
    waiting: Vec<usize>,
    /// Tasks that have not completed.
    left: usize,
    /// Work done for it.
    done: f64,
}

struct Simulator<'a> {
    options: &'a Options,
    source: Source,
    jobs: Vec<Job>,
    instances: Vec<Instance>,
    open: Vec<Open>,
    runs: Vec<Run>,
    held: Vec<usize>,
    model: Model,
    estimates: Estimates,
    rng: Rng,
    now: f64,
    figures: Figures,
}

/// Simulates a stream with durations from one source.
pub fn run(options: &Options, source: Source) -> Figures {
    let mut simulator = Simulator::new(options, source);
    let (mut tick, mut arrived) = (0_u64, 0);
    while arrived < simulator.jobs.len() || !simulator.open.is_empty() {
        simulator.now = tick as f64 * TICK_SECS;
        while simulator.jobs.get(arrived).is_some_and(|j| j.arrival <= simulator.now) {
            simulator.arrive(arrived);
            arrived += 1;
        }
        simulator.give_up();
        simulator.start();
        simulator.work(arrived < simulator.jobs.len());
        if source == Source::Learned && tick.is_multiple_of(POLL_TICKS) {
            simulator.poll();
        }
        tick += 1;
    }
    simulator.figures
}

impl<'a> Simulator<'a> {
    fn new(options: &'a Options, source: Source) -> Self {
        let name = |w: usize| Instance::try_from(format!("w{w:03}").as_str());
        let instances: Vec<Instance> =
            (0..options.workers()).map(|w| name(w).expect("a valid name")).collect();
        let mut model = Model::new();
        for (worker, instance) in instances.iter().enumerate() {
            let center = Center::try_from(format!("center-{}", options.center(worker)).as_str());
            model.set_center(instance, &center.expect("a valid name"));
        }
        let jobs = jobs(options);
        let figures = Figures { jobs: jobs.len(), ..Figures::default() };
        Self {
            options,
            source,
            jobs,
            held: vec![0; instances.len()],
            instances,
            open: Vec::new(),
            runs: Vec::new(),
            model,
            estimates: Estimates::default(),
            rng: Rng::with_seed(options.seed ^ 0x5eed),
            now: 0.0,
            figures,
        }
    }

    fn arrive(&mut self, job: usize) {
        let tasks = self.jobs[job].tasks.len();
        self.open.push(Open { job, waiting: (0..tasks).collect(), left: tasks, done: 0.0 });
    }

    /// Expected duration of a task of a job at speed 1 and the one that nine of ten do not exceed,
    /// in seconds.
    fn expected(&self, job: usize) -> [f64; 2] {
        let spec = &self.jobs[job];
        match self.source {
            Source::True => [spec.mean, spec.mean * HIGH],
            Source::Declared => [spec.declared.as_secs_f64(); 2],
            Source::Learned => {
                let step = Some(StepKey(job as u64));
                let work = self.estimates.work(&spec.kind, step, spec.declared);
                [work.expected, work.high].map(|d| d.as_secs_f64())
            }
        }
    }

    fn true_speed(&self, worker: usize) -> f64 {
        self.options.speed(worker, self.now / self.options.stream.as_secs_f64())
    }

    fn expected_speed(&self, worker: usize) -> f64 {
        match self.source {
            Source::True => self.true_speed(worker),
            Source::Declared => 1.0,
            Source::Learned => self.estimates.speed(&self.instances[worker]).factor,
        }
    }

    /// Stops the runs of jobs past their cutoff.
    fn give_up(&mut self) {
        let (now, jobs) = (self.now, &self.jobs);
        let over = |job: usize| jobs[job].cutoff <= now;
        self.runs.retain(|run| {
            let over = over(run.job);
            self.held[run.worker] -= usize::from(over);
            !over
        });
        let lost: f64 = self.open.iter().filter(|o| over(o.job)).map(|o| o.done).sum();
        self.figures.lost += lost;
        self.open.retain(|o| !over(o.job));
    }

    /// Starts tasks on free slots: jobs that can still be in time first, and of these the ones that
    /// must start first.
    fn start(&mut self) {
        let speeds: Vec<f64> = (0..self.held.len()).map(|w| self.expected_speed(w)).collect();
        let fastest = speeds.iter().copied().fold(f64::MIN, f64::max);
        let mut order: Vec<(bool, f64, usize, f64)> = Vec::new();
        for (i, open) in self.open.iter().enumerate().filter(|(_, o)| !o.waiting.is_empty()) {
            let [work, high] = self.expected(open.job);
            let job = &self.jobs[open.job];
            // A job that is expected to miss its cutoff everywhere does not start.
            if self.now + work / fastest <= job.cutoff {
                order.push((self.now + high / fastest > job.bound, job.bound - high, i, high));
            }
        }
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        for (late, _, i, high) in order {
            let job = self.open[i].job;
            let bound = if late { f64::MAX } else { self.jobs[job].bound };
            while let Some(task) = self.open[i].waiting.last().copied() {
                let Some(worker) = self.choose(&speeds, high, bound) else { break };
                self.open[i].waiting.pop();
                self.held[worker] += 1;
                self.runs.push(Run { job, task, worker, started: self.now, done: 0.0 });
            }
        }
    }

    /// The slowest free worker on which work is in time; of equal ones the emptiest. If there is
    /// none, the job waits for a faster one.
    fn choose(&self, speeds: &[f64], work: f64, bound: f64) -> Option<usize> {
        let free = (0..speeds.len()).filter(|w| self.held[*w] < SLOTS);
        let order = |a: &usize, b: &usize| {
            speeds[*a].total_cmp(&speeds[*b]).then(self.held[*a].cmp(&self.held[*b]))
        };
        free.filter(|w| self.now + work / speeds[*w] <= bound).min_by(order)
    }

    /// Lets the runs work for one tick and ends those that are done.
    fn work(&mut self, arriving: bool) {
        if arriving {
            self.figures.held += self.runs.len() as f64 * TICK_SECS;
            self.figures.slots += (self.held.len() * SLOTS) as f64 * TICK_SECS;
        }
        let end = self.now + TICK_SECS;
        for mut run in std::mem::take(&mut self.runs) {
            let work = TICK_SECS * self.true_speed(run.worker);
            run.done += work;
            self.figures.done += work;
            let open = self.open.iter_mut().find(|o| o.job == run.job);
            let open = open.expect("runs of jobs that are given up are stopped");
            open.done += work;
            if run.done < self.jobs[run.job].tasks[run.task] {
                self.runs.push(run);
                continue;
            }
            open.left -= 1;
            self.held[run.worker] -= 1;
            if open.left == 0 {
                let in_time = end <= self.jobs[run.job].bound;
                self.figures.in_time += usize::from(in_time);
                self.figures.late += usize::from(!in_time);
                self.open.retain(|o| o.job != run.job);
            }
            if self.source == Source::Learned {
                self.model.record(self.sample(&run, end - run.started, true));
            }
        }
    }

    /// Reports the progress of all runs, then fits.
    fn poll(&mut self) {
        for i in 0..self.runs.len() {
            let noise = 1.0 + REPORT_NOISE * (2.0 * self.rng.f64() - 1.0);
            let run = &self.runs[i];
            let share = run.done / self.jobs[run.job].tasks[run.task];
            let percent = (share * noise * 100.0).floor().min(99.0);
            let age = self.now + TICK_SECS - run.started;
            if age >= REPORT_AGE_SECS && percent > 0.0 {
                let sample = self.sample(run, age * 100.0 / percent, false);
                self.model.record(sample);
            }
        }
        self.model.refit(Time::from_millis((self.now * 1e3) as u64));
        self.estimates = self.model.estimates();
    }

    fn sample(&self, run: &Run, secs: f64, complete: bool) -> Sample {
        let job = &self.jobs[run.job];
        Sample {
            run: run.task as u64,
            step: StepKey(run.job as u64),
            kind: job.kind.clone(),
            instance: self.instances[run.worker].clone(),
            declared: job.declared,
            observed: Duration::from_secs_f64(secs),
            complete,
            at: Time::from_millis((self.now * 1e3) as u64),
        }
    }
}
