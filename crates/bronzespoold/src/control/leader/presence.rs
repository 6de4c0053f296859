//! Tracks which hubs are in contact and which agents have sessions with them.

use {
    crate::{
        control::{leader::calls::Leader, replica::Result},
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Instance, Refusal, Time},
        flow::view::Presence,
        wire::message::{CallResult, HubProgress, Reply},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Latest progress report of one hub.
#[derive(Clone, Debug)]
struct HubState {
    heard_at: Time,
    /// Lowest log index that a session of the hub may still be at.
    acked: u64,
    /// Serial number of `agents`, which the hub increments with each change.
    serial: u64,
    /// Instance and incarnation of each agent that has a session.
    agents: Vec<(Instance, u64)>,
}

/// All hubs that reported in the current term. A new leader starts without any and waits for one
/// lease before it treats silence as absence.
#[derive(Clone, Debug, Default)]
pub(super) struct Hubs {
    term: u64,
    term_start: Time,
    hubs: BTreeMap<Instance, HubState>,
    /// When draining agents, which close their sessions themselves, were first seen without one.
    away_since: BTreeMap<Instance, Time>,
    /// When agents were last announced. Their hubs report the new sessions a little later.
    announced_at: BTreeMap<Instance, Time>,
}

impl Hubs {
    fn begin_term(&mut self, term: u64, now: Time) {
        if self.term != term {
            *self = Self { term, term_start: now, ..Self::default() };
        }
    }

    /// Whether a hub has reported a session of this incarnation of the agent.
    fn has_session(&self, instance: &Instance, incarnation: u64) -> bool {
        let matches =
            |h: &HubState| h.agents.iter().any(|(i, n)| i == instance && *n == incarnation);
        self.hubs.values().any(matches)
    }

    /// How long a draining agent has been without a session. Its worker's tasks keep running under
    /// their leases, so a short restart of the agent does not count as a loss of the worker.
    fn time_away(&mut self, instance: &Instance, now: Time) -> Duration {
        now.since(*self.away_since.entry(instance.clone()).or_insert(now))
    }

    pub(super) fn record_announcement(&mut self, instance: &Instance, now: Time) {
        self.announced_at.insert(instance.clone(), now);
    }

    fn clear_away(&mut self, instance: &Instance) {
        self.away_since.remove(instance);
    }
}

impl Leader {
    pub(super) fn progress(&self, progress: HubProgress) -> CallResult {
        let now = self.clock.now();
        if u128::from(progress.lease_millis) != self.lease.as_millis() {
            let message = format!("[timing] session of {} is not the leader's", progress.hub);
            return Err(Refusal::new(Code::ConfigInvalid, message));
        }
        let mut hubs = self.hubs.borrow_mut();
        hubs.begin_term(self.replica.status().term, now);
        let new = || HubState { heard_at: now, acked: 0, serial: 0, agents: Vec::new() };
        let hub = hubs.hubs.entry(progress.hub).or_insert_with(new);
        hub.heard_at = now;
        hub.acked = progress.acked;
        if let Some(agents) = progress.agents {
            hub.serial = progress.serial;
            hub.agents = agents;
        }
        Ok(Reply::Progressed { known: hub.serial })
    }

    /// Whether the log entry that made `revision` is acknowledged by every session that may be
    /// open.
    pub(super) async fn in_force(&self, revision: u64) -> CallResult {
        self.replica.read_barrier().await?;
        Ok(Reply::InForce(self.is_in_force(revision)))
    }

    pub(super) fn is_in_force(&self, revision: u64) -> bool {
        let state = self.replica.state();
        if state.config().config().revision < revision {
            return false;
        }
        self.reached_index() >= state.config_index()
    }

    /// Log index that every session that may be open has acknowledged. Sessions of a hub that has
    /// been silent for a lease have ended.
    pub(super) fn reached_index(&self) -> u64 {
        let now = self.clock.now();
        let mut hubs = self.hubs.borrow_mut();
        let status = self.replica.status();
        hubs.begin_term(status.term, now);
        let mut members = status.members.iter();
        let all_known = members.all(|member| hubs.hubs.contains_key(&member.name));
        if !all_known && now.since(hubs.term_start) < self.lease {
            return 0;
        }
        let heard = hubs.hubs.values().filter(|hub| now.since(hub.heard_at) < self.lease);
        heard.map(|hub| hub.acked).min().unwrap_or(u64::MAX)
    }

    /// Commits the changes that bring the recorded presence of the agents in line with the hubs'
    /// reports.
    pub(super) async fn update_presence(&self) -> Result<()> {
        for (instance, incarnation, presence) in self.presence_changes() {
            let text = format!("{presence:?}");
            event::PresenceChanged { instance: instance.clone(), presence: text }.emit();
            self.set_presence(instance, incarnation, presence).await?;
        }
        Ok(())
    }

    fn presence_changes(&self) -> Vec<(Instance, u64, Presence)> {
        let now = self.clock.now();
        let mut hubs = self.hubs.borrow_mut();
        hubs.begin_term(self.replica.status().term, now);
        let lease = self.lease;
        hubs.hubs.retain(|_, hub| now.since(hub.heard_at) < lease);
        hubs.announced_at.retain(|_, at| now.since(*at) < lease);
        let lease_passed = now.since(hubs.term_start) >= lease;
        let state = self.replica.state();
        let changes = state.endpoints().values().filter_map(|endpoint| {
            let instance = &endpoint.place.instance;
            let has_session = hubs.has_session(instance, endpoint.incarnation);
            if has_session {
                hubs.clear_away(instance);
            }
            let presence = match endpoint.presence {
                Presence::Down if has_session => Presence::Up,
                Presence::Up
                    if !has_session
                        && lease_passed
                        && !hubs.announced_at.contains_key(instance) =>
                {
                    Presence::Down
                }
                Presence::Draining
                    if !has_session && lease_passed && hubs.time_away(instance, now) >= lease =>
                {
                    Presence::Down
                }
                _ => return None,
            };
            Some((instance.clone(), endpoint.incarnation, presence))
        });
        changes.collect()
    }
}
