//! One replica of the log. Its inputs are times and messages, its output is a [`Ready`].

mod append;
mod election;
mod join;
mod leader;
mod leadership_transfer;
mod output;
mod progress;
mod reads;
mod replicate;
mod snapshot_transfer;
mod start_wait;
mod status;

pub use self::{
    output::{Ready, WriteBatchId},
    reads::ReadResult,
    status::{ReplicaStatus, Role, Status},
};

use {
    self::{join::JoinState, leader::LeaderState, output::PendingOutput, start_wait::StartWait},
    crate::{
        entry::{Entry, EntryPayload, Index, ReplicaId, Term},
        error::{Error, Result},
        log::Log,
        membership::Membership,
        message::{Message, MessageBody},
        settings::Settings,
        snapshot::{Snapshot, SnapshotAssembly},
        storage::{DurableState, HardState, StorageWrite},
    },
    bronzespool_core::{Code, Instance, Time},
    std::sync::Arc,
};

/// Role of a replica in the current term, with the state of that role.
#[derive(Debug)]
enum RoleState {
    Follower,
    /// Runs a pre-vote, which does not raise the term. Holds the voters that granted it.
    PreCandidate(Vec<ReplicaId>),
    Candidate(Vec<ReplicaId>),
    Leader(Box<LeaderState>),
}

/// A replica of the log.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    hard_state: HardState,
    log: Log,
    commit: Index,
    applied: Index,
    /// Size of the leader's uncommitted entries.
    uncommitted_bytes: usize,
    role_state: RoleState,
    leader: Option<ReplicaId>,
    /// Last contact with a leader, or the start of this process.
    leader_contact: Time,
    /// When this replica starts an election unless a leader contacts it.
    election_deadline: Time,
    output: PendingOutput,
    snapshot: Option<Arc<Snapshot>>,
    assembly: Option<SnapshotAssembly>,
    join: JoinState,
    /// The wait after a start, until a leader is heard from.
    start_wait: Option<StartWait>,
    retired: bool,
}

impl Node {
    /// Opens a replica from the state of its storage. A blank disk is assigned an identity.
    pub fn open(settings: Settings, restored: DurableState, now: Time) -> Result<Self> {
        settings.check()?;
        let snapshot = restored.snapshot;
        let mut log = match &snapshot {
            Some(s) => Log::new(s.meta.index, s.meta.term, s.meta.membership.clone()),
            None => Log::new(0, 0, Membership::default()),
        };
        for entry in restored.entries {
            if entry.index != log.last() + 1 || entry.term < log.last_term() {
                let detail = format!("entry {} is out of order", entry.index);
                return Err(Error::fault(Code::RecordCorrupt, detail));
            }
            log.push(entry);
        }
        if restored.hard_state.is_none() && log.last() > 0 {
            return Err(Error::fault(Code::RecordCorrupt, "the log has entries but no hard state"));
        }
        let rng = fastrand::Rng::with_seed(settings.seed);
        let mut node = Self {
            rng,
            now,
            hard_state: restored.hard_state.unwrap_or_default(),
            commit: log.base(),
            applied: log.base(),
            uncommitted_bytes: 0,
            output: PendingOutput::new(log.last()),
            log,
            role_state: RoleState::Follower,
            leader: None,
            leader_contact: now,
            election_deadline: now,
            snapshot,
            assembly: None,
            join: JoinState::new(now),
            start_wait: None,
            retired: false,
            settings,
        };
        if restored.hard_state.is_none() {
            node.hard_state.id = node.settings.identity;
            node.save_hard_state();
        }
        if node.hard_state.cluster == node.hard_state.id.0 && node.log.last() == 0 {
            // The bootstrap entry was not durable, so no other replica was told about it.
            node.hard_state.cluster = 0;
        }
        node.output.snapshot.clone_from(&node.snapshot);
        node.reset_election_deadline();
        node.begin_start_wait();
        Ok(node)
    }

    /// Identity of this replica's disk.
    pub const fn id(&self) -> ReplicaId {
        self.hard_state.id
    }

    /// Current term of this replica.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this replica is the leader of its term, as far as it knows.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role_state, RoleState::Leader(_))
    }

    /// The leader's instance, if known.
    pub fn leader(&self) -> Option<&Instance> {
        let id = self.leader?;
        self.log.membership().get(id).map(|m| &m.name)
    }

    /// Appends a command to the leader's log. Commands proposed before the next [`Self::ready`]
    /// are written and sent together.
    ///
    /// The returned index alone does not identify the command: it has been accepted once
    /// [`Ready::committed`] contains an entry with this index and the term in which it was
    /// proposed.
    pub fn propose(&mut self, now: Time, payload: impl Into<Vec<u8>>) -> Result<Index> {
        self.advance_clock(now);
        self.check_leader()?;
        let limit = self.settings.backlog_bytes;
        let payload = payload.into();
        if self.uncommitted_bytes + payload.len() > limit {
            return Err(Error::Busy);
        }
        Ok(self.append_entry(EntryPayload::Command(payload.into())))
    }

    /// Removes an instance from the replica set.
    pub fn remove(&mut self, now: Time, name: &Instance) -> Result<Index> {
        self.advance_clock(now);
        self.check_leader()?;
        if !self.may_change_membership() || self.log.membership().is_joint() {
            return Err(Error::MembershipPending);
        }
        let next = self.log.membership().without(name);
        if !next.members.iter().any(|m| m.voter) {
            return Err(Error::fault(Code::ConfigInvalid, "the last voter cannot be removed"));
        }
        Ok(self.append_membership(next))
    }

    /// Processes a message from an instance.
    pub fn receive(&mut self, now: Time, from: &Instance, message: Message) {
        self.advance_clock(now);
        let is_addressed = message.to == ReplicaId(0) || message.to == self.hard_state.id;
        if !is_addressed {
            self.on_message_to_other(from);
            return;
        }
        if !message.is_bounded() {
            return;
        }
        match message.body {
            MessageBody::DiscoveryRequest => self.on_discovery_request(from, &message),
            MessageBody::DiscoveryResponse { retired, listed } => {
                self.on_discovery_response(from, &message, retired, listed);
            }
            MessageBody::Bootstrap(membership) => {
                self.on_bootstrap(message.to, message.cluster, membership);
            }
            MessageBody::MemberNames(names) => self.on_member_names(message.to, names),
            _ => self.receive_from_cluster(from, message),
        }
    }

    /// Processes the passage of time: elections, heartbeats, retransmissions and membership
    /// changes.
    pub fn tick(&mut self, now: Time) {
        self.advance_clock(now);
        self.tick_discovery();
        self.tick_start_wait();
        match self.role_state {
            RoleState::Leader(_) => self.tick_leader(),
            _ if self.now >= self.election_deadline && !self.retired => self.start_pre_vote(),
            _ => {}
        }
    }

    /// When the next call of [`Self::tick`] is due.
    pub fn next_tick(&self) -> Time {
        let due = match &self.role_state {
            RoleState::Leader(leader) => leader.next_heartbeat,
            _ if self.retired => Time::MAX,
            _ => self.election_deadline,
        };
        due.min(self.discovery_due()).min(self.start_query_due())
    }

    /// Reports that the writes of a [`Ready`] and of all earlier ones are durable.
    pub fn synced(&mut self, now: Time, batch_id: WriteBatchId) {
        self.advance_clock(now);
        for message in self.output.mark_synced(batch_id, self.hard_state.id) {
            let name = self.settings.name.clone();
            self.receive(now, &name, message);
        }
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Takes a snapshot that contains the state after the entry at `index`, which must be
    /// applied.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        let snapshot_index = self.snapshot.as_ref().map_or(0, |s| s.meta.index);
        if index <= snapshot_index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let membership = self.log.membership_at(index).clone();
        let snapshot = Arc::new(Snapshot::new(index, term, membership, state));
        self.push_write(StorageWrite::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
        self.log.reset_bytes();
        let by_count = index.saturating_sub(self.settings.trailing_entries).max(self.log.base());
        self.log.compact(self.log.trailing_start(by_count, index, self.settings.trailing_bytes));
    }

    /// Returns the output since the previous call. See [`Ready`].
    pub fn ready(&mut self) -> Ready {
        if self.is_leader() {
            self.flush_leader();
        }
        self.output.stage_entries(&self.log);
        let committed = self.take_committed();
        self.output.take_ready(committed)
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let range = self.applied + 1..=self.commit;
        self.applied = self.commit;
        range.filter_map(|i| self.log.get(i).cloned()).collect()
    }

    fn receive_from_cluster(&mut self, from: &Instance, message: Message) {
        if !self.check_cluster(&message) {
            return;
        }
        if self.is_retired(message.from) {
            let body = MessageBody::DiscoveryResponse { retired: true, listed: false };
            self.send_to(from, message.from, self.hard_state.term, body);
            return;
        }
        let (id, term) = (message.from, message.term);
        match &message.body {
            MessageBody::LeadershipQuery { start } => {
                return self.on_leadership_query(from, id, *start);
            }
            MessageBody::NotLeading { start, membership } => {
                return self.on_not_leading(id, *start, membership);
            }
            _ => {}
        }
        if !self.check_term(from, &message) {
            return;
        }
        match message.body {
            MessageBody::VoteRequest { kind, last_index, last_term } => {
                self.on_vote_request(from, (id, term), kind, (last_term, last_index));
            }
            MessageBody::VoteResponse { kind, granted } => {
                self.on_vote_response(id, term, kind, granted);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(id),
            MessageBody::Append { prev_index, prev_term, commit, entries } => {
                self.on_append(from, id, (prev_index, prev_term), commit, entries);
            }
            MessageBody::Heartbeat { round, commit } => self.on_heartbeat(from, id, round, commit),
            MessageBody::SnapshotChunk { meta, offset, bytes } => {
                self.on_snapshot_chunk(from, id, meta, offset, &bytes);
            }
            MessageBody::Matched(index) => self.on_matched(id, index),
            MessageBody::AppendRejected { prev_index, hint_index, hint_term } => {
                self.on_append_rejected(id, prev_index, (hint_index, hint_term));
            }
            MessageBody::HeartbeatResponse { round } => self.on_heartbeat_response(id, round),
            MessageBody::ChunkRequest { index, offset } => self.on_chunk_request(id, index, offset),
            MessageBody::DiscoveryRequest
            | MessageBody::DiscoveryResponse { .. }
            | MessageBody::Bootstrap(_)
            | MessageBody::MemberNames(_)
            | MessageBody::LeadershipQuery { .. }
            | MessageBody::NotLeading { .. } => {}
        }
    }

    /// Whether the message belongs to this replica's cluster. A blank replica joins the cluster
    /// of a leader that addresses it.
    fn check_cluster(&mut self, message: &Message) -> bool {
        if message.cluster == self.hard_state.cluster && message.cluster != 0 {
            return true;
        }
        let is_from_leader = matches!(
            message.body,
            MessageBody::Append { .. }
                | MessageBody::Heartbeat { .. }
                | MessageBody::SnapshotChunk { .. }
        );
        let is_addressed = message.to == self.hard_state.id && message.cluster != 0;
        if self.hard_state.cluster != 0 || !is_from_leader || !is_addressed {
            return false;
        }
        self.join_cluster(message.cluster);
        true
    }

    /// Whether a committed entry has removed the identity. An identity that learns of its removal
    /// stops for good, so that a removal which may still be undone does not count.
    fn is_retired(&self, id: ReplicaId) -> bool {
        self.log.membership_at(self.commit).is_retired(id)
    }

    fn check_leader(&self) -> Result<()> {
        if self.is_leader() {
            return Ok(());
        }
        Err(Error::NotLeader { leader: self.leader().cloned() })
    }

    /// Total size of the entries in a range of indices.
    fn size_of(&self, range: std::ops::RangeInclusive<Index>) -> usize {
        range.filter_map(|i| self.log.get(i)).map(Entry::size).sum()
    }

    fn append_entry(&mut self, payload: EntryPayload) -> Index {
        let entry = Entry { index: self.log.last() + 1, term: self.hard_state.term, payload };
        self.uncommitted_bytes += entry.size();
        let index = entry.index;
        self.log.push(entry);
        index
    }

    fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Queues a write of the hard state.
    fn save_hard_state(&mut self) {
        let hard_state = self.hard_state;
        self.push_write(StorageWrite::HardState(hard_state));
    }

    fn push_write(&mut self, write: StorageWrite) {
        self.output.stage_entries(&self.log);
        self.output.writes.push(write);
    }

    fn message(&self, to: ReplicaId, term: Term, body: MessageBody) -> Message {
        Message { cluster: self.hard_state.cluster, from: self.hard_state.id, to, term, body }
    }

    /// Sends a message that does not depend on any record.
    fn send_to(&mut self, name: &Instance, to: ReplicaId, term: Term, body: MessageBody) {
        let message = self.message(to, term, body);
        self.output.send(name.clone(), message);
    }

    /// Sends a message once all records written so far are durable.
    fn send_synced(&mut self, name: &Instance, to: ReplicaId, term: Term, body: MessageBody) {
        let message = self.message(to, term, body);
        self.output.defer(name.clone(), message, self.log.last());
    }

    fn send(&mut self, to: ReplicaId, body: MessageBody) {
        let Some(name) = self.log.membership().get(to).map(|m| m.name.clone()) else { return };
        self.send_to(&name, to, self.hard_state.term, body);
    }
}
