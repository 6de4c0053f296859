//! Runs a policy on a scenario in virtual time.

use {
    crate::decisions::{
        Action, Fate, Fault, Figures, Input, Job, JobId, Judge, LEASE, Policy, RETRY, Scenario,
        Slot, Space, Summary, floor, fragmentation,
        state::{Event, FRESH, Level, Phase, State},
    },
    bronzespool_core::{HashMap, Time},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::Duration,
    },
};

/// From the order to stop to its confirmation, the checkpoint included.
pub const STOP: Duration = Duration::from_millis(500);
/// Longest time that the rest of a gang may run on after the loss of a member.
pub const GANG_BOUND: Duration = Duration::from_secs(30);
/// Set-up time of a start that follows a stop or a failure.
pub const RESTART: Duration = Duration::from_secs(20);
/// From a start on a bad worker to its failure.
const FAILURE: Duration = Duration::from_secs(5);
/// Failures after which a job is given up.
const ATTEMPTS: u32 = 10;
/// A run ends this long after its horizon at the latest.
const DRAIN: Duration = Duration::from_secs(20 * 24 * 3_600);
/// Broken guarantees that are kept with their circumstances.
const BROKEN_KEPT: usize = 10;
/// Spacing of the samples for plots.
const SAMPLE: Duration = Duration::from_secs(600);

/// Virtual time, the cluster's true state and the figures of one run.
pub struct Driver<'a> {
    scenario: &'a Scenario,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    serial: u64,
    space: Space,
    states: Vec<State>,
    bad: Vec<bool>,
    judge: Judge,
    figures: Figures,
    /// Time integrals up to the horizon, in accelerator-seconds.
    total: Level,
    level: Level,
    floors: HashMap<u32, f64>,
    work: f64,
    /// Accelerator-seconds of the cluster up to the horizon.
    supply: f64,
    waits: Vec<(JobId, Duration)>,
    open: usize,
    wake: Time,
}

impl<'a> Driver<'a> {
    /// A run that has not begun.
    pub fn new(scenario: &'a Scenario) -> Self {
        let space = Space::new(&scenario.cluster);
        let workers = space.workers();
        let mut driver = Self {
            scenario,
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            serial: 0,
            space,
            states: vec![FRESH; scenario.jobs.len()],
            bad: vec![false; workers],
            judge: Judge::new(&scenario.cluster),
            figures: Figures::default(),
            total: Level::default(),
            level: Level::default(),
            floors: HashMap::default(),
            work: 0.0,
            supply: 0.0,
            waits: Vec::new(),
            open: scenario.jobs.len(),
            wake: Time::MAX,
        };
        driver.schedule();
        driver
    }

    fn schedule(&mut self) {
        let mut waves: BTreeMap<Time, Vec<JobId>> = BTreeMap::new();
        for job in &self.scenario.jobs {
            self.push(job.submit, Event::Submit(job.id));
            if let Fate::Cancelled(at) = job.fate {
                waves.entry(at).or_default().push(job.id);
            }
        }
        waves.into_iter().for_each(|(at, wave)| self.push(at, Event::Cancel(wave)));
        for (i, (at, _)) in self.scenario.faults.iter().enumerate() {
            self.push(*at, Event::Fault(i));
        }
        self.push(Time::ZERO, Event::Sample);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, event)));
    }

    /// Runs `policy` until every job is gone or the run's longest time is reached.
    pub fn run(mut self, policy: &mut impl Policy) -> Figures {
        let limit = self.scenario.horizon + DRAIN;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if self.open == 0 || *at > limit {
                break;
            }
            self.advance(*at);
            while let Some(Reverse((at, _, _))) = self.queue.peek() {
                if *at != self.now {
                    break;
                }
                let Some(Reverse((_, _, event))) = self.queue.pop() else { break };
                self.event(event, policy);
            }
            let actions = policy.decide(self.now);
            actions.into_iter().for_each(|a| self.act(a, policy));
            self.observe();
            self.rouse(policy);
        }
        self.finish(policy)
    }

    fn rouse(&mut self, policy: &impl Policy) {
        let Some(at) = policy.wake(self.now) else { return };
        if at > self.now && (at < self.wake || self.wake <= self.now) {
            self.wake = at;
            self.push(at, Event::Wake);
        }
    }

    /// Moves the clock and adds up what the interval saw.
    fn advance(&mut self, to: Time) {
        let end = to.min(self.scenario.horizon);
        let span = end.since(self.now).as_secs_f64();
        self.total.free += self.level.free * span;
        self.total.unusable += self.level.unusable * span;
        self.total.floor += self.level.floor * span;
        self.supply += f64::from(self.scenario.cluster.accels()) * span;
        self.now = to;
    }

    fn observe(&mut self) {
        if self.now < self.scenario.horizon {
            let Scenario { cluster, mix, .. } = self.scenario;
            let free = self.space.free();
            let least = || floor(cluster, mix, free);
            self.level = Level {
                free: f64::from(free),
                unusable: fragmentation(&self.space, cluster, mix),
                floor: *self.floors.entry(free).or_insert_with(least),
            };
        }
    }

    fn event(&mut self, event: Event, policy: &mut impl Policy) {
        match event {
            Event::Submit(job) => self.submit(job, policy),
            Event::Cancel(wave) => self.cancel(&wave, policy),
            Event::Fault(i) => self.fault(i, policy),
            Event::End { job, run } if self.current(job, run) => self.end(job, policy),
            Event::Stopped { job, run } if self.current(job, run) => self.stopped(job, policy),
            Event::GangBound { job, run } if self.current(job, run) => {
                self.figures.gang_violations += 1;
                self.stopped(job, policy);
            }
            Event::Sample => self.sample(),
            _ => {}
        }
    }

    fn current(&self, job: JobId, run: u32) -> bool {
        let state = &self.states[job];
        state.run == run && matches!(state.phase, Phase::Running | Phase::Stopping)
    }

    fn sample(&mut self) {
        let Level { free, unusable, .. } = self.level;
        let total = f64::from(self.scenario.cluster.accels());
        let share = if free > 0.0 { unusable / free } else { 0.0 };
        let hour = self.now.as_micros() as f64 / 3.6e9;
        self.figures.samples.push((hour, share, 1.0 - free / total));
        if self.now < self.scenario.horizon {
            self.push(self.now + SAMPLE, Event::Sample);
        }
    }

    fn job(&self, job: JobId) -> &'a Job {
        &self.scenario.jobs[job]
    }

    fn submit(&mut self, job: JobId, policy: &mut impl Policy) {
        self.states[job].phase = Phase::Waiting;
        if self.job(job).fate != Fate::Infeasible {
            self.judge.submitted(self.now, self.job(job));
        }
        policy.input(self.now, Input::Submitted(self.job(job)));
    }

    fn cancel(&mut self, wave: &[JobId], policy: &mut impl Policy) {
        let wave: Vec<_> =
            wave.iter().copied().filter(|&j| self.states[j].phase != Phase::Gone).collect();
        wave.iter().for_each(|&j| self.gone(j));
        policy.input(self.now, Input::Cancelled(&wave));
    }

    fn fault(&mut self, i: usize, policy: &mut impl Policy) {
        let scenario = self.scenario;
        match &scenario.faults[i].1 {
            Fault::Bad(workers) => workers.iter().for_each(|&w| self.bad[w] = true),
            Fault::Well(workers) => workers.iter().for_each(|&w| self.bad[w] = false),
            Fault::Down(workers) => {
                self.lose(workers);
                policy.input(self.now, Input::Down(workers));
            }
            Fault::Up(workers) => {
                workers.iter().for_each(|&w| self.space.set_up(w, true));
                policy.input(self.now, Input::Up(workers));
            }
        }
    }

    fn lose(&mut self, workers: &[usize]) {
        workers.iter().for_each(|&w| self.space.set_up(w, false));
        for job in 0..self.states.len() {
            let hit = self.states[job].slots.iter().any(|s| workers.contains(&s.worker));
            if !hit || self.states[job].partial {
                continue;
            }
            self.keep(job, false);
            self.states[job].partial = true;
            self.states[job].hit = self.now;
            let run = self.states[job].run;
            self.push(self.now + GANG_BOUND, Event::GangBound { job, run });
        }
    }

    /// Work done in the current run, without its set-up.
    fn done(&self, job: JobId) -> Duration {
        let state = &self.states[job];
        self.now.since(state.began).saturating_sub(state.setup)
    }

    /// Settles the work of a run that is cut: with an ordered stop all of it is kept if the kind
    /// makes checkpoints, else what the last checkpoint holds.
    fn keep(&mut self, job: JobId, ordered: bool) {
        let done = self.done(job);
        let spent = self.now.since(self.states[job].began);
        let kept = match self.job(job).plan.checkpoint {
            None => Duration::ZERO,
            Some(_) if ordered => done,
            Some(period) => period * (done.as_secs() / period.as_secs()) as u32,
        };
        let accels = f64::from(self.job(job).accels());
        let lost = accels * (spent - kept).as_secs_f64();
        if ordered {
            self.figures.lost += lost;
        } else {
            self.figures.failed += lost;
        }
        let base = self.states[job].kept;
        let discard = if self.job(job).plan.checkpoint.is_none() { base } else { Duration::ZERO };
        self.states[job].kept = base + kept - discard;
        self.credit(job, kept);
    }

    /// Counts kept work that was done before the horizon.
    fn credit(&mut self, job: JobId, kept: Duration) {
        let late = self.now.since(self.scenario.horizon);
        let counted = kept.saturating_sub(late).as_secs_f64();
        self.work += counted * f64::from(self.job(job).accels());
    }

    /// Gives the job's slots back.
    fn free(&mut self, job: JobId) {
        let slots = std::mem::take(&mut self.states[job].slots);
        self.space.give(&slots, &self.job(job).plan);
    }

    fn gone(&mut self, job: JobId) {
        self.free(job);
        self.states[job].phase = Phase::Gone;
        self.judge.ended(self.now, job);
        self.open -= 1;
    }

    fn end(&mut self, job: JobId, policy: &mut impl Policy) {
        let bad = self.states[job].slots.iter().find(|s| self.bad[s.worker]).copied();
        if self.states[job].partial || self.states[job].phase == Phase::Stopping {
            return;
        }
        if self.job(job).fate == Fate::Poison || bad.is_some() && self.done(job) <= FAILURE {
            let worker = bad.unwrap_or(self.states[job].slots[0]).worker;
            return self.fail(job, worker, policy);
        }
        let done = self.done(job);
        self.credit(job, done);
        if self.job(job).counts() {
            self.figures.times.push(self.now.since(self.job(job).submit));
            self.waits.push((job, self.now.since(self.job(job).submit)));
        }
        self.gone(job);
        policy.input(self.now, Input::Completed(job));
    }

    fn fail(&mut self, job: JobId, worker: usize, policy: &mut impl Policy) {
        self.keep(job, false);
        self.free(job);
        self.states[job].phase = Phase::Waiting;
        self.states[job].failures += 1;
        self.judge.stopped(self.now, job, self.now + RETRY);
        policy.input(self.now, Input::Failed { job, worker });
        if self.states[job].failures >= ATTEMPTS || self.job(job).plan.protected {
            self.drop_job(job, policy);
        }
    }

    fn drop_job(&mut self, job: JobId, policy: &mut impl Policy) {
        self.figures.dropped += 1;
        self.gone(job);
        policy.input(self.now, Input::Dropped(job));
    }

    fn stopped(&mut self, job: JobId, policy: &mut impl Policy) {
        let partial = std::mem::take(&mut self.states[job].partial);
        if !partial {
            self.keep(job, true);
        }
        self.free(job);
        self.states[job].phase = Phase::Waiting;
        let after = if partial { self.states[job].hit + LEASE + RETRY } else { self.now };
        self.judge.stopped(self.now, job, after);
        policy.input(self.now, Input::Stopped(job));
        if partial && self.job(job).plan.protected {
            self.drop_job(job, policy);
        }
    }

    fn act(&mut self, action: Action, policy: &mut impl Policy) {
        match action {
            Action::Grant { job, slots } => self.grant(job, slots),
            Action::Stop(job) => self.stop(job),
            Action::Refuse(job) => self.refuse(job, policy),
        }
    }

    fn grant(&mut self, job: JobId, slots: Vec<Slot>) {
        let plan = &self.job(job).plan;
        if !self.space.is_gang(&slots, plan) {
            self.figures.gang_violations += 1;
            return;
        }
        if self.states[job].phase != Phase::Waiting || !self.space.take(&slots, plan) {
            self.figures.invalid += 1;
            return;
        }
        self.judge.started(self.now, job);
        self.start(job, slots);
    }

    fn start(&mut self, job: JobId, slots: Vec<Slot>) {
        let spoilt = self.job(job).fate == Fate::Poison;
        let bad = spoilt || slots.iter().any(|s| self.bad[s.worker]);
        let left = self.job(job).actual.saturating_sub(self.states[job].kept);
        let state = &mut self.states[job];
        if !state.started {
            state.started = true;
            let wait = self.now.since(self.scenario.jobs[job].submit).as_secs_f64();
            if self.scenario.jobs[job].plan.gang > 1 {
                self.figures.gang_wait = self.figures.gang_wait.max(wait);
            }
        }
        let state = &mut self.states[job];
        state.setup = if state.run > 0 { RESTART } else { Duration::ZERO };
        state.phase = Phase::Running;
        state.slots = slots;
        state.began = self.now;
        state.run += 1;
        let run = state.run;
        let span = if bad { FAILURE } else { state.setup + left };
        self.push(self.now + span, Event::End { job, run });
    }

    fn stop(&mut self, job: JobId) {
        let state = &mut self.states[job];
        let protected = self.scenario.jobs[job].plan.protected && !state.partial;
        if state.phase != Phase::Running || protected {
            self.figures.invalid += 1;
            return;
        }
        state.phase = Phase::Stopping;
        let run = state.run;
        if !state.partial {
            self.figures.preemptions += 1;
        }
        self.push(self.now + STOP, Event::Stopped { job, run });
    }

    fn refuse(&mut self, job: JobId, policy: &mut impl Policy) {
        if self.states[job].phase != Phase::Waiting {
            self.figures.invalid += 1;
            return;
        }
        self.figures.refused.0 += 1;
        self.figures.refused.1 += usize::from(self.job(job).counts());
        self.gone(job);
        policy.input(self.now, Input::Dropped(job));
    }

    fn finish(mut self, policy: &impl Policy) -> Figures {
        self.judge.finish(self.now);
        let unfinished = self.unfinished();
        let grouped = self.grouped();
        let mut figures = self.figures;
        figures.unfinished = unfinished;
        figures.invalid += policy.faults();
        figures.scale = self.scenario.scale.name().to_owned();
        figures.stream = self.scenario.stream.name().to_owned();
        figures.policy = policy.name().to_owned();
        figures.jobs = self.scenario.jobs.len();
        figures.completion = Summary::of(&figures.times);
        (figures.teams, figures.gangs) = grouped;
        let free = self.total.free.max(1.0);
        figures.fragmentation = self.total.unusable / free;
        figures.floor = self.total.floor / free;
        let horizon = self.scenario.horizon.as_micros() as f64 / 1e6;
        figures.unusable = self.total.unusable / horizon;
        figures.utilisation = self.work / self.supply;
        figures.due = Summary::of(&self.judge.waits);
        let delayed: Vec<_> = self.judge.waits.iter().copied().filter(|w| !w.is_zero()).collect();
        figures.reclaim = Summary::of(&delayed);
        figures.broken = self.judge.broken.len() as u64;
        figures.broken_retried = self.judge.broken.iter().filter(|b| b.retried).count();
        self.judge.broken.truncate(BROKEN_KEPT);
        figures.broken_first = self.judge.broken;
        figures.end = self.now.as_micros() as f64 / 1e6;
        figures
    }

    /// Counts the jobs that should have completed and takes their age as their completion time.
    fn unfinished(&mut self) -> usize {
        let before = self.waits.len();
        for job in 0..self.states.len() {
            if self.states[job].phase != Phase::Gone && self.job(job).counts() {
                let age = self.now.since(self.job(job).submit);
                self.figures.times.push(age);
                self.waits.push((job, age));
            }
        }
        self.waits.len() - before
    }

    /// Completion times by team and by accelerators of the gang.
    fn grouped(&self) -> (BTreeMap<String, Summary>, BTreeMap<String, Summary>) {
        let mut teams: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        let mut gangs: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        let guaranteed = self.scenario.cluster.guaranteed();
        let few = guaranteed.len() <= 8;
        for &(job, time) in &self.waits {
            let team = self.job(job).team;
            let name = match few {
                true => format!("team-{team}"),
                false => format!("guarantee-{:02}", guaranteed[team]),
            };
            teams.entry(name).or_default().push(time);
            gangs.entry(format!("{:02}", self.job(job).accels())).or_default().push(time);
        }
        let sum = |m: BTreeMap<String, Vec<Duration>>| {
            m.into_iter().map(|(k, v)| (k, Summary::of(&v))).collect()
        };
        (sum(teams), sum(gangs))
    }
}
