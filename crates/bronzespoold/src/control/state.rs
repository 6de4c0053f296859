//! The replicated state machine.

use {
    crate::{
        control::submitted::Submitted,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{self, Ledger},
        core::{Code, Digest, Instance, Job, Service, Shape, Team, Time},
        flow::{
            claim::{self, Claims, Incarnation},
            config,
            view::{self, EndpointRecord, Presence, View, ViewUpdate},
        },
        schedule::{Event, JobSpec, PolicySettings, Record, SchedulerState},
        wire::message::Announce,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// One command of the log.
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
        /// What its agent says.
        announce: Announce,
    },
    /// An endpoint's agent has a session, has none, or is leaving.
    Presence {
        /// Log time.
        at: Time,
        /// Instance of the agent.
        instance: Instance,
        /// Incarnation of the agent.
        incarnation: u64,
        /// The new state.
        presence: Presence,
    },
    /// A change of the claims.
    Claim(claim::ClaimRecord),
    /// Changes of the schedule.
    Schedule(Vec<Record>),
    /// Submits a job.
    Submit {
        /// Log time.
        at: Time,
        /// What it asks for.
        spec: JobSpec,
        /// Digest of the body, if the caller gave a key.
        digest: Option<Digest>,
        /// Time for which the key is known.
        keep: Duration,
    },
    /// Changes of the jobs of steps of tasks.
    Batch(batch::Record),
}

/// What a command did.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Effect {
    /// Verdict on a change of the configuration.
    Config(config::ConfigOutcome),
    /// Incarnation of an announced agent.
    Announced(u64),
    /// Effect on the claims.
    Claim(claim::ClaimOutcome),
    /// Whether the schedule took the records, or the first that it refused.
    Schedule(Result<(), String>),
    /// Verdicts on the events of a batch record.
    Batch(Vec<batch::Verdict>),
    /// Nothing to tell.
    Noted,
    /// The command does not fit the state.
    Refused(Code),
}

/// Lease of gang members and other work on its team's own guarantee: longer than most cuts
/// between regions, since no one else may have the cells in the meantime.
const OWN_LEASE: Duration = Duration::from_secs(300);

/// State after an entry of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct State {
    index: u64,
    clock: Time,
    config: config::ConfigStore,
    /// Index of the entry that made the configuration's revision.
    config_index: u64,
    peers: BTreeMap<Instance, EndpointRecord>,
    claims: Claims,
    book: SchedulerState,
    submitted: Submitted,
    batch: Ledger,
}

/// What followers of the state need to know of one command.
pub(super) struct Applied {
    pub(super) effect: Effect,
    pub(super) change: Option<ViewUpdate>,
    pub(super) scheduled: bool,
}

impl Applied {
    const fn only(effect: Effect) -> Self {
        Self { effect, change: None, scheduled: false }
    }
}

impl State {
    /// The state before the first entry. `span` is the longest time from a decision to the end of
    /// the session of an agent that does not hear of it; only the policy reads it.
    pub(super) fn new(span: Duration) -> Self {
        let settings = PolicySettings {
            borrowed_lease: span,
            guaranteed_lease: OWN_LEASE,
            ..PolicySettings::default()
        };
        Self {
            index: 0,
            clock: Time::ZERO,
            config: config::ConfigStore::default(),
            config_index: 0,
            peers: BTreeMap::new(),
            claims: Claims::default(),
            book: SchedulerState::new(settings),
            submitted: Submitted::default(),
            batch: Ledger::default(),
        }
    }

    /// Index of the last entry applied.
    pub(super) const fn index(&self) -> u64 {
        self.index
    }

    /// Latest log time.
    pub(super) const fn clock(&self) -> Time {
        self.clock
    }

    /// The configuration.
    pub(super) const fn config(&self) -> &config::ConfigStore {
        &self.config
    }

    /// Index of the entry that made the configuration's revision.
    pub(super) const fn config_index(&self) -> u64 {
        self.config_index
    }

    /// Announced endpoints.
    pub(super) const fn peers(&self) -> &BTreeMap<Instance, EndpointRecord> {
        &self.peers
    }

    /// The claims.
    pub(super) const fn claims(&self) -> &Claims {
        &self.claims
    }

    /// The schedule.
    pub(super) const fn book(&self) -> &SchedulerState {
        &self.book
    }

    /// Jobs of steps of tasks, their workers and configuration.
    pub(super) const fn batch(&self) -> &Ledger {
        &self.batch
    }

    /// The view for entries, or for agents, which need no endpoints.
    pub(super) fn view(&self, entry: bool) -> View {
        let peers = if entry { self.peers.clone() } else { BTreeMap::new() };
        View { index: self.index, config: self.config.config().clone(), endpoints: peers }
    }

    /// Notes that an entry without a command was applied.
    pub(super) const fn skip(&mut self, index: u64) {
        self.index = index;
    }

    /// Applies the command of the entry `index`.
    pub(super) fn apply(&mut self, index: u64, command: &Command) -> Applied {
        self.index = index;
        match command {
            Command::Config { at, change } => self.configure(*at, change),
            Command::Announce { at, announce } => self.announce(*at, announce),
            Command::Presence { at, instance, incarnation, presence } => {
                self.presence(*at, instance, *incarnation, *presence)
            }
            Command::Claim(record) => {
                self.pass(record.at);
                Applied::only(Effect::Claim(self.claims.apply(record)))
            }
            Command::Schedule(records) => self.schedule(records),
            Command::Submit { at, spec, digest, keep } => self.submit(*at, spec, *digest, *keep),
            Command::Batch(record) => {
                self.pass(record.at);
                Applied::only(Effect::Batch(self.batch.apply(record)))
            }
        }
    }

    fn pass(&mut self, at: Time) {
        self.clock = self.clock.max(at);
    }

    fn configure(&mut self, at: Time, change: &config::ConfigUpdate) -> Applied {
        self.pass(at);
        let before = self.config.config().revision;
        let verdict = self.config.apply(change);
        let revision = self.config.config().revision;
        if revision == before {
            return Applied::only(Effect::Config(verdict));
        }
        self.config_index = self.index;
        self.record(at, Event::Guarantees(self.guarantees()));
        let change = ViewUpdate::Config {
            revision,
            services: change.services.clone(),
            removed: change.removed.clone(),
        };
        Applied { effect: Effect::Config(verdict), change: Some(change), scheduled: true }
    }

    fn guarantees(&self) -> Vec<(Team, Vec<Shape>)> {
        guarantees(self.config.config().services.values())
    }

    /// A new nonce is a new process: its incarnation is one higher and the former one is gone.
    fn announce(&mut self, at: Time, announce: &Announce) -> Applied {
        self.pass(at);
        let instance = &announce.place.instance;
        let known = self.peers.get(instance);
        let same = known.is_some_and(|p| p.nonce == announce.nonce);
        let incarnation = known.map_or(1, |p| p.incarnation + u64::from(!same));
        if !same && incarnation > 1 {
            let gone = Incarnation { instance: instance.clone(), number: incarnation - 1 };
            self.claims.apply(&claim::ClaimRecord {
                at,
                change: claim::ClaimChange::IncarnationGone(gone),
            });
        }
        let peer = EndpointRecord {
            place: announce.place.clone(),
            incarnation,
            nonce: announce.nonce,
            address: announce.address,
            services: announce.services.clone(),
            capacity: announce.capacity,
            presence: if announce.leaving { Presence::Draining } else { Presence::Up },
        };
        self.peers.insert(instance.clone(), peer.clone());
        self.record(at, worker_up(&peer));
        if announce.leaving {
            self.record(at, Event::DrainingChanged { instance: instance.clone(), draining: true });
        }
        Applied {
            effect: Effect::Announced(incarnation),
            change: Some(ViewUpdate::Endpoint(Box::new(peer))),
            scheduled: true,
        }
    }

    fn presence(
        &mut self,
        at: Time,
        instance: &Instance,
        incarnation: u64,
        presence: Presence,
    ) -> Applied {
        self.pass(at);
        let Some(peer) = self.peers.get_mut(instance) else {
            return Applied::only(Effect::Refused(Code::UnknownInstance));
        };
        if peer.incarnation != incarnation || peer.presence == presence {
            return Applied::only(Effect::Noted);
        }
        let before = std::mem::replace(&mut peer.presence, presence);
        let peer = peer.clone();
        for event in presence_events(before, &peer) {
            self.record(at, event);
        }
        Applied {
            effect: Effect::Noted,
            change: Some(ViewUpdate::Endpoint(Box::new(peer))),
            scheduled: true,
        }
    }

    /// Applies records up to the first that the book refuses: later ones of the batch were
    /// decided on the state that it would have made.
    fn schedule(&mut self, records: &[Record]) -> Applied {
        let mut result = Ok(());
        for record in records {
            self.pass(record.at);
            if let Err(error) = self.book.apply(record) {
                result = Err(error.to_string());
                break;
            }
        }
        Applied { effect: Effect::Schedule(result), change: None, scheduled: true }
    }

    /// Whether the job was submitted before. A key that outlives its job is never run anew.
    pub(super) fn known(&self, job: &Job, digest: Option<Digest>) -> Result<bool, Code> {
        let held = self.book.job(job).is_some();
        let Some(digest) = digest else {
            return Ok(held);
        };
        if self.submitted.check(job, digest)? && !held {
            return Err(Code::KeyExpired);
        }
        Ok(held)
    }

    fn submit(
        &mut self,
        at: Time,
        spec: &JobSpec,
        digest: Option<Digest>,
        keep: Duration,
    ) -> Applied {
        self.pass(at);
        match self.known(&spec.job, digest) {
            Ok(true) => return Applied::only(Effect::Schedule(Ok(()))),
            Err(code) => return Applied::only(Effect::Refused(code)),
            Ok(false) => {}
        }
        if let Some(digest) = digest {
            self.submitted.note(at, spec.job.clone(), digest, keep);
        }
        self.schedule(&[Record::new(at, Event::Submitted(spec.clone()))])
    }

    fn record(&mut self, at: Time, event: Event) {
        if let Err(error) = self.book.apply(&Record::new(at, event)) {
            event::ScheduleRefused { error: error.to_string() }.tell();
        }
    }
}

fn worker_up(peer: &EndpointRecord) -> Event {
    Event::WorkerUp {
        place: peer.place.clone(),
        capacity: peer.capacity,
        incarnation: peer.incarnation,
    }
}

fn presence_events(before: Presence, peer: &EndpointRecord) -> Vec<Event> {
    let instance = peer.place.instance.clone();
    let leaving = |draining| Event::DrainingChanged { instance: instance.clone(), draining };
    match (before, peer.presence) {
        (_, Presence::Down) => vec![Event::WorkerDown { instance }],
        (_, Presence::Draining) => vec![leaving(true)],
        (Presence::Draining, Presence::Up) => vec![leaving(false)],
        (_, Presence::Up) => vec![worker_up(peer)],
    }
}

/// All teams' guarantees, gathered over the services.
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

/// Services that a change leaves in force.
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

/// Empty log of view changes after the state.
pub(super) const fn view_log(state: &State) -> view::DeltaLog {
    view::DeltaLog::after(state.index())
}
