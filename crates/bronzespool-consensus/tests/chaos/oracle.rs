//! Invariants that must hold under any fault.

use {
    bronzespool_consensus::{Entry, EntryPayload, Index, Membership, ReplicaId, Term},
    std::collections::BTreeMap,
};

/// Replicated state machine whose state is a digest of all commands in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateMachine {
    pub index: Index,
    pub digest: u32,
}

impl StateMachine {
    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index, self.index + 1, "gap before an applied entry");
        self.index = entry.index;
        if let Some(data) = entry.command() {
            let mut hasher = crc32fast::Hasher::new_with_initial(self.digest);
            hasher.update(data);
            self.digest = hasher.finalize();
        }
    }

    pub fn encode(self) -> Vec<u8> {
        let (index, digest) = (self.index.to_le_bytes(), self.digest.to_le_bytes());
        index.into_iter().chain(digest).collect()
    }

    pub fn decode(bytes: &[u8]) -> Self {
        let index = Index::from_le_bytes(bytes[..8].try_into().unwrap());
        let digest = u32::from_le_bytes(bytes[8..].try_into().unwrap());
        Self { index, digest }
    }
}

/// A replica that holds the lease at this moment.
#[derive(Clone, Copy, Debug)]
pub struct LeaseHolder {
    pub term: Term,
    pub id: ReplicaId,
    /// Last index applied to its state machine.
    pub index: Index,
}

/// Everything that any replica has reported as committed.
#[derive(Default)]
pub struct Oracle {
    entries: Vec<Entry>,
    states: Vec<StateMachine>,
    leaders: BTreeMap<Term, ReplicaId>,
    /// Commit index known to any replica when the read was requested.
    reads: BTreeMap<u64, Index>,
}

impl Oracle {
    /// Last index that any replica has reported as committed.
    pub fn commit(&self) -> Index {
        self.entries.len() as Index
    }

    pub fn record_applied(&mut self, entry: &Entry, state_machine: StateMachine) {
        let at = usize::try_from(entry.index).unwrap() - 1;
        if at == self.entries.len() {
            self.entries.push(entry.clone());
            self.states.push(state_machine);
        }
        assert_eq!(&self.entries[at], entry, "two entries committed at one index");
        assert_eq!(self.states[at], state_machine, "states differ after one index");
    }

    pub fn check_snapshot(&self, state_machine: StateMachine) {
        let at = usize::try_from(state_machine.index).unwrap() - 1;
        assert_eq!(
            self.states[at], state_machine,
            "a snapshot differs from the state at its index"
        );
    }

    pub fn record_leader(&mut self, term: Term, id: ReplicaId) {
        let leader = *self.leaders.entry(term).or_insert(id);
        assert_eq!(leader, id, "two leaders in term {term}");
    }

    pub fn check_leases(&self, holders: impl Iterator<Item = LeaseHolder>) {
        let holders: Vec<_> = holders.collect();
        assert!(holders.len() < 2, "two replicas hold the lease: {holders:?}");
        for holder in holders {
            let commit = self.commit();
            let LeaseHolder { term, id, index } = holder;
            assert!(
                index >= commit,
                "state behind a lease: {id} in term {term} has applied {index} of {commit}"
            );
        }
    }

    /// Checks that an identity that stops for good was removed by a committed entry.
    pub fn check_retired(&self, id: ReplicaId) {
        let is_removed = self.members().is_some_and(|m| m.is_retired(id));
        assert!(is_removed, "{id} has stopped before its removal was committed");
    }

    pub fn record_read(&mut self, request_id: u64) {
        self.reads.insert(request_id, self.commit());
    }

    pub fn check_read(&self, request_id: u64, index: Index) {
        assert!(
            index >= self.reads[&request_id],
            "stale read: {index} < {}",
            self.reads[&request_id]
        );
    }

    /// Index of the first command committed after `after`.
    pub fn first_command(&self, after: Index) -> Option<Index> {
        let entries = self.entries.iter().find(|e| e.index > after && e.command().is_some());
        entries.map(|e| e.index)
    }

    /// The last committed membership.
    pub fn members(&self) -> Option<&Membership> {
        self.last_membership().map(|(_, members)| members)
    }

    /// The last committed membership and its index.
    pub fn last_membership(&self) -> Option<(Index, &Membership)> {
        self.entries.iter().rev().find_map(|e| match &e.payload {
            EntryPayload::Membership(members) => Some((e.index, members)),
            EntryPayload::Noop | EntryPayload::Command(_) => None,
        })
    }
}
