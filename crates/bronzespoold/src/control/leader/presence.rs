//! Which hubs are in contact and which agents they hold.

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

/// What the leader knows of one hub.
#[derive(Clone, Debug)]
struct HubState {
    heard: Time,
    acked: u64,
    serial: u64,
    agents: Vec<(Instance, u64)>,
}

/// All hubs, as heard in one term. A new leader starts with none and waits one lease before it
/// takes silence for absence.
#[derive(Clone, Debug, Default)]
pub(super) struct Hubs {
    term: u64,
    since: Time,
    hubs: BTreeMap<Instance, HubState>,
    /// Since when agents that closed their sessions themselves are away.
    away: BTreeMap<Instance, Time>,
    /// When agents were last announced: their hubs tell of the sessions a moment later.
    announced: BTreeMap<Instance, Time>,
}

impl Hubs {
    fn begin(&mut self, term: u64, now: Time) {
        if self.term != term {
            *self = Self { term, since: now, ..Self::default() };
        }
    }

    /// Whether the agent's session is known at some hub.
    fn hold(&self, instance: &Instance, incarnation: u64) -> bool {
        let held = |h: &HubState| h.agents.iter().any(|(i, n)| i == instance && *n == incarnation);
        self.hubs.values().any(held)
    }

    /// How long a draining agent has been away. Its worker's tasks run on under their leases, so a
    /// restart is no loss of the worker.
    fn away(&mut self, instance: &Instance, now: Time) -> Duration {
        now.since(*self.away.entry(instance.clone()).or_insert(now))
    }

    pub(super) fn announce(&mut self, instance: &Instance, now: Time) {
        self.announced.insert(instance.clone(), now);
    }

    fn is_back(&mut self, instance: &Instance) {
        self.away.remove(instance);
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
        hubs.begin(self.replica.status().term, now);
        let new = || HubState { heard: now, acked: 0, serial: 0, agents: Vec::new() };
        let hub = hubs.hubs.entry(progress.hub).or_insert_with(new);
        hub.heard = now;
        hub.acked = progress.acked;
        if let Some(agents) = progress.agents {
            hub.serial = progress.serial;
            hub.agents = agents;
        }
        Ok(Reply::Progressed { known: hub.serial })
    }

    /// Whether the entry that made `revision` is acknowledged by every session that may be open.
    pub(super) async fn in_force(&self, revision: u64) -> CallResult {
        self.replica.read().await?;
        Ok(Reply::InForce(self.is_in_force(revision)))
    }

    pub(super) fn is_in_force(&self, revision: u64) -> bool {
        let state = self.replica.state();
        if state.config().config().revision < revision {
            return false;
        }
        let index = state.config_index();
        let now = self.clock.now();
        let mut hubs = self.hubs.borrow_mut();
        let status = self.replica.status();
        hubs.begin(status.term, now);
        status.members.iter().all(|member| match hubs.hubs.get(&member.name) {
            Some(hub) if now.since(hub.heard) < self.lease => hub.acked >= index,
            Some(_) => true,
            None => now.since(hubs.since) >= self.lease,
        })
    }

    /// Brings the recorded presence of each agent to what the hubs tell.
    pub(super) async fn follow_presence(&self) -> Result<()> {
        for (instance, incarnation, presence) in self.presence_changes() {
            let told = format!("{presence:?}");
            event::PresenceChanged { instance: instance.clone(), presence: told }.emit();
            self.set_presence(instance, incarnation, presence).await?;
        }
        Ok(())
    }

    fn presence_changes(&self) -> Vec<(Instance, u64, Presence)> {
        let now = self.clock.now();
        let mut hubs = self.hubs.borrow_mut();
        hubs.begin(self.replica.status().term, now);
        let lease = self.lease;
        hubs.hubs.retain(|_, hub| now.since(hub.heard) < lease);
        hubs.announced.retain(|_, at| now.since(*at) < lease);
        let settled = now.since(hubs.since) >= lease;
        let state = self.replica.state();
        let wanted = state.peers().values().filter_map(|peer| {
            let instance = &peer.place.instance;
            let held = hubs.hold(instance, peer.incarnation);
            if held {
                hubs.is_back(instance);
            }
            let presence = match peer.presence {
                Presence::Down if held => Presence::Up,
                Presence::Up if !held && settled && !hubs.announced.contains_key(instance) => {
                    Presence::Down
                }
                Presence::Draining if !held && settled && hubs.away(instance, now) >= lease => {
                    Presence::Down
                }
                _ => return None,
            };
            Some((instance.clone(), peer.incarnation, presence))
        });
        wanted.collect()
    }
}
