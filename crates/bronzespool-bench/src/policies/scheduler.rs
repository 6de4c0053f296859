//! The scheduler of this project behind the decision interface.

use {
    crate::decisions::{Action, Cluster, Input, Job, JobId, KindPlan, Policy, Slot},
    bronzespool_core::{
        Capacity, HashMap, Instance, Job as Name, Kind, Need, Place, Rack, Region, Service, Team,
        Time,
    },
    bronzespool_schedule::{
        Cell, Event, JobSpec, MemberOutcome, Planner, Record, SchedulerState, admit, wake,
    },
};

/// Passes of one decision at most; more would be a loop without progress.
const PASSES_MAX: usize = 100_000;

/// A book, its planner and the names of what the driver numbers.
///
/// Every member prepares at once, so a gang starts in the decision that grants it.
pub struct Scheduler {
    book: SchedulerState,
    planner: Planner,
    cluster: Cluster,
    /// Slots of the jobs that run as the driver sees it.
    running: HashMap<JobId, Vec<Slot>>,
    attempts: HashMap<JobId, u32>,
    down: Vec<bool>,
    incarnation: u64,
    actions: Vec<Action>,
    faults: u64,
    log: u64,
}

fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("{text:?} is a name"))
}

fn instance(worker: usize) -> Instance {
    name(&format!("w-{worker}"))
}

fn job_name(job: JobId) -> Name {
    name(&format!("j-{job}"))
}

fn number(text: &str) -> usize {
    text.rsplit('-').next().and_then(|n| n.parse().ok()).expect("names end in their number")
}

/// The specification of a job, as its kind declares it.
pub(super) fn job_spec(job: &Job) -> JobSpec {
    let plan: &KindPlan = &job.plan;
    let need = Need { slots: 0, cores: plan.cores, memory: plan.memory, accels: plan.accels };
    let team: Team = name(&format!("team-{}", job.team));
    let service: Service = name("bench");
    let kind: Kind = name(plan.name);
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
    /// The scheduler on an empty cluster.
    pub fn new(cluster: &Cluster) -> Self {
        let mut this = Self {
            book: SchedulerState::default(),
            planner: Planner::default(),
            cluster: cluster.clone(),
            running: HashMap::default(),
            attempts: HashMap::default(),
            down: vec![false; cluster.workers.len()],
            incarnation: 0,
            actions: Vec::new(),
            faults: 0,
            log: 0,
        };
        (0..cluster.workers.len()).for_each(|w| this.up(Time::ZERO, w));
        let teams = cluster.teams.iter().enumerate();
        let shapes = teams.map(|(i, t)| (name(&format!("team-{i}")), t.guarantees.clone()));
        let guarantees = Event::Guarantees(shapes.collect());
        this.apply(Time::ZERO, guarantees);
        this
    }

    /// The book.
    pub const fn book(&self) -> &SchedulerState {
        &self.book
    }

    /// Records applied so far.
    pub const fn log(&self) -> u64 {
        self.log
    }

    fn apply(&mut self, now: Time, event: Event) {
        self.log += 1;
        if let Err(error) = self.book.apply(&Record::new(now, event)) {
            self.faults += 1;
            if self.faults <= 5 {
                eprintln!("record refused at {now}: {error}");
            }
        }
    }

    fn up(&mut self, now: Time, worker: usize) {
        let plan = self.cluster.workers[worker];
        let region: Region = name(&format!("region-{}", plan.region));
        let rack: Rack = name(&format!("rack-{}", plan.rack));
        let center = name(&format!("center-{}", plan.center));
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
        if admit(&self.book, &spec).is_err() {
            self.actions.push(Action::Refuse(job.id));
            return;
        }
        self.apply(now, Event::Submitted(spec));
    }

    /// Reports the members of a run as stopped; those on lost workers stay unheard of.
    fn stopped(&mut self, now: Time, job: JobId, outcome: impl Fn(&Slot) -> MemberOutcome) {
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

    fn checkpoint(&mut self, now: Time, job: JobId) {
        let whole = |slots: &Vec<Slot>| slots.iter().all(|s| !self.down[s.worker]);
        let state = self.book.job(&job_name(job));
        let makes = state.is_some_and(|s| s.spec.checkpoint_interval.is_some());
        if makes && self.running.get(&job).is_some_and(whole) {
            let attempt = self.attempts[&job];
            self.apply(now, Event::Checkpointed { job: job_name(job), attempt });
        }
    }

    fn act(&mut self, now: Time, event: &Event) {
        match event {
            Event::Granted { job, attempt, cells, .. } => {
                let id = number(job.as_str());
                let slot = |c: &Cell| Slot { worker: number(c.instance.as_str()), mask: c.mask() };
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
                let id = number(job.as_str());
                if self.running.contains_key(&id) {
                    self.actions.push(Action::Stop(id));
                }
            }
            Event::Refused { job, .. } => {
                self.actions.push(Action::Refuse(number(job.as_str())));
            }
            _ => {}
        }
    }
}

impl Policy for Scheduler {
    fn name(&self) -> &'static str {
        "bronzespool"
    }

    fn input(&mut self, now: Time, input: Input<'_>) {
        match input {
            Input::Submitted(job) => self.submit(now, job),
            Input::Completed(job) => self.stopped(now, job, |_| MemberOutcome::Done),
            Input::Failed { job, worker } => self.stopped(now, job, |slot| {
                if slot.worker == worker { MemberOutcome::Failed } else { MemberOutcome::Stopped }
            }),
            Input::Stopped(job) => {
                self.checkpoint(now, job);
                self.stopped(now, job, |_| MemberOutcome::Stopped);
            }
            Input::Cancelled(wave) => {
                let jobs = wave.iter().map(|&j| job_name(j)).collect();
                self.apply(now, Event::Cancelled { jobs });
                wave.iter().for_each(|&j| self.stopped(now, j, |_| MemberOutcome::Stopped));
            }
            Input::Dropped(job) => {
                self.apply(now, Event::Cancelled { jobs: vec![job_name(job)] });
                self.stopped(now, job, |_| MemberOutcome::Stopped);
            }
            Input::Down(workers) => {
                for &worker in workers {
                    self.down[worker] = true;
                    self.apply(now, Event::WorkerDown { instance: instance(worker) });
                }
            }
            Input::Up(workers) => workers.iter().for_each(|&w| self.up(now, w)),
        }
    }

    fn decide(&mut self, now: Time) -> Vec<Action> {
        for _ in 0..PASSES_MAX {
            let records = self.planner.decide(&self.book, now);
            if records.is_empty() {
                return std::mem::take(&mut self.actions);
            }
            for record in records {
                self.apply(now, record.event.clone());
                self.act(now, &record.event);
            }
        }
        self.faults += 1;
        std::mem::take(&mut self.actions)
    }

    fn wake(&self, now: Time) -> Option<Time> {
        Some(wake(&self.book, now)).filter(|&at| at != Time::MAX)
    }

    fn faults(&self) -> u64 {
        self.faults
    }
}
