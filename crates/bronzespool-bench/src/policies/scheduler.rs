//! Adapter that runs the project's scheduler as a policy.

use {
    crate::decisions::{Action, Cluster, Job, JobId, KindPlan, Policy, PolicyEvent, Slot},
    bronzespool_core::{
        Capacity, HashMap, Instance, Job as Name, Kind, Need, Place, Rack, Region, Service, Team,
        Time,
    },
    bronzespool_schedule::{
        Cell, Event, JobSpec, MemberOutcome, Planner, Record, SchedulerState, admit,
    },
};

/// Largest number of planner passes in one decision; more would be a loop without progress.
const PASSES_MAX: usize = 100_000;

/// Scheduler state and planner, with the simulator's indexes translated to names.
///
/// Every member is reported as prepared at once, so a gang starts in the decision that grants it.
pub struct Scheduler {
    state: SchedulerState,
    planner: Planner,
    cluster: Cluster,
    /// Slots of the jobs that run according to the simulator.
    running: HashMap<JobId, Vec<Slot>>,
    attempts: HashMap<JobId, u32>,
    down: Vec<bool>,
    incarnation: u64,
    actions: Vec<Action>,
    internal_errors: u64,
    record_count: u64,
}

fn parse_name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}

fn instance(worker: usize) -> Instance {
    parse_name(&format!("w-{worker}"))
}

fn job_name(job: JobId) -> Name {
    parse_name(&format!("j-{job}"))
}

fn trailing_number(text: &str) -> usize {
    text.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a name ends in its number")
}

/// Job specification with the values that the kind declares.
pub(super) fn job_spec(job: &Job) -> JobSpec {
    let plan: &KindPlan = &job.plan;
    let need = Need { slots: 0, cores: plan.cores, memory: plan.memory, accels: plan.accels };
    let team: Team = parse_name(&format!("team-{}", job.team));
    let service: Service = parse_name("bench");
    let kind: Kind = parse_name(plan.name);
    JobSpec::new(job_name(job.id), team, service, kind)
        .members(plan.gang)
        .need(need)
        .adjacent(plan.adjacent)
        .declared_runtime(plan.declared)
        .checkpoint_interval(plan.checkpoint)
        .restartable(!plan.protected)
        .protected(plan.protected)
}

impl Scheduler {
    /// Scheduler with all workers of `cluster` up and all guarantees set, without jobs.
    pub fn new(cluster: &Cluster) -> Self {
        let mut this = Self {
            state: SchedulerState::default(),
            planner: Planner::default(),
            cluster: cluster.clone(),
            running: HashMap::default(),
            attempts: HashMap::default(),
            down: vec![false; cluster.workers.len()],
            incarnation: 0,
            actions: Vec::new(),
            internal_errors: 0,
            record_count: 0,
        };
        (0..cluster.workers.len()).for_each(|w| this.worker_up(Time::ZERO, w));
        let teams = cluster.teams.iter().enumerate();
        let shapes = teams.map(|(i, t)| (parse_name(&format!("team-{i}")), t.guarantees.clone()));
        let guarantees = Event::Guarantees(shapes.collect());
        this.apply(Time::ZERO, guarantees);
        this
    }

    /// The scheduler's state.
    pub const fn state(&self) -> &SchedulerState {
        &self.state
    }

    /// Number of records applied so far.
    pub const fn record_count(&self) -> u64 {
        self.record_count
    }

    fn apply(&mut self, now: Time, event: Event) {
        self.record_count += 1;
        if let Err(error) = self.state.apply(&Record::new(now, event)) {
            self.internal_errors += 1;
            if self.internal_errors <= 5 {
                eprintln!("the scheduler state rejected a record at {now}: {error}");
            }
        }
    }

    fn worker_up(&mut self, now: Time, worker: usize) {
        let plan = self.cluster.workers[worker];
        let region: Region = parse_name(&format!("region-{}", plan.region));
        let rack: Rack = parse_name(&format!("rack-{}", plan.rack));
        let center = parse_name(&format!("center-{}", plan.center));
        let place = Place { region, center, rack, instance: instance(worker) };
        let capacity = Capacity {
            slots: 8,
            connections: 64,
            cores: plan.cores / 1_000,
            memory: plan.memory,
            accels: plan.accels,
        };
        self.incarnation += 1;
        self.down[worker] = false;
        self.apply(now, Event::WorkerUp { place, capacity, incarnation: self.incarnation });
    }

    fn submit(&mut self, now: Time, job: &Job) {
        let spec = job_spec(job);
        if admit(&self.state, &spec).is_err() {
            self.actions.push(Action::Refuse(job.id));
            return;
        }
        self.apply(now, Event::Submitted(spec));
    }

    /// Reports the members of a run as stopped. Nothing is reported for members on lost workers.
    fn report_stopped(&mut self, now: Time, job: JobId, outcome: impl Fn(&Slot) -> MemberOutcome) {
        let Some(slots) = self.running.remove(&job) else { return };
        let attempt = self.attempts[&job];
        for (member, slot) in slots.iter().enumerate() {
            if self.down[slot.worker] {
                continue;
            }
            let (job, member) = (job_name(job), member as u32);
            let outcome = outcome(slot);
            self.apply(now, Event::Stopped { job, attempt, member, outcome });
        }
    }

    /// Reports a checkpoint of a run whose workers are all up, if its kind makes checkpoints.
    fn checkpoint(&mut self, now: Time, job: JobId) {
        let all_up = |slots: &Vec<Slot>| slots.iter().all(|s| !self.down[s.worker]);
        let job_state = self.state.job(&job_name(job));
        let has_checkpoints = job_state.is_some_and(|s| s.spec.checkpoint_interval.is_some());
        if has_checkpoints && self.running.get(&job).is_some_and(all_up) {
            let attempt = self.attempts[&job];
            self.apply(now, Event::Checkpointed { job: job_name(job), attempt });
        }
    }

    /// Turns a record of the planner into actions for the simulator.
    fn apply_decision(&mut self, now: Time, event: &Event) {
        match event {
            Event::Granted { job, attempt, cells, .. } => {
                let id = trailing_number(job.as_str());
                let slot = |c: &Cell| Slot {
                    worker: trailing_number(c.instance.as_str()),
                    mask: c.mask(),
                };
                let slots: Vec<Slot> = cells.iter().map(slot).collect();
                self.actions.push(Action::Grant { job: id, slots: slots.clone() });
                self.running.insert(id, slots);
                self.attempts.insert(id, *attempt);
                for member in 0..cells.len() as u32 {
                    let (job, attempt) = (job.clone(), *attempt);
                    self.apply(now, Event::Prepared { job, attempt, member });
                }
            }
            Event::Stopping { job, .. } => {
                let id = trailing_number(job.as_str());
                if self.running.contains_key(&id) {
                    self.actions.push(Action::Stop(id));
                }
            }
            Event::Refused { job, .. } => {
                self.actions.push(Action::Refuse(trailing_number(job.as_str())));
            }
            _ => {}
        }
    }
}

impl Policy for Scheduler {
    fn name(&self) -> &'static str {
        "bronzespool"
    }

    fn on_event(&mut self, now: Time, event: PolicyEvent<'_>) {
        match event {
            PolicyEvent::Submitted(job) => self.submit(now, job),
            PolicyEvent::Completed(job) => self.report_stopped(now, job, |_| MemberOutcome::Done),
            PolicyEvent::Failed { job, worker } => self.report_stopped(now, job, |slot| {
                if slot.worker == worker { MemberOutcome::Failed } else { MemberOutcome::Stopped }
            }),
            PolicyEvent::Stopped(job) => {
                self.checkpoint(now, job);
                self.report_stopped(now, job, |_| MemberOutcome::Stopped);
            }
            PolicyEvent::Cancelled(wave) => {
                let jobs = wave.iter().map(|&j| job_name(j)).collect();
                self.apply(now, Event::Cancelled { jobs });
                wave.iter().for_each(|&j| self.report_stopped(now, j, |_| MemberOutcome::Stopped));
            }
            PolicyEvent::Dropped(job) => {
                self.apply(now, Event::Cancelled { jobs: vec![job_name(job)] });
                self.report_stopped(now, job, |_| MemberOutcome::Stopped);
            }
            PolicyEvent::Down(workers) => {
                for &worker in workers {
                    self.down[worker] = true;
                    self.apply(now, Event::WorkerDown { instance: instance(worker) });
                }
            }
            PolicyEvent::Up(workers) => workers.iter().for_each(|&w| self.worker_up(now, w)),
        }
    }

    fn decide(&mut self, now: Time) -> Vec<Action> {
        for _ in 0..PASSES_MAX {
            let records = self.planner.decide(&self.state, now);
            if records.is_empty() {
                return std::mem::take(&mut self.actions);
            }
            for record in records {
                self.apply(now, record.event.clone());
                self.apply_decision(now, &record.event);
            }
        }
        self.internal_errors += 1;
        std::mem::take(&mut self.actions)
    }

    fn next_wake(&self, now: Time) -> Option<Time> {
        Some(self.planner.wake(&self.state, now)).filter(|&at| at != Time::MAX)
    }

    fn internal_errors(&self) -> u64 {
        self.internal_errors
    }
}
