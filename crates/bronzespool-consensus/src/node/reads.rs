//! Linearizable reads, by lease or by a round of heartbeats.

use {
    super::{Node, RoleState},
    crate::{entry::Index, error::Result},
    bronzespool_core::Time,
};

/// Result of a read request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadResult {
    /// Request ID passed to [`Node::read`].
    pub request_id: u64,
    /// Index at or after which the state may be read, or `None` if leadership was lost.
    pub index: Option<Index>,
}

/// A read request that waits for a quorum.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    request_id: u64,
    index: Index,
    round: u64,
}

impl Node {
    /// Whether the embedder's state is current at `now`: no other leader can exist yet, and
    /// [`super::Ready::committed`] has contained every entry of earlier terms. An embedder that
    /// applies these entries before it calls this method may then read its state.
    pub fn has_lease(&self, now: Time) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        self.applied >= leader.first_index && self.leads_alone(now)
    }

    /// Whether the leader's commit index is current at `now`, because no other leader can exist
    /// yet. The entries up to it may still have to be applied.
    fn has_commit_lease(&self, now: Time) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        self.commit >= leader.first_index && self.leads_alone(now)
    }

    /// Whether a quorum does not help to elect another leader before `now`.
    fn leads_alone(&self, now: Time) -> bool {
        let is_alone = self.log.membership().has_quorum(|id| id == self.hard_state.id);
        is_alone || self.quorum_contact().is_some_and(|at| now < at + self.settings.lease_duration)
    }

    /// Requests a read of the current state. [`super::Ready::reads`] returns the result.
    pub fn read(&mut self, now: Time, request_id: u64) -> Result<()> {
        self.advance_clock(now);
        self.check_leader()?;
        if self.has_commit_lease(self.now) {
            self.output.reads.push(ReadResult { request_id, index: Some(self.commit) });
            return Ok(());
        }
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role_state else { return Ok(()) };
        leader.read_waiting = true;
        let index = commit.max(leader.first_index);
        leader.reads.push(PendingRead { request_id, index, round: leader.round + 1 });
        Ok(())
    }

    /// Answers the reads whose heartbeat round a quorum has acknowledged.
    pub(super) fn answer_reads(&mut self) {
        let round = self.quorum_round();
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let is_answerable = |p: &PendingRead| p.round <= round && p.index <= commit;
        let reads = leader.reads.iter().filter(|p| is_answerable(p));
        let answers = reads.map(|p| ReadResult { request_id: p.request_id, index: Some(p.index) });
        self.output.reads.extend(answers);
        leader.reads.retain(|p| !is_answerable(p));
    }

    /// Fails all pending reads.
    pub(super) fn fail_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let failed =
            leader.reads.drain(..).map(|p| ReadResult { request_id: p.request_id, index: None });
        self.output.reads.extend(failed);
    }
}
