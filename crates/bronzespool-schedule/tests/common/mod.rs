//! Simulation driver: applies the decisions of the scheduler and reports for the workers.
#![allow(dead_code, reason = "each test binary uses a part")]

use {
    bronzespool_core::{Capacity, Instance, Level, Need, Place, Shape, Team, Time},
    bronzespool_schedule::{
        Event, JobPhase, JobSpec, MemberOutcome, Planner, PolicySettings, Record, SchedulerState,
    },
    std::time::Duration,
};

/// Time from a decision to its application on every replica in a slow commit; longer than a lease of
/// borrowed cells.
pub(crate) const COMMIT_TIME: Duration = Duration::from_secs(3);

/// A scheduler state with its planner, a simulated clock and the log of applied records.
pub(crate) struct Simulation {
    pub state: SchedulerState,
    pub planner: Planner,
    pub now: Time,
    pub log: Vec<Record>,
}

impl Simulation {
    pub(crate) fn new(settings: PolicySettings) -> Self {
        Self {
            state: SchedulerState::new(settings),
            planner: Planner::default(),
            now: Time::ZERO,
            log: Vec::new(),
        }
    }

    /// Workers named `r{rack}w{n}` with 8 cores and 16 GiB for each accelerator.
    pub(crate) fn racks(settings: PolicySettings, racks: &[&[u32]]) -> Self {
        let mut sim = Self::new(settings);
        for (r, workers) in racks.iter().enumerate() {
            for (w, &accels) in workers.iter().enumerate() {
                sim.add_worker(&format!("r{r}w{w}"), &format!("r{r}"), accels);
            }
        }
        sim
    }

    pub(crate) fn add_worker(&mut self, instance: &str, rack: &str, accels: u32) {
        self.add_worker_in("couva", instance, rack, accels);
    }

    pub(crate) fn add_worker_in(&mut self, center: &str, instance: &str, rack: &str, accels: u32) {
        let place = Place {
            region: "trinidad".try_into().unwrap(),
            center: center.try_into().unwrap(),
            rack: rack.try_into().unwrap(),
            instance: instance.try_into().unwrap(),
        };
        let share = accels.max(1);
        let capacity = Capacity {
            cores: 8 * share,
            memory: 16_384 * u64::from(share),
            accels,
            ..Capacity::default()
        };
        self.record(Event::WorkerUp { place, capacity, incarnation: 1 });
    }

    pub(crate) fn guarantees(&mut self, all: &[(&str, &[&str])]) {
        let shapes = all.iter().map(|(name, shapes)| {
            let shapes = shapes.iter().map(|&s| Shape::try_from(s).unwrap()).collect();
            (team(name), shapes)
        });
        let shapes = shapes.collect();
        self.record(Event::Guarantees(shapes));
    }

    pub(crate) fn record(&mut self, event: Event) {
        let record = Record::new(self.now, event);
        self.state.apply(&record).unwrap();
        self.log.push(record);
    }

    /// Applies decisions after [`COMMIT_TIME`].
    pub(crate) fn commit_slowly(&mut self, records: Vec<Record>) {
        self.advance(COMMIT_TIME);
        for record in records {
            self.state.apply(&record).unwrap();
            self.log.push(record);
        }
    }

    /// Applies decisions until there are none left, and returns their events.
    pub(crate) fn decide_all(&mut self) -> Vec<Event> {
        let mut all = Vec::new();
        for _ in 0..10_000 {
            let records = self.planner.decide(&self.state, self.now);
            if records.is_empty() {
                return all;
            }
            for record in records {
                self.state.apply(&record).unwrap();
                all.push(record.event.clone());
                self.log.push(record);
            }
        }
        panic!("decisions do not end: {:?}", &all[all.len() - 4..]);
    }

    /// Applies decisions and reports all members of all attempts as prepared, until no attempt
    /// waits for its start.
    pub(crate) fn run_granted(&mut self) -> Vec<Event> {
        let mut all = self.decide_all();
        loop {
            let mut ready = Vec::new();
            for job in self.state.jobs() {
                if let Some(attempt) = job.attempt()
                    && attempt.started.is_none()
                    && attempt.stop.is_none()
                {
                    for member in 0..attempt.cells.len() as u32 {
                        let (job, attempt) = (job.spec.job.clone(), attempt.number);
                        ready.push(Event::Prepared { job, attempt, member });
                    }
                }
            }
            if ready.is_empty() {
                return all;
            }
            ready.into_iter().for_each(|event| self.record(event));
            all.extend(self.decide_all());
        }
    }

    /// Reports that all members of a job have stopped with `outcome`.
    pub(crate) fn stop(&mut self, name: &str, outcome: MemberOutcome) {
        let job = self.state.job(&name.try_into().unwrap()).unwrap();
        let attempt = job.attempt().unwrap();
        let (name, number) = (job.spec.job.clone(), attempt.number);
        for member in 0..attempt.cells.len() as u32 {
            self.record(Event::Stopped { job: name.clone(), attempt: number, member, outcome });
        }
    }

    pub(crate) fn advance(&mut self, span: Duration) {
        self.now += span;
    }

    /// Advances the clock to the time of the next decision.
    pub(crate) fn advance_to_wake(&mut self) {
        self.now = self.planner.wake(&self.state, self.now).max(self.now);
    }

    pub(crate) fn phase(&self, name: &str) -> &JobPhase {
        &self.state.job(&name.try_into().unwrap()).unwrap().phase
    }

    pub(crate) fn is_started(&self, name: &str) -> bool {
        matches!(self.phase(name), JobPhase::Active(a) if a.started.is_some() && a.stop.is_none())
    }

    pub(crate) fn is_borrowed(&self, name: &str) -> bool {
        matches!(self.phase(name), JobPhase::Active(a) if a.borrowed)
    }

    pub(crate) fn is_waiting(&self, name: &str) -> bool {
        matches!(self.phase(name), JobPhase::Waiting { .. })
    }
}

pub(crate) fn team(name: &str) -> Team {
    name.try_into().unwrap()
}

pub(crate) fn instance(name: &str) -> Instance {
    name.try_into().unwrap()
}

/// A restartable job of `members` with `accels` accelerators each, placed within a domain of level
/// `adjacent`.
pub(crate) fn job(name: &str, team: &str, members: u32, accels: u32, adjacent: Level) -> JobSpec {
    let [name, team, service, kind] = [name, team, "desk", "rebuild"];
    JobSpec::new(
        name.try_into().unwrap(),
        team.try_into().unwrap(),
        service.try_into().unwrap(),
        kind.try_into().unwrap(),
    )
    .members(members)
    .need(Need { slots: 0, cores: 1_000, memory: 1_024, accels })
    .adjacent(adjacent)
    .restartable(true)
}
