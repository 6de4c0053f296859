//! All durable scheduling state, changed only by records.

mod apply;
pub mod grid;
mod overuse;
mod schedule;
pub mod team;

pub(crate) use overuse::Overuse;
use {
    crate::{
        estimate::Estimate,
        job::{Id, JobState, Phase},
        mix::Mix,
        settings::Settings,
    },
    bronzespool_core::{Capacity, HashMap, Instance, Job, Kind, Place, Service, Team, Time},
    displaydoc::Display,
    grid::{Grid, Ledger},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::collections::{BTreeMap, BTreeSet},
    team::TeamState,
};

/// Result of applying a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a record does not fit the book. The book is unchanged then.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// no worker {0}
    UnknownWorker(Instance),
    /// no job {0}
    UnknownJob(Job),
    /// job {0} was submitted before
    Duplicate(Job),
    /// job {0} has no attempt {1}
    Attempt(Job, u32),
    /// job {0} is not waiting
    NotWaiting(Job),
    /// cell of {0} at {1} is held by other work
    Held(Instance, u32),
    /// worker {0} has more than 64 accelerators
    Accels(Instance),
}

impl std::error::Error for Error {}

/// State of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Number in the order of first announcement.
    pub slot: u32,
    /// Where it stands.
    pub place: Place,
    /// What it has.
    pub capacity: Capacity,
    /// Number of its agent's process.
    pub incarnation: u64,
    /// Whether it is reachable.
    pub up: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Since when it is in quarantine.
    pub quarantine: Option<Time>,
    /// Since when it may have one probe while in quarantine.
    pub probing: Option<Time>,
    /// Jobs that failed here since the last success, with the time of the failure.
    pub failures: BTreeMap<Id, Time>,
}

impl Worker {
    /// Whether new work may go there.
    pub const fn open(&self) -> bool {
        self.up && !self.leaving && self.quarantine.is_none()
    }

    /// Whether one job that may be repeated may go there.
    pub const fn probes(&self) -> bool {
        self.up && !self.leaving && self.probing.is_some()
    }
}

/// Durable part of the book.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct State {
    settings: Settings,
    workers: BTreeMap<Instance, Worker>,
    slots: u32,
    teams: BTreeMap<Team, TeamState>,
    jobs: BTreeMap<Id, JobState>,
    next: Id,
    mix: Mix,
    estimates: BTreeMap<(Option<Team>, Service, Kind), Estimate>,
}

/// Part of the book that follows from its state.
#[derive(Clone, Debug, Default)]
struct Index {
    grid: Grid,
    names: HashMap<Job, Id>,
    queue: BTreeMap<Team, BTreeSet<(bool, Id)>>,
    delayed: BTreeSet<(Time, Id)>,
    due: BTreeSet<(Time, Id)>,
    reserved: BTreeSet<Id>,
    ended: BTreeSet<(Time, Id)>,
    suspects: BTreeSet<Instance>,
    active: BTreeMap<Team, BTreeSet<Id>>,
    ledger: BTreeMap<Team, Ledger>,
    marks: HashMap<Id, schedule::Mark>,
    epoch: u64,
}

impl State {
    /// Teams without workers, jobs and estimates.
    fn shell(&self) -> Self {
        Self { settings: self.settings.clone(), teams: self.teams.clone(), ..Self::default() }
    }
}

impl Index {
    /// Occupancy without queues and timers.
    fn shell(&self) -> Self {
        Self { grid: self.grid.clone(), ledger: self.ledger.clone(), ..Self::default() }
    }
}

/// All durable scheduling state.
#[derive(Clone, Debug, Default)]
pub struct Book {
    state: State,
    index: Index,
}

impl Book {
    /// An empty book with other settings than the default.
    pub fn new(settings: Settings) -> Self {
        Self { state: State { settings, ..State::default() }, index: Index::default() }
    }

    /// Durations and limits of the policy.
    pub const fn settings(&self) -> &Settings {
        &self.state.settings
    }

    /// Workers by name.
    pub const fn workers(&self) -> &BTreeMap<Instance, Worker> {
        &self.state.workers
    }

    /// Teams with guarantees.
    pub const fn teams(&self) -> &BTreeMap<Team, TeamState> {
        &self.state.teams
    }

    /// Jobs in the order of submission.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.state.jobs.values()
    }

    /// The job called `name`.
    pub fn job(&self, name: &Job) -> Option<&JobState> {
        self.state.jobs.get(self.index.names.get(name)?)
    }

    /// The job with number `id`.
    pub fn job_at(&self, id: Id) -> Option<&JobState> {
        self.state.jobs.get(&id)
    }

    /// Waiting jobs of each team: urgent ones first, then in the order of submission.
    pub fn queues(&self) -> impl Iterator<Item = (&Team, impl Iterator<Item = &JobState>)> {
        self.index
            .queue
            .iter()
            .map(|(team, ids)| (team, ids.iter().filter_map(|(_, id)| self.state.jobs.get(id))))
    }

    /// Waiting jobs of one team, as in [`Book::queues`].
    pub fn queue(&self, team: &Team) -> impl Iterator<Item = &JobState> {
        let ids = self.index.queue.get(team).into_iter().flatten();
        ids.filter_map(|(_, id)| self.state.jobs.get(id))
    }

    /// Jobs of a team that hold cells, in the order of submission.
    pub fn running(&self, team: &Team) -> impl Iterator<Item = &JobState> {
        let ids = self.index.active.get(team).into_iter().flatten();
        ids.filter_map(|id| self.state.jobs.get(id))
    }

    /// The workers and guarantees as they would be with `jobs` borrowed.
    pub(crate) fn demoted(&self, jobs: &[Job]) -> Self {
        let mut book = Self { state: self.state.shell(), index: self.index.shell() };
        for job in jobs {
            if let Some(state) = self.job(job) {
                book.index.names.insert(job.clone(), state.id);
                book.state.jobs.insert(state.id, state.clone());
            }
        }
        jobs.iter().for_each(|job| book.demote(job, Time::ZERO));
        book
    }

    /// What each team holds.
    pub fn ledgers(&self) -> impl Iterator<Item = (&Team, &Ledger)> {
        self.index.ledger.iter()
    }

    /// Occupancy of the workers.
    pub const fn grid(&self) -> &Grid {
        &self.index.grid
    }

    /// What a team holds.
    pub fn ledger(&self, team: &Team) -> Ledger {
        self.index.ledger.get(team).copied().unwrap_or_default()
    }

    /// Run times of a kind, of one team or of all together, if any run of it has ended.
    pub fn estimate(
        &self,
        team: Option<&Team>,
        service: &Service,
        kind: &Kind,
    ) -> Option<&Estimate> {
        let key = (team.cloned(), service.clone(), kind.clone());
        self.state.estimates.get(&key)
    }

    /// The same workers and guarantees with all workers reachable and no work.
    pub fn idle(&self) -> Self {
        let mut state = State { settings: self.state.settings.clone(), ..State::default() };
        state.workers = self.state.workers.clone();
        for worker in state.workers.values_mut() {
            worker.up = true;
            worker.quarantine = None;
        }
        state.teams = self.state.teams.clone();
        state.teams.values_mut().for_each(|team| team.binds.clear());
        state.teams.retain(|_, team| !team.shapes.is_empty());
        Self::rebuild(state)
    }

    /// Shapes of the gangs submitted so far.
    pub const fn mix(&self) -> &Mix {
        &self.state.mix
    }

    /// Rises whenever capacity was released or added.
    pub const fn epoch(&self) -> u64 {
        self.index.epoch
    }

    /// Jobs that need a record at or before `now`.
    pub(crate) fn due(&self, now: Time) -> impl Iterator<Item = &JobState> {
        let ids = self.index.due.range(..=(now, Id::MAX));
        ids.filter_map(|(_, id)| self.state.jobs.get(id))
    }

    /// First time at which a job needs a record.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.index.due.first().map(|(at, _)| *at)
    }

    /// First time after `now` at which a delayed job may be tried.
    pub(crate) fn next_delayed(&self, now: Time) -> Option<Time> {
        self.index.delayed.range((now, Id::MAX)..).next().map(|(at, _)| *at)
    }

    /// Jobs whose cells are being cleared.
    pub(crate) fn reserved(&self) -> impl Iterator<Item = &JobState> {
        self.index.reserved.iter().filter_map(|id| self.state.jobs.get(id))
    }

    /// Workers with failures since their last success, and those in quarantine.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Worker> {
        self.index.suspects.iter().filter_map(|name| self.state.workers.get(name))
    }

    /// Ended jobs, oldest end first.
    pub(crate) fn ended(&self) -> impl Iterator<Item = (Time, &JobState)> {
        self.index.ended.iter().filter_map(|(at, id)| Some((*at, self.state.jobs.get(id)?)))
    }

    fn rebuild(state: State) -> Self {
        let mut book = Self { state, index: Index::default() };
        let mut workers: Vec<_> = book.state.workers.values().cloned().collect();
        workers.sort_by_key(|w| w.slot);
        for worker in &workers {
            book.index.grid.insert(worker);
            book.suspect(&worker.place.instance);
        }
        for team in book.state.teams.values() {
            for bind in &team.binds {
                book.index.grid.bind(bind);
            }
        }
        let ids: Vec<_> = book.state.jobs.keys().copied().collect();
        for id in ids {
            book.link(id);
        }
        book
    }

    /// Enters a job of the state into the index.
    fn link(&mut self, id: Id) {
        let job = &self.state.jobs[&id];
        self.index.names.insert(job.spec.job.clone(), id);
        if let Phase::Active(attempt) = &job.phase {
            for (member, state) in attempt.members.iter().enumerate() {
                if state.holds() {
                    self.index.grid.occupy(job, attempt, member);
                    let ledger = self.index.ledger.entry(job.spec.team.clone()).or_default();
                    ledger.add(&attempt.cells[member], &job.spec.need, attempt.borrowed);
                }
            }
        }
        if let Phase::Reserved { cells, borrowed, .. } = &job.phase {
            self.index.grid.hold(cells, &job.spec.need, *borrowed);
        }
        self.schedule(id);
    }
}

impl PartialEq for Book {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Serialize for Book {
    fn serialize<S: Serializer>(&self, to: S) -> std::result::Result<S::Ok, S::Error> {
        self.state.serialize(to)
    }
}

impl<'de> Deserialize<'de> for Book {
    fn deserialize<D: Deserializer<'de>>(from: D) -> std::result::Result<Self, D::Error> {
        State::deserialize(from).map(Self::rebuild)
    }
}
