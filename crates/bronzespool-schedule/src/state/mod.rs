//! The replicated scheduler state, changed only by applying records.

mod apply;
mod capacity;
mod drained;
mod index;
pub mod occupancy;
mod overuse;
pub mod team;

pub(crate) use overuse::OveruseAction;
use {
    crate::{
        estimate::RuntimeEstimate,
        fragmentation::WorkloadMix,
        job::{Attempt, JobNumber, JobPhase, JobState},
        settings::PolicySettings,
    },
    bronzespool_core::{Capacity, HashMap, Instance, Job, Kind, Place, Service, Team, Time},
    displaydoc::Display,
    occupancy::{Occupancy, TeamUsage},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::collections::{BTreeMap, BTreeSet},
    team::TeamState,
};

/// Result of applying a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for rejecting a record. The state is unchanged in that case.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// no worker {0}
    UnknownWorker(Instance),
    /// no job {0}
    UnknownJob(Job),
    /// job {0} was submitted before
    Duplicate(Job),
    /// job {0} has no attempt {1}
    UnknownAttempt(Job, u32),
    /// job {0} is not waiting
    NotWaiting(Job),
    /// cell of {0} at {1} is held by other work
    CellInUse(Instance, u32),
    /// worker {0} has more than 64 accelerators
    TooManyAccels(Instance),
    /// the data centre of worker {0} is drained
    CenterDrained(Instance),
}

impl std::error::Error for Error {}

/// State of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Index of its slot in the occupancy, in the order of first registration.
    pub slot: u32,
    /// Location in the topology.
    pub place: Place,
    /// Resources of the worker.
    pub capacity: Capacity,
    /// Incarnation of its agent process.
    pub incarnation: u64,
    /// Whether the worker is reachable.
    pub up: bool,
    /// Whether the worker is draining or removed.
    pub draining: bool,
    /// Start of the quarantine, if the worker is in quarantine.
    pub quarantine: Option<Time>,
    /// Time from which the quarantined worker may get one probe job.
    pub probing: Option<Time>,
    /// Jobs that failed on the worker since its last success, with the time of the failure.
    pub failures: BTreeMap<JobNumber, Time>,
}

impl Worker {
    /// Whether new work may be placed on the worker.
    pub const fn is_schedulable(&self) -> bool {
        self.up && !self.draining && self.quarantine.is_none()
    }

    /// Whether one preemptible job may be placed on the worker as a probe.
    pub const fn accepts_probe(&self) -> bool {
        self.up && !self.draining && self.probing.is_some()
    }
}

/// Durable part of the scheduler state, as encoded in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct DurableState {
    settings: PolicySettings,
    workers: BTreeMap<Instance, Worker>,
    slots: u32,
    teams: BTreeMap<Team, TeamState>,
    jobs: BTreeMap<JobNumber, JobState>,
    next: JobNumber,
    workload_mix: WorkloadMix,
    estimates: BTreeMap<(Option<Team>, Service, Kind), RuntimeEstimate>,
}

/// Indexes derived from the durable state.
#[derive(Clone, Debug, Default)]
struct Index {
    occupancy: Occupancy,
    names: HashMap<Job, JobNumber>,
    /// Waiting jobs of each team; the flag is `false` for urgent jobs, which come first.
    queue: BTreeMap<Team, BTreeSet<(bool, JobNumber)>>,
    /// Waiting jobs by the earliest time of their next attempt.
    delayed: BTreeSet<(Time, JobNumber)>,
    /// Jobs by the time at which they are due for a record.
    due: BTreeSet<(Time, JobNumber)>,
    reserved: BTreeSet<JobNumber>,
    /// Jobs whose attempt is being stopped.
    stopping: BTreeSet<JobNumber>,
    /// Jobs whose attempt was made borrowed.
    demoted: BTreeSet<JobNumber>,
    ended: BTreeSet<(Time, JobNumber)>,
    suspects: BTreeSet<Instance>,
    active: BTreeMap<Team, BTreeSet<JobNumber>>,
    team_usage: BTreeMap<Team, TeamUsage>,
    entries: HashMap<JobNumber, index::IndexEntry>,
    capacity_epoch: u64,
}

impl DurableState {
    /// Copy of the settings and teams, without workers, jobs and estimates.
    fn without_jobs(&self) -> Self {
        Self { settings: self.settings.clone(), teams: self.teams.clone(), ..Self::default() }
    }
}

impl Index {
    /// Copy of the occupancy and the team usage, without queues and timers.
    fn without_jobs(&self) -> Self {
        Self {
            occupancy: self.occupancy.clone(),
            team_usage: self.team_usage.clone(),
            ..Self::default()
        }
    }
}

/// The replicated scheduler state with its indexes.
#[derive(Clone, Debug, Default)]
pub struct SchedulerState {
    durable: DurableState,
    index: Index,
}

impl SchedulerState {
    /// An empty state with the given settings.
    pub fn new(settings: PolicySettings) -> Self {
        Self {
            durable: DurableState { settings, ..DurableState::default() },
            index: Index::default(),
        }
    }

    /// Settings of the scheduling policy.
    pub const fn settings(&self) -> &PolicySettings {
        &self.durable.settings
    }

    /// Workers by name.
    pub const fn workers(&self) -> &BTreeMap<Instance, Worker> {
        &self.durable.workers
    }

    /// Teams with guarantees.
    pub const fn teams(&self) -> &BTreeMap<Team, TeamState> {
        &self.durable.teams
    }

    /// Jobs in the order of submission.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.durable.jobs.values()
    }

    /// The job named `name`.
    pub fn job(&self, name: &Job) -> Option<&JobState> {
        self.durable.jobs.get(self.index.names.get(name)?)
    }

    /// The job with sequence number `id`.
    pub fn job_by_number(&self, id: JobNumber) -> Option<&JobState> {
        self.durable.jobs.get(&id)
    }

    /// Waiting jobs of each team: urgent ones first, then in the order of submission.
    pub fn queues(&self) -> impl Iterator<Item = (&Team, impl Iterator<Item = &JobState>)> {
        self.index
            .queue
            .iter()
            .map(|(team, ids)| (team, ids.iter().filter_map(|(_, id)| self.durable.jobs.get(id))))
    }

    /// Waiting jobs of one team, as in [`SchedulerState::queues`].
    pub fn queue(&self, team: &Team) -> impl Iterator<Item = &JobState> {
        let ids = self.index.queue.get(team).into_iter().flatten();
        ids.filter_map(|(_, id)| self.durable.jobs.get(id))
    }

    /// Jobs of a team with allocated cells, in the order of submission.
    pub fn running(&self, team: &Team) -> impl Iterator<Item = &JobState> {
        let ids = self.index.active.get(team).into_iter().flatten();
        ids.filter_map(|id| self.durable.jobs.get(id))
    }

    /// The workers and guarantees as they would be if `jobs` were made borrowed.
    pub(crate) fn demoted(&self, jobs: &[Job]) -> Self {
        let mut state =
            Self { durable: self.durable.without_jobs(), index: self.index.without_jobs() };
        for job in jobs {
            if let Some(found) = self.job(job) {
                state.index.names.insert(job.clone(), found.id);
                state.durable.jobs.insert(found.id, found.clone());
            }
        }
        jobs.iter().for_each(|job| state.demote(job, Time::ZERO));
        state
    }

    /// Usage of each team.
    pub fn team_usages(&self) -> impl Iterator<Item = (&Team, &TeamUsage)> {
        self.index.team_usage.iter()
    }

    /// Occupancy of the workers.
    pub const fn occupancy(&self) -> &Occupancy {
        &self.index.occupancy
    }

    /// Usage of a team.
    pub fn team_usage(&self, team: &Team) -> TeamUsage {
        self.index.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Run-time estimate of a job kind for one team, or for all teams together if `team` is `None`.
    pub fn estimate(
        &self,
        team: Option<&Team>,
        service: &Service,
        kind: &Kind,
    ) -> Option<&RuntimeEstimate> {
        let key = (team.cloned(), service.clone(), kind.clone());
        self.durable.estimates.get(&key)
    }

    /// The same workers and guarantees with all workers reachable, out of quarantine and idle, and
    /// no data centre drained.
    pub fn idle(&self) -> Self {
        let mut durable =
            DurableState { settings: self.durable.settings.clone(), ..DurableState::default() };
        durable.workers = self.durable.workers.clone();
        for worker in durable.workers.values_mut() {
            worker.up = true;
            worker.quarantine = None;
        }
        durable.teams = self.durable.teams.clone();
        durable.teams.values_mut().for_each(|team| team.bindings.clear());
        durable.teams.retain(|_, team| !team.shapes.is_empty());
        Self::rebuild(durable)
    }

    /// Shapes of the gangs submitted so far.
    pub const fn workload_mix(&self) -> &WorkloadMix {
        &self.durable.workload_mix
    }

    /// Counter that rises whenever capacity may have been released or added.
    pub const fn capacity_epoch(&self) -> u64 {
        self.index.capacity_epoch
    }

    /// Jobs that are due for a record at `now`.
    pub(crate) fn due(&self, now: Time) -> impl Iterator<Item = &JobState> {
        let ids = self.index.due.range(..=(now, JobNumber::MAX));
        ids.filter_map(|(_, id)| self.durable.jobs.get(id))
    }

    /// The timers of jobs, the first one in front.
    pub(crate) fn timers(&self) -> impl Iterator<Item = (Time, &JobState)> {
        self.index.due.iter().filter_map(|(at, id)| Some((*at, self.durable.jobs.get(id)?)))
    }

    /// Attempts that are being stopped.
    pub(crate) fn stopping(&self) -> impl Iterator<Item = (&JobState, &Attempt)> {
        self.attempts(&self.index.stopping)
    }

    /// Attempts that were granted on their team's guarantee and made borrowed.
    pub(crate) fn demoted_attempts(&self) -> impl Iterator<Item = (&JobState, &Attempt)> {
        self.attempts(&self.index.demoted)
    }

    fn attempts<'a>(
        &'a self,
        ids: &'a BTreeSet<JobNumber>,
    ) -> impl Iterator<Item = (&'a JobState, &'a Attempt)> {
        let jobs = ids.iter().filter_map(|id| self.durable.jobs.get(id));
        jobs.filter_map(|job| Some((job, job.attempt()?)))
    }

    /// First time after `now` at which a delayed job may be attempted.
    pub(crate) fn next_delayed(&self, now: Time) -> Option<Time> {
        self.index.delayed.range((now, JobNumber::MAX)..).next().map(|(at, _)| *at)
    }

    /// Jobs with reserved cells on which other work is being stopped.
    pub(crate) fn reserved(&self) -> impl Iterator<Item = &JobState> {
        self.index.reserved.iter().filter_map(|id| self.durable.jobs.get(id))
    }

    /// Workers that are in quarantine or have failures since their last success.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Worker> {
        self.index.suspects.iter().filter_map(|name| self.durable.workers.get(name))
    }

    /// Ended jobs, the one that ended first in front.
    pub(crate) fn ended(&self) -> impl Iterator<Item = (Time, &JobState)> {
        self.index.ended.iter().filter_map(|(at, id)| Some((*at, self.durable.jobs.get(id)?)))
    }

    fn rebuild(durable: DurableState) -> Self {
        let mut state = Self { durable, index: Index::default() };
        let mut workers: Vec<_> = state.durable.workers.values().cloned().collect();
        workers.sort_by_key(|w| w.slot);
        for worker in &workers {
            state.index.occupancy.insert(worker);
            state.update_suspect(&worker.place.instance);
        }
        for team in state.durable.teams.values() {
            for binding in &team.bindings {
                state.index.occupancy.bind(binding);
            }
        }
        let ids: Vec<_> = state.durable.jobs.keys().copied().collect();
        for id in ids {
            state.index_job(id);
        }
        state
    }

    /// Adds a job of the durable state to the indexes.
    fn index_job(&mut self, id: JobNumber) {
        let job = &self.durable.jobs[&id];
        self.index.names.insert(job.spec.job.clone(), id);
        if let JobPhase::Active(attempt) = &job.phase {
            for (member, member_state) in attempt.members.iter().enumerate() {
                if member_state.holds() {
                    self.index.occupancy.occupy(job, attempt, member);
                    let usage = self.index.team_usage.entry(job.spec.team.clone()).or_default();
                    usage.add(&attempt.cells[member], &job.spec.need, attempt.borrowed);
                }
            }
        }
        if let JobPhase::Reserved { cells, borrowed, .. } = &job.phase {
            self.index.occupancy.reserve(cells, &job.spec.need, *borrowed);
        }
        self.reindex(id);
    }
}

impl PartialEq for SchedulerState {
    fn eq(&self, other: &Self) -> bool {
        self.durable == other.durable
    }
}

impl Serialize for SchedulerState {
    fn serialize<S: Serializer>(&self, to: S) -> std::result::Result<S::Ok, S::Error> {
        self.durable.serialize(to)
    }
}

impl<'de> Deserialize<'de> for SchedulerState {
    fn deserialize<D: Deserializer<'de>>(from: D) -> std::result::Result<Self, D::Error> {
        DurableState::deserialize(from).map(Self::rebuild)
    }
}
