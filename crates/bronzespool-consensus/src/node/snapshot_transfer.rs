//! Transfer of snapshots from the leader to a replica, in chunks.

use {
    super::{Node, RoleState, progress::ReplicationMode},
    crate::{
        entry::{Index, ReplicaId},
        log::Log,
        message::MessageBody,
        snapshot::{Snapshot, SnapshotAssembly, SnapshotMeta},
        storage::StorageWrite,
    },
    bronzespool_core::Instance,
    std::sync::Arc,
};

impl Node {
    pub(super) fn start_transfer(&mut self, id: ReplicaId) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.peers.get_mut(&id) else { return };
        progress.mode = ReplicationMode::Snapshot { snapshot, offset: 0, in_flight: false };
        self.send_chunk(id);
    }

    pub(super) fn resume_transfers(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let ids: Vec<ReplicaId> = leader.peers.keys().copied().collect();
        for id in ids {
            self.send_chunk(id);
        }
    }

    fn send_chunk(&mut self, id: ReplicaId) {
        let max = self.settings.chunk_bytes;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.peers.get_mut(&id) else { return };
        let ReplicationMode::Snapshot { snapshot, offset, in_flight } = &mut progress.mode else {
            return;
        };
        if *in_flight {
            return;
        }
        *in_flight = true;
        let Some(bytes) = snapshot.chunk(*offset, max) else { return };
        let body =
            MessageBody::SnapshotChunk { meta: snapshot.meta.clone(), offset: *offset, bytes };
        self.send(id, body);
    }

    pub(super) fn on_chunk_request(&mut self, id: ReplicaId, index: Index, wanted: u64) {
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.peers.get_mut(&id) else { return };
        progress.last_contact = Some(now);
        let ReplicationMode::Snapshot { snapshot, offset, in_flight } = &mut progress.mode else {
            return;
        };
        if snapshot.meta.index != index || *offset == wanted {
            return;
        }
        (*offset, *in_flight) = (wanted, false);
        progress.last_progress = now;
        self.send_chunk(id);
    }

    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: &Instance,
        id: ReplicaId,
        meta: SnapshotMeta,
        offset: u64,
        bytes: &[u8],
    ) {
        if self.is_leader() {
            return;
        }
        self.follow_leader(id);
        if meta.index <= self.commit {
            self.assembly = None;
            self.send_synced(from, id, self.hard_state.term, MessageBody::Matched(self.commit));
            return;
        }
        if self.assembly.as_ref().is_none_or(|a| *a.meta() != meta) {
            self.assembly = SnapshotAssembly::new(meta);
        }
        let Some(assembly) = &mut self.assembly else { return };
        assembly.push(offset, bytes);
        let (index, wanted) = (assembly.meta().index, assembly.offset());
        if !assembly.is_complete() {
            self.send_to(
                from,
                id,
                self.hard_state.term,
                MessageBody::ChunkRequest { index, offset: wanted },
            );
            return;
        }
        let Some(Ok(snapshot)) = self.assembly.take().map(SnapshotAssembly::finish) else {
            self.send_to(
                from,
                id,
                self.hard_state.term,
                MessageBody::ChunkRequest { index, offset: 0 },
            );
            return;
        };
        self.install(snapshot);
        self.send_synced(from, id, self.hard_state.term, MessageBody::Matched(index));
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        let (index, term) = (snapshot.meta.index, snapshot.meta.term);
        self.push_write(StorageWrite::Snapshot(snapshot.clone()));
        if self.log.term(index) == Some(term) {
            self.log.compact(index);
        } else {
            self.log = Log::new(index, term, snapshot.meta.membership.clone());
            self.output.reset_to(index);
        }
        self.commit = index;
        self.applied = index;
        self.snapshot = Some(snapshot.clone());
        self.output.snapshot = Some(snapshot);
    }
}
