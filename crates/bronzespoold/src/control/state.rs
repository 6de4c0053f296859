//! The replicated state machine.

use {
    crate::{
        control::submissions::Submissions,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{self, Ledger},
        core::{Code, Digest, Instance, Job, Service, Shape, Team, Time, trailing},
        flow::{
            claim::{self, Claims, Incarnation},
            config,
            drain::{CenterChange, CenterDrains, CenterOutcome},
            view::{self, EndpointRecord, Presence, View, ViewUpdate},
        },
        schedule::{Event, JobSpec, PolicySettings, Record, SchedulerState},
        wire::{frame, message::Announce},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Command {
    /// Changes the configuration.
    Config {
        /// Log time.
        at: Time,
        /// The change.
        change: config::ConfigUpdate,
    },
    /// Announces an endpoint.
    Announce {
        /// Log time.
        at: Time,
        /// What the endpoint's agent announces.
        announce: Announce,
    },
    /// Changes the presence of an endpoint's agent: it has a session, has none, or is draining.
    Presence {
        /// Log time.
        at: Time,
        /// Instance of the agent.
        instance: Instance,
        /// Incarnation of the agent.
        incarnation: u64,
        /// The new presence.
        presence: Presence,
    },
    /// Changes the claims.
    Claim(claim::ClaimRecord),
    /// Changes the schedule.
    Schedule(Vec<Record>),
    /// Submits a job.
    Submit {
        /// Log time.
        at: Time,
        /// Specification of the job.
        spec: JobSpec,
        /// Digest of the request body, if the caller gave an idempotency key.
        digest: Option<Digest>,
        /// Time for which the key is remembered.
        key_retention: Duration,
    },
    /// Changes batch jobs, their workers or their configuration.
    Batch(batch::Record),
    /// Drains or restores a data centre.
    Center {
        /// Log time.
        at: Time,
        /// The change.
        change: CenterChange,
    },
}

/// Result of an applied command.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Effect {
    /// Outcome of a change of the configuration.
    Config(config::ConfigOutcome),
    /// Incarnation of an announced agent.
    Announced(u64),
    /// Effect on the claims.
    Claim(claim::ClaimOutcome),
    /// Whether the schedule accepted the records, or the error of the first one that it refused.
    Schedule(Result<(), String>),
    /// Outcomes of the events of a batch record.
    Batch(Vec<batch::EventOutcome>),
    /// Outcome of a change of a data centre.
    Center(CenterOutcome),
    /// Applied, with nothing to return.
    Done,
    /// The command does not fit the state.
    Refused(Code),
}

/// Lease of gang members and other work on its team's own guarantee. It is longer than most network
/// partitions between regions, since no other team may use the capacity in the meantime.
const GUARANTEED_LEASE: Duration = Duration::from_secs(300);

/// State after an entry of the log was applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct State {
    index: u64,
    last_time: Time,
    config: config::ConfigStore,
    /// Index of the log entry that made the configuration's revision.
    config_index: u64,
    endpoints: BTreeMap<Instance, EndpointRecord>,
    claims: Claims,
    scheduler: SchedulerState,
    submissions: Submissions,
    batch: Ledger,
    /// Drains of data centres. They come last, since snapshots of former versions end before them;
    /// fields that are added to the ledger after this one cannot be told from them.
    #[serde(skip_serializing_if = "trailing::is_default")]
    #[serde(deserialize_with = "trailing::read_or_default")]
    drains: CenterDrains,
}

/// Result of one command, with the changes that the replica announces to watchers.
pub(super) struct CommandResult {
    pub(super) effect: Effect,
    pub(super) view_change: Option<ViewUpdate>,
    pub(super) schedule_changed: bool,
}

impl CommandResult {
    const fn from_effect(effect: Effect) -> Self {
        Self { effect, view_change: None, schedule_changed: false }
    }
}

impl State {
    /// The state before the first entry. `session_timeout` is the longest time from a decision to
    /// the end of the session of an agent that has not received it; only the scheduling policy
    /// reads it.
    pub(super) fn new(session_timeout: Duration) -> Self {
        let settings = PolicySettings {
            borrowed_lease: session_timeout,
            guaranteed_lease: GUARANTEED_LEASE,
            ..PolicySettings::default()
        };
        Self {
            index: 0,
            last_time: Time::ZERO,
            config: config::ConfigStore::default(),
            config_index: 0,
            endpoints: BTreeMap::new(),
            claims: Claims::default(),
            scheduler: SchedulerState::new(settings),
            submissions: Submissions::default(),
            batch: Ledger::default(),
            drains: CenterDrains::default(),
        }
    }

    /// Reads the state from a snapshot.
    pub(super) fn from_snapshot(bytes: &[u8]) -> frame::Result<Self> {
        let mut state: Self = frame::decode(bytes)?;
        state.scheduler.set_drained_centers(state.drains.drained());
        Ok(state)
    }

    /// Index of the last entry applied.
    pub(super) const fn index(&self) -> u64 {
        self.index
    }

    /// Latest log time of an applied entry.
    pub(super) const fn last_time(&self) -> Time {
        self.last_time
    }

    /// The configuration.
    pub(super) const fn config(&self) -> &config::ConfigStore {
        &self.config
    }

    /// Index of the log entry that made the configuration's revision.
    pub(super) const fn config_index(&self) -> u64 {
        self.config_index
    }

    /// Announced endpoints.
    pub(super) const fn endpoints(&self) -> &BTreeMap<Instance, EndpointRecord> {
        &self.endpoints
    }

    /// The claims.
    pub(super) const fn claims(&self) -> &Claims {
        &self.claims
    }

    /// The schedule.
    pub(super) const fn scheduler(&self) -> &SchedulerState {
        &self.scheduler
    }

    /// Batch jobs, their workers and their configuration.
    pub(super) const fn batch(&self) -> &Ledger {
        &self.batch
    }

    /// Drains of data centres.
    pub(super) const fn drains(&self) -> &CenterDrains {
        &self.drains
    }

    /// Whether the data centre of an instance is drained.
    fn is_drained(&self, instance: &Instance) -> bool {
        let endpoint = self.endpoints.get(instance);
        endpoint.is_some_and(|e| self.drains.is_drained(&e.place.center))
    }

    /// The view for the process of an entry or, unless `entry` is set, for an agent, which needs no
    /// endpoints.
    pub(super) fn view(&self, entry: bool) -> View {
        let endpoints = if entry { self.endpoints.clone() } else { BTreeMap::new() };
        let (config, drained) = (self.config.config().clone(), self.drains.drained());
        View { index: self.index, config, endpoints, drained }
    }

    /// Records that a log entry without a command was applied.
    pub(super) const fn skip_entry(&mut self, index: u64) {
        self.index = index;
    }

    /// Applies the command of the log entry `index`.
    pub(super) fn apply(&mut self, index: u64, command: &Command) -> CommandResult {
        self.index = index;
        match command {
            Command::Config { at, change } => self.configure(*at, change),
            Command::Announce { at, announce } => self.announce(*at, announce),
            Command::Presence { at, instance, incarnation, presence } => {
                self.presence(*at, instance, *incarnation, *presence)
            }
            Command::Claim(record) => self.claim(record),
            Command::Schedule(records) => self.schedule(records),
            Command::Submit { at, spec, digest, key_retention } => {
                self.submit(*at, spec, *digest, *key_retention)
            }
            Command::Batch(record) => {
                self.advance_time(record.at);
                CommandResult::from_effect(Effect::Batch(self.batch.apply(record)))
            }
            Command::Center { at, change } => self.change_center(*at, change),
        }
    }

    fn advance_time(&mut self, at: Time) {
        self.last_time = self.last_time.max(at);
    }

    /// Applies a claim, unless it is a new one whose target is in a drained data centre.
    fn claim(&mut self, record: &claim::ClaimRecord) -> CommandResult {
        self.advance_time(record.at);
        let outcome = match &record.change {
            claim::ClaimChange::Claimed { target, .. } if self.is_drained(&target.instance) => {
                claim::ClaimOutcome::Refused(Code::CenterDrained)
            }
            _ => self.claims.apply(record),
        };
        CommandResult::from_effect(Effect::Claim(outcome))
    }

    fn change_center(&mut self, at: Time, change: &CenterChange) -> CommandResult {
        self.advance_time(at);
        let outcome = self.drains.apply(self.index, change);
        let CenterOutcome::Changed(current) = outcome else {
            return CommandResult::from_effect(Effect::Center(outcome));
        };
        self.scheduler.set_drained_centers(self.drains.drained());
        let center = change.center.clone();
        CommandResult {
            effect: Effect::Center(outcome),
            view_change: Some(ViewUpdate::CenterChanged { center, drained: current.drained }),
            schedule_changed: true,
        }
    }

    fn configure(&mut self, at: Time, change: &config::ConfigUpdate) -> CommandResult {
        self.advance_time(at);
        let before = self.config.config().revision;
        let outcome = self.config.apply(change);
        let revision = self.config.config().revision;
        if revision == before {
            return CommandResult::from_effect(Effect::Config(outcome));
        }
        self.config_index = self.index;
        self.apply_event(at, Event::Guarantees(self.guarantees()));
        let change = ViewUpdate::Config {
            revision,
            services: change.services.clone(),
            removed: change.removed.clone(),
        };
        CommandResult {
            effect: Effect::Config(outcome),
            view_change: Some(change),
            schedule_changed: true,
        }
    }

    fn guarantees(&self) -> Vec<(Team, Vec<Shape>)> {
        guarantees(self.config.config().services.values())
    }

    /// A new nonce means a new process: its incarnation is one higher, and the former incarnation
    /// is gone.
    fn announce(&mut self, at: Time, announce: &Announce) -> CommandResult {
        self.advance_time(at);
        let instance = &announce.place.instance;
        let previous = self.endpoints.get(instance);
        let same_process = previous.is_some_and(|p| p.nonce == announce.nonce);
        let incarnation = previous.map_or(1, |p| p.incarnation + u64::from(!same_process));
        if !same_process && incarnation > 1 {
            let gone = Incarnation { instance: instance.clone(), number: incarnation - 1 };
            self.claims.apply(&claim::ClaimRecord {
                at,
                change: claim::ClaimChange::IncarnationGone(gone),
            });
        }
        let endpoint = EndpointRecord {
            place: announce.place.clone(),
            incarnation,
            nonce: announce.nonce,
            address: announce.address,
            services: announce.services.clone(),
            capacity: announce.capacity,
            presence: if announce.leaving { Presence::Draining } else { Presence::Up },
        };
        self.endpoints.insert(instance.clone(), endpoint.clone());
        self.apply_event(at, worker_up(&endpoint));
        if announce.leaving {
            self.apply_event(
                at,
                Event::DrainingChanged { instance: instance.clone(), draining: true },
            );
        }
        CommandResult {
            effect: Effect::Announced(incarnation),
            view_change: Some(ViewUpdate::Endpoint(Box::new(endpoint))),
            schedule_changed: true,
        }
    }

    fn presence(
        &mut self,
        at: Time,
        instance: &Instance,
        incarnation: u64,
        presence: Presence,
    ) -> CommandResult {
        self.advance_time(at);
        let Some(endpoint) = self.endpoints.get_mut(instance) else {
            return CommandResult::from_effect(Effect::Refused(Code::UnknownInstance));
        };
        if endpoint.incarnation != incarnation || endpoint.presence == presence {
            return CommandResult::from_effect(Effect::Done);
        }
        let before = std::mem::replace(&mut endpoint.presence, presence);
        let endpoint = endpoint.clone();
        for event in presence_events(before, &endpoint) {
            self.apply_event(at, event);
        }
        CommandResult {
            effect: Effect::Done,
            view_change: Some(ViewUpdate::Endpoint(Box::new(endpoint))),
            schedule_changed: true,
        }
    }

    /// Applies the records up to the first one that the scheduler's state refuses. The later
    /// records were decided on the state that the refused one would have made.
    fn schedule(&mut self, records: &[Record]) -> CommandResult {
        let mut result = Ok(());
        for record in records {
            self.advance_time(record.at);
            if let Err(error) = self.scheduler.apply(record) {
                result = Err(error.to_string());
                break;
            }
        }
        CommandResult {
            effect: Effect::Schedule(result),
            view_change: None,
            schedule_changed: true,
        }
    }

    /// Whether the job exists. A key that is remembered for longer than its job is refused, so that
    /// the job never runs again.
    pub(super) fn job_exists(&self, job: &Job, digest: Option<Digest>) -> Result<bool, Code> {
        let exists = self.scheduler.job(job).is_some();
        let Some(digest) = digest else {
            return Ok(exists);
        };
        if self.submissions.is_duplicate(job, digest)? && !exists {
            return Err(Code::KeyExpired);
        }
        Ok(exists)
    }

    fn submit(
        &mut self,
        at: Time,
        spec: &JobSpec,
        digest: Option<Digest>,
        key_retention: Duration,
    ) -> CommandResult {
        self.advance_time(at);
        match self.job_exists(&spec.job, digest) {
            Ok(true) => return CommandResult::from_effect(Effect::Schedule(Ok(()))),
            Err(code) => return CommandResult::from_effect(Effect::Refused(code)),
            Ok(false) => {}
        }
        if let Some(digest) = digest {
            self.submissions.record(at, spec.job.clone(), digest, key_retention);
        }
        self.schedule(&[Record::new(at, Event::Submitted(spec.clone()))])
    }

    fn apply_event(&mut self, at: Time, event: Event) {
        if let Err(error) = self.scheduler.apply(&Record::new(at, event)) {
            event::ScheduleRefused { error: error.to_string() }.emit();
        }
    }
}

fn worker_up(endpoint: &EndpointRecord) -> Event {
    Event::WorkerUp {
        place: endpoint.place.clone(),
        capacity: endpoint.capacity,
        incarnation: endpoint.incarnation,
    }
}

fn presence_events(before: Presence, endpoint: &EndpointRecord) -> Vec<Event> {
    let instance = endpoint.place.instance.clone();
    let draining_changed =
        |draining| Event::DrainingChanged { instance: instance.clone(), draining };
    match (before, endpoint.presence) {
        (_, Presence::Down) => vec![Event::WorkerDown { instance }],
        (_, Presence::Draining) => vec![draining_changed(true)],
        (Presence::Draining, Presence::Up) => vec![draining_changed(false)],
        (_, Presence::Up) => vec![worker_up(endpoint)],
    }
}

/// The guarantees of all teams, collected over the services.
pub(super) fn guarantees<'a>(
    services: impl Iterator<Item = &'a bronzespool::core::ServiceSpec>,
) -> Vec<(Team, Vec<Shape>)> {
    let mut teams: BTreeMap<Team, Vec<Shape>> = BTreeMap::new();
    for service in services {
        for (team, spec) in &service.teams {
            teams.entry(team.clone()).or_default().extend(&spec.guarantees);
        }
    }
    teams.into_iter().collect()
}

/// The services that are in force after a change.
pub(super) fn services_after(
    store: &config::ConfigStore,
    change: &config::ConfigUpdate,
) -> BTreeMap<Service, bronzespool::core::ServiceSpec> {
    let mut services = store.config().services.clone();
    for name in &change.removed {
        services.remove(name);
    }
    for service in &change.services {
        services.insert(service.name.clone(), service.clone());
    }
    services
}

/// An empty log of view changes that starts after the state.
pub(super) const fn empty_view_log(state: &State) -> view::DeltaLog {
    view::DeltaLog::after(state.index())
}
