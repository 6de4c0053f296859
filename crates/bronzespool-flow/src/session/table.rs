//! The sessions of one hub.

use {
    bronzespool_core::{HashMap, Instance, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Identity of a session at its hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// A session that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedSession {
    /// The session.
    pub id: SessionId,
    /// Its holder.
    pub instance: Instance,
    /// Incarnation of the holder, zero for an entry.
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
struct OpenSession {
    instance: Instance,
    incarnation: u64,
    acked: u64,
    ends: Time,
    retired: bool,
}

/// All sessions of one hub with the index that each has acknowledged.
#[derive(Clone, Debug)]
pub struct SessionTable {
    lease: Duration,
    margin: Duration,
    next: u64,
    open: BTreeMap<SessionId, OpenSession>,
    holders: HashMap<Instance, SessionId>,
}

impl SessionTable {
    /// A table whose sessions last `lease`, counted as ended `margin` later.
    pub fn new(lease: Duration, margin: Duration) -> Self {
        Self { lease, margin, next: 1, open: BTreeMap::new(), holders: HashMap::default() }
    }

    /// The span for which a renewal is granted.
    pub const fn lease(&self) -> Duration {
        self.lease
    }

    /// Opens a session. An earlier session of the same instance ends, since its holder asked for
    /// a new one.
    pub fn open(
        &mut self,
        now: Time,
        instance: Instance,
        incarnation: u64,
        acked: u64,
    ) -> SessionId {
        if let Some(old) = self.holders.get(&instance).copied() {
            self.open.remove(&old);
        }
        let id = SessionId(self.next);
        self.next += 1;
        let ends = now + self.lease + self.margin;
        self.holders.insert(instance.clone(), id);
        self.open.insert(id, OpenSession { instance, incarnation, acked, ends, retired: false });
        id
    }

    /// Renews a session. Returns whether it was still open and not retired.
    pub fn renew(&mut self, now: Time, id: SessionId, acked: u64) -> bool {
        let Some(open) = self.open.get_mut(&id) else {
            return false;
        };
        if open.retired || open.ends <= now {
            return false;
        }
        open.ends = now + self.lease + self.margin;
        open.acked = open.acked.max(acked);
        true
    }

    /// Notes that a session holds everything up to an index.
    pub fn ack(&mut self, id: SessionId, acked: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            open.acked = open.acked.max(acked);
        }
    }

    /// Grants no further renewal of a session. Until its time has passed its holder may still
    /// take work, so it is counted as open and its acknowledgement stands.
    pub fn retire(&mut self, id: SessionId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.retired = true;
        }
    }

    /// The index that an open session has acknowledged.
    pub fn acked_by(&self, id: SessionId) -> Option<u64> {
        self.open.get(&id).map(|o| o.acked)
    }

    /// Whether a session is open.
    pub fn is_open(&self, id: SessionId) -> bool {
        self.open.contains_key(&id)
    }

    /// Ends a session at its holder's wish.
    pub fn close(&mut self, id: SessionId) -> Option<EndedSession> {
        let open = self.open.remove(&id)?;
        if self.holders.get(&open.instance) == Some(&id) {
            self.holders.remove(&open.instance);
        }
        Some(EndedSession { id, instance: open.instance, incarnation: open.incarnation })
    }

    /// Ends the sessions whose time has passed.
    pub fn expire(&mut self, now: Time) -> Vec<EndedSession> {
        let due = self.open.iter().filter(|(_, o)| o.ends <= now).map(|(id, _)| *id);
        let due: Vec<_> = due.collect();
        due.into_iter().filter_map(|id| self.close(id)).collect()
    }

    /// The lowest index that any open session has acknowledged, or `None` without sessions.
    pub fn lowest_acked(&self) -> Option<u64> {
        self.open.values().map(|o| o.acked).min()
    }

    /// Whether this session is the instance's open one.
    pub fn has_session(&self, instance: &Instance, incarnation: u64) -> bool {
        let id = self.holders.get(instance);
        id.and_then(|id| self.open.get(id)).is_some_and(|o| o.incarnation == incarnation)
    }

    /// Number of open sessions.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
