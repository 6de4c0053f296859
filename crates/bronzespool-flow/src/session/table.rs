//! The hub's side of its sessions.

use {
    bronzespool_core::{HashMap, Instance, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Identifies a session at its hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// A session that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedSession {
    /// The session that ended.
    pub id: SessionId,
    /// Instance of the holder.
    pub instance: Instance,
    /// Incarnation of the holder; zero for an entry.
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
struct OpenSession {
    instance: Instance,
    incarnation: u64,
    acked: u64,
    expires_at: Time,
    retired: bool,
}

/// The open sessions of one hub, each with the log index that its holder has acknowledged.
#[derive(Clone, Debug)]
pub struct SessionTable {
    lease: Duration,
    margin: Duration,
    next_id: u64,
    sessions: BTreeMap<SessionId, OpenSession>,
    holders: HashMap<Instance, SessionId>,
}

impl SessionTable {
    /// An empty table. A renewal grants `lease`; the hub ends the session `margin` later.
    pub fn new(lease: Duration, margin: Duration) -> Self {
        Self { lease, margin, next_id: 1, sessions: BTreeMap::new(), holders: HashMap::default() }
    }

    /// Duration of the lease that a renewal grants.
    pub const fn lease(&self) -> Duration {
        self.lease
    }

    /// Opens a session. An earlier session of the same instance ends, because its holder has asked
    /// for a new one.
    pub fn open(
        &mut self,
        now: Time,
        instance: Instance,
        incarnation: u64,
        acked: u64,
    ) -> SessionId {
        if let Some(old) = self.holders.get(&instance).copied() {
            self.sessions.remove(&old);
        }
        let id = SessionId(self.next_id);
        self.next_id += 1;
        let expires_at = now + self.lease + self.margin;
        self.holders.insert(instance.clone(), id);
        self.sessions
            .insert(id, OpenSession { instance, incarnation, acked, expires_at, retired: false });
        id
    }

    /// Renews a session. Returns false if it has ended, has expired or is retired.
    pub fn renew(&mut self, now: Time, id: SessionId, acked: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else {
            return false;
        };
        if session.retired || session.expires_at <= now {
            return false;
        }
        session.expires_at = now + self.lease + self.margin;
        session.acked = session.acked.max(acked);
        true
    }

    /// Records that the holder has applied everything up to the index `acked`.
    pub fn ack(&mut self, id: SessionId, acked: u64) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.acked = session.acked.max(acked);
        }
    }

    /// Refuses further renewals of a session. Its holder may accept work until the lease ends, so
    /// until then the session stays open and its acknowledged index counts.
    pub fn retire(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.retired = true;
        }
    }

    /// The index that an open session has acknowledged, or `None` if it is not open.
    pub fn acked_by(&self, id: SessionId) -> Option<u64> {
        self.sessions.get(&id).map(|s| s.acked)
    }

    /// Whether a session is open.
    pub fn is_open(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// Whether a session of this instance is open.
    pub fn holds(&self, instance: &Instance) -> bool {
        self.holders.get(instance).is_some_and(|id| self.sessions.contains_key(id))
    }

    /// Ends a session at the request of its holder.
    pub fn close(&mut self, id: SessionId) -> Option<EndedSession> {
        let session = self.sessions.remove(&id)?;
        if self.holders.get(&session.instance) == Some(&id) {
            self.holders.remove(&session.instance);
        }
        Some(EndedSession { id, instance: session.instance, incarnation: session.incarnation })
    }

    /// Ends the sessions whose lease and margin have passed.
    pub fn expire(&mut self, now: Time) -> Vec<EndedSession> {
        let due = self.sessions.iter().filter(|(_, s)| s.expires_at <= now).map(|(id, _)| *id);
        let due: Vec<_> = due.collect();
        due.into_iter().filter_map(|id| self.close(id)).collect()
    }

    /// The lowest index that any open session has acknowledged, or `None` if no session is open.
    pub fn lowest_acked(&self) -> Option<u64> {
        self.sessions.values().map(|s| s.acked).min()
    }

    /// Whether this incarnation of the instance holds an open session.
    pub fn has_session(&self, instance: &Instance, incarnation: u64) -> bool {
        let id = self.holders.get(instance);
        id.and_then(|id| self.sessions.get(id)).is_some_and(|s| s.incarnation == incarnation)
    }

    /// Number of open sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}
