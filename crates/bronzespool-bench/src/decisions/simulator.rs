//! Discrete-event simulation of a policy on a scenario, in virtual time.

use {
    crate::decisions::{
        Action, Fault, Figures, FreeCapacity, GANG_LEASE, GuaranteeMonitor, Job, JobId,
        PlannedOutcome, Policy, PolicyEvent, RETRY_DELAY, Scenario, Slot, Summary, fragmentation,
        fragmentation_floor,
        job_state::{CapacityUse, Event, INITIAL_STATE, JobPhase, JobState},
    },
    bronzespool_core::{HashMap, Time},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::Duration,
    },
};

/// Time from a stop order to its confirmation, including the checkpoint.
pub const STOP_TIME: Duration = Duration::from_millis(500);
/// Longest time for which the remaining members of a gang may run after one member was lost.
pub const GANG_STOP_MAX: Duration = Duration::from_secs(30);
/// Set-up time of a start that follows a stop or a failure of the same job.
pub const RESTART_SETUP: Duration = Duration::from_secs(20);
/// Time from a start that is bound to fail to the failure.
const FAILURE_DELAY: Duration = Duration::from_secs(5);
/// Failures after which a job is dropped.
const FAILURES_MAX: u32 = 10;
/// Longest simulated time after the horizon; jobs that are left then count as unfinished.
const DRAIN_MAX: Duration = Duration::from_secs(20 * 24 * 3_600);
/// Broken guarantees that are reported in detail.
const BROKEN_DETAILS_MAX: usize = 10;
/// Interval between two samples for plots.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(600);

/// One simulation run: virtual clock, event queue, true state of the cluster and figures.
///
/// The policy sees only the events that the simulator passes to it.
pub struct Simulator<'a> {
    scenario: &'a Scenario,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    /// Number of the event queued last; events of the same time are handled in the order of their
    /// numbers.
    serial: u64,
    capacity: FreeCapacity,
    states: Vec<JobState>,
    /// Whether each worker fails the jobs that it starts.
    failing: Vec<bool>,
    monitor: GuaranteeMonitor,
    figures: Figures,
    /// Integral of `current` over the time up to the horizon, in accelerator-seconds.
    integral: CapacityUse,
    current: CapacityUse,
    /// Fragmentation floor by number of free accelerators.
    floor_cache: HashMap<u32, f64>,
    /// Accelerator-seconds of work up to the horizon that was kept.
    kept_work: f64,
    /// Accelerator-seconds that the cluster offers up to the horizon.
    supplied: f64,
    completions: Vec<(JobId, Duration)>,
    open_jobs: usize,
    next_wake: Time,
}

impl<'a> Simulator<'a> {
    /// Prepares a run: queues all submissions, cancellations and faults of the scenario.
    pub fn new(scenario: &'a Scenario) -> Self {
        let capacity = FreeCapacity::new(&scenario.cluster);
        let workers = capacity.workers();
        let mut simulator = Self {
            scenario,
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            serial: 0,
            capacity,
            states: vec![INITIAL_STATE; scenario.jobs.len()],
            failing: vec![false; workers],
            monitor: GuaranteeMonitor::new(&scenario.cluster),
            figures: Figures::default(),
            integral: CapacityUse::default(),
            current: CapacityUse::default(),
            floor_cache: HashMap::default(),
            kept_work: 0.0,
            supplied: 0.0,
            completions: Vec::new(),
            open_jobs: scenario.jobs.len(),
            next_wake: Time::MAX,
        };
        simulator.queue_scenario();
        simulator
    }

    fn queue_scenario(&mut self) {
        let mut waves: BTreeMap<Time, Vec<JobId>> = BTreeMap::new();
        for job in &self.scenario.jobs {
            self.push(job.submit, Event::Submit(job.id));
            if let PlannedOutcome::Cancelled(at) = job.outcome {
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

    /// Runs `policy` until every job is gone or the longest run time is reached.
    pub fn run(mut self, policy: &mut impl Policy) -> Figures {
        let limit = self.scenario.horizon + DRAIN_MAX;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if self.open_jobs == 0 || *at > limit {
                break;
            }
            self.advance(*at);
            while let Some(Reverse((at, _, _))) = self.queue.peek() {
                if *at != self.now {
                    break;
                }
                let Some(Reverse((_, _, event))) = self.queue.pop() else { break };
                self.handle(event, policy);
            }
            let actions = policy.decide(self.now);
            actions.into_iter().for_each(|a| self.apply(a, policy));
            self.observe();
            self.schedule_wake(policy);
        }
        self.finish(policy)
    }

    fn schedule_wake(&mut self, policy: &impl Policy) {
        let Some(at) = policy.next_wake(self.now) else { return };
        if at > self.now && (at < self.next_wake || self.next_wake <= self.now) {
            self.next_wake = at;
            self.push(at, Event::Wake);
        }
    }

    /// Moves the clock to `to` and integrates the capacity figures over the interval, as far as it
    /// lies before the horizon.
    fn advance(&mut self, to: Time) {
        let end = to.min(self.scenario.horizon);
        let span = end.since(self.now).as_secs_f64();
        self.integral.free += self.current.free * span;
        self.integral.unusable += self.current.unusable * span;
        self.integral.floor += self.current.floor * span;
        self.supplied += f64::from(self.scenario.cluster.accels()) * span;
        self.now = to;
    }

    fn observe(&mut self) {
        if self.now < self.scenario.horizon {
            let Scenario { cluster, mix, .. } = self.scenario;
            let free = self.capacity.free();
            let compute = || fragmentation_floor(cluster, mix, free);
            self.current = CapacityUse {
                free: f64::from(free),
                unusable: fragmentation(&self.capacity, cluster, mix),
                floor: *self.floor_cache.entry(free).or_insert_with(compute),
            };
        }
    }

    fn handle(&mut self, event: Event, policy: &mut impl Policy) {
        match event {
            Event::Submit(job) => self.submit(job, policy),
            Event::Cancel(wave) => self.cancel(&wave, policy),
            Event::Fault(i) => self.fault(i, policy),
            Event::End { job, run } if self.is_current(job, run) => self.end(job, policy),
            Event::Stopped { job, run } if self.is_current(job, run) => self.stopped(job, policy),
            Event::GangDeadline { job, run } if self.is_current(job, run) => {
                self.figures.gang_violations += 1;
                self.stopped(job, policy);
            }
            Event::Sample => self.sample(),
            _ => {}
        }
    }

    fn is_current(&self, job: JobId, run: u32) -> bool {
        let state = &self.states[job];
        state.run == run && matches!(state.phase, JobPhase::Running | JobPhase::Stopping)
    }

    fn sample(&mut self) {
        let CapacityUse { free, unusable, .. } = self.current;
        let total = f64::from(self.scenario.cluster.accels());
        let share = if free > 0.0 { unusable / free } else { 0.0 };
        let hour = self.now.as_micros() as f64 / 3.6e9;
        self.figures.samples.push((hour, share, 1.0 - free / total));
        if self.now < self.scenario.horizon {
            self.push(self.now + SAMPLE_INTERVAL, Event::Sample);
        }
    }

    fn job(&self, job: JobId) -> &'a Job {
        &self.scenario.jobs[job]
    }

    fn submit(&mut self, job: JobId, policy: &mut impl Policy) {
        self.states[job].phase = JobPhase::Waiting;
        if self.job(job).outcome != PlannedOutcome::Infeasible {
            self.monitor.submitted(self.now, self.job(job));
        }
        policy.on_event(self.now, PolicyEvent::Submitted(self.job(job)));
    }

    fn cancel(&mut self, wave: &[JobId], policy: &mut impl Policy) {
        let wave: Vec<_> =
            wave.iter().copied().filter(|&j| self.states[j].phase != JobPhase::Removed).collect();
        wave.iter().for_each(|&j| self.remove(j));
        policy.on_event(self.now, PolicyEvent::Cancelled(&wave));
    }

    fn fault(&mut self, i: usize, policy: &mut impl Policy) {
        let scenario = self.scenario;
        match &scenario.faults[i].1 {
            Fault::Failing(workers) => workers.iter().for_each(|&w| self.failing[w] = true),
            Fault::Recovered(workers) => workers.iter().for_each(|&w| self.failing[w] = false),
            Fault::Down(workers) => {
                self.lose_workers(workers);
                policy.on_event(self.now, PolicyEvent::Down(workers));
            }
            Fault::Up(workers) => {
                workers.iter().for_each(|&w| self.capacity.set_up(w, true));
                policy.on_event(self.now, PolicyEvent::Up(workers));
            }
        }
    }

    fn lose_workers(&mut self, workers: &[usize]) {
        workers.iter().for_each(|&w| self.capacity.set_up(w, false));
        for job in 0..self.states.len() {
            let affected = self.states[job].slots.iter().any(|s| workers.contains(&s.worker));
            if !affected || self.states[job].member_lost {
                continue;
            }
            self.settle_run(job, false);
            self.states[job].member_lost = true;
            self.states[job].lost_at = self.now;
            let run = self.states[job].run;
            self.push(self.now + GANG_STOP_MAX, Event::GangDeadline { job, run });
        }
    }

    /// Work done in the current run, without its set-up time.
    fn work_done(&self, job: JobId) -> Duration {
        let state = &self.states[job];
        self.now.since(state.started_at).saturating_sub(state.setup)
    }

    /// Counts the kept and the lost work of an interrupted run. If the kind makes checkpoints, an
    /// ordered stop keeps all work and a failure keeps the work up to the last checkpoint;
    /// otherwise nothing is kept.
    fn settle_run(&mut self, job: JobId, ordered: bool) {
        let done = self.work_done(job);
        let spent = self.now.since(self.states[job].started_at);
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
        let earlier = self.states[job].kept;
        let discarded =
            if self.job(job).plan.checkpoint.is_none() { earlier } else { Duration::ZERO };
        self.states[job].kept = earlier + kept - discarded;
        self.count_work(job, kept);
    }

    /// Counts kept work as far as it was done before the horizon.
    fn count_work(&mut self, job: JobId, kept: Duration) {
        let late = self.now.since(self.scenario.horizon);
        let counted = kept.saturating_sub(late).as_secs_f64();
        self.kept_work += counted * f64::from(self.job(job).accels());
    }

    /// Releases the job's slots.
    fn free_slots(&mut self, job: JobId) {
        let slots = std::mem::take(&mut self.states[job].slots);
        self.capacity.release(&slots, &self.job(job).plan);
    }

    fn remove(&mut self, job: JobId) {
        self.free_slots(job);
        self.states[job].phase = JobPhase::Removed;
        self.monitor.ended(self.now, job);
        self.open_jobs -= 1;
    }

    fn end(&mut self, job: JobId, policy: &mut impl Policy) {
        let failing_slot = self.states[job].slots.iter().find(|s| self.failing[s.worker]).copied();
        if self.states[job].member_lost || self.states[job].phase == JobPhase::Stopping {
            return;
        }
        if self.job(job).outcome == PlannedOutcome::AlwaysFails
            || failing_slot.is_some() && self.work_done(job) <= FAILURE_DELAY
        {
            let worker = failing_slot.unwrap_or(self.states[job].slots[0]).worker;
            return self.fail(job, worker, policy);
        }
        let done = self.work_done(job);
        self.count_work(job, done);
        if self.job(job).is_counted() {
            self.figures.times.push(self.now.since(self.job(job).submit));
            self.completions.push((job, self.now.since(self.job(job).submit)));
        }
        self.remove(job);
        policy.on_event(self.now, PolicyEvent::Completed(job));
    }

    fn fail(&mut self, job: JobId, worker: usize, policy: &mut impl Policy) {
        self.settle_run(job, false);
        self.free_slots(job);
        self.states[job].phase = JobPhase::Waiting;
        self.states[job].failures += 1;
        self.monitor.stopped(self.now, job, self.now + RETRY_DELAY);
        policy.on_event(self.now, PolicyEvent::Failed { job, worker });
        if self.states[job].failures >= FAILURES_MAX || self.job(job).plan.protected {
            self.drop_job(job, policy);
        }
    }

    fn drop_job(&mut self, job: JobId, policy: &mut impl Policy) {
        self.figures.dropped += 1;
        self.remove(job);
        policy.on_event(self.now, PolicyEvent::Dropped(job));
    }

    fn stopped(&mut self, job: JobId, policy: &mut impl Policy) {
        let member_lost = std::mem::take(&mut self.states[job].member_lost);
        if !member_lost {
            self.settle_run(job, true);
        }
        self.free_slots(job);
        self.states[job].phase = JobPhase::Waiting;
        let due_after = if member_lost {
            self.states[job].lost_at + GANG_LEASE + RETRY_DELAY
        } else {
            self.now
        };
        self.monitor.stopped(self.now, job, due_after);
        policy.on_event(self.now, PolicyEvent::Stopped(job));
        if member_lost && self.job(job).plan.protected {
            self.drop_job(job, policy);
        }
    }

    fn apply(&mut self, action: Action, policy: &mut impl Policy) {
        match action {
            Action::Grant { job, slots } => self.grant(job, slots),
            Action::Stop(job) => self.stop(job),
            Action::Refuse(job) => self.refuse(job, policy),
        }
    }

    fn grant(&mut self, job: JobId, slots: Vec<Slot>) {
        let plan = &self.job(job).plan;
        if !self.capacity.is_gang(&slots, plan) {
            self.figures.gang_violations += 1;
            return;
        }
        if self.states[job].phase != JobPhase::Waiting || !self.capacity.take(&slots, plan) {
            self.figures.invalid += 1;
            return;
        }
        self.monitor.started(self.now, job);
        self.start(job, slots);
    }

    fn start(&mut self, job: JobId, slots: Vec<Slot>) {
        let always_fails = self.job(job).outcome == PlannedOutcome::AlwaysFails;
        let fails = always_fails || slots.iter().any(|s| self.failing[s.worker]);
        let left = self.job(job).actual.saturating_sub(self.states[job].kept);
        let state = &mut self.states[job];
        if !state.has_started {
            state.has_started = true;
            let wait = self.now.since(self.scenario.jobs[job].submit).as_secs_f64();
            if self.scenario.jobs[job].plan.gang > 1 {
                self.figures.gang_wait = self.figures.gang_wait.max(wait);
            }
        }
        let state = &mut self.states[job];
        state.setup = if state.run > 0 { RESTART_SETUP } else { Duration::ZERO };
        state.phase = JobPhase::Running;
        state.slots = slots;
        state.started_at = self.now;
        state.run += 1;
        let run = state.run;
        let span = if fails { FAILURE_DELAY } else { state.setup + left };
        self.push(self.now + span, Event::End { job, run });
    }

    fn stop(&mut self, job: JobId) {
        let state = &mut self.states[job];
        let protected = self.scenario.jobs[job].plan.protected && !state.member_lost;
        if state.phase != JobPhase::Running || protected {
            self.figures.invalid += 1;
            return;
        }
        state.phase = JobPhase::Stopping;
        let run = state.run;
        if !state.member_lost {
            self.figures.preemptions += 1;
        }
        self.push(self.now + STOP_TIME, Event::Stopped { job, run });
    }

    fn refuse(&mut self, job: JobId, policy: &mut impl Policy) {
        if self.states[job].phase != JobPhase::Waiting {
            self.figures.invalid += 1;
            return;
        }
        self.figures.refused.0 += 1;
        self.figures.refused.1 += usize::from(self.job(job).is_counted());
        self.remove(job);
        policy.on_event(self.now, PolicyEvent::Dropped(job));
    }

    fn finish(mut self, policy: &impl Policy) -> Figures {
        self.monitor.finish(self.now);
        let unfinished = self.unfinished();
        let completion_groups = self.completion_groups();
        let mut figures = self.figures;
        figures.unfinished = unfinished;
        figures.invalid += policy.internal_errors();
        figures.scale = self.scenario.scale.name().to_owned();
        figures.stream = self.scenario.stream.name().to_owned();
        figures.policy = policy.name().to_owned();
        figures.jobs = self.scenario.jobs.len();
        figures.completion = Summary::of(&figures.times);
        (figures.teams, figures.gangs) = completion_groups;
        let free = self.integral.free.max(1.0);
        figures.fragmentation = self.integral.unusable / free;
        figures.floor = self.integral.floor / free;
        let horizon = self.scenario.horizon.as_micros() as f64 / 1e6;
        figures.unusable = self.integral.unusable / horizon;
        figures.utilisation = self.kept_work / self.supplied;
        figures.due = Summary::of(&self.monitor.waits);
        let delayed: Vec<_> = self.monitor.waits.iter().copied().filter(|w| !w.is_zero()).collect();
        figures.reclaim = Summary::of(&delayed);
        figures.broken = self.monitor.broken.len() as u64;
        figures.broken_retried = self.monitor.broken.iter().filter(|b| b.retried).count();
        self.monitor.broken.truncate(BROKEN_DETAILS_MAX);
        figures.broken_first = self.monitor.broken;
        figures.end = self.now.as_micros() as f64 / 1e6;
        figures
    }

    /// Counts the jobs that should have completed and did not; their age at the end of the run is
    /// taken as their completion time.
    fn unfinished(&mut self) -> usize {
        let before = self.completions.len();
        for job in 0..self.states.len() {
            if self.states[job].phase != JobPhase::Removed && self.job(job).is_counted() {
                let age = self.now.since(self.job(job).submit);
                self.figures.times.push(age);
                self.completions.push((job, age));
            }
        }
        self.completions.len() - before
    }

    /// Completion times by team and by the gang's number of accelerators. With more than 8 teams,
    /// teams are grouped by the size of their guarantee.
    fn completion_groups(&self) -> (BTreeMap<String, Summary>, BTreeMap<String, Summary>) {
        let mut teams: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        let mut gangs: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        let guaranteed = self.scenario.cluster.guaranteed();
        let small = guaranteed.len() <= 8;
        for &(job, time) in &self.completions {
            let team = self.job(job).team;
            let name = match small {
                true => format!("team-{team}"),
                false => format!("guarantee-{:02}", guaranteed[team]),
            };
            teams.entry(name).or_default().push(time);
            gangs.entry(format!("{:02}", self.job(job).accels())).or_default().push(time);
        }
        let summarise = |m: BTreeMap<String, Vec<Duration>>| {
            m.into_iter().map(|(k, v)| (k, Summary::of(&v))).collect()
        };
        (summarise(teams), summarise(gangs))
    }
}
