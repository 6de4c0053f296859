//! Makes the log's writes durable on a separate thread.

use {
    bronzespool::consensus::{Error, Storage, StorageWrite, WriteBatchId},
    std::{sync::mpsc, thread},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// A batch of writes, and the id to report when it is durable.
type WriteBatch = (Vec<StorageWrite>, WriteBatchId);
/// Id of the last batch that is now durable, or the error that ended the thread.
pub(super) type Synced = Result<WriteBatchId, Error>;

/// The thread that writes and syncs. Batches that arrive during a sync are merged into the next
/// write.
pub(super) struct Writer {
    batches: mpsc::Sender<WriteBatch>,
    synced: UnboundedReceiver<Synced>,
}

impl Writer {
    /// Starts the thread, which ends when the writer is dropped.
    pub(super) fn start<S: Storage + Send + 'static>(storage: S) -> Self {
        let (batches, queue) = mpsc::channel();
        let (report, synced) = unbounded_channel();
        thread::spawn(move || write_loop(storage, &queue, &report));
        Self { batches, synced }
    }

    /// Queues a batch.
    pub(super) fn write(&self, writes: Vec<StorageWrite>, batch_id: WriteBatchId) {
        // The thread ends early only after an error, which it has reported.
        let _ = self.batches.send((writes, batch_id));
    }

    /// Waits for the next batch to be durable, or for the error that ended the thread.
    pub(super) async fn synced(&mut self) -> Option<Synced> {
        self.synced.recv().await
    }
}

fn write_loop<S: Storage>(
    mut storage: S,
    queue: &mpsc::Receiver<WriteBatch>,
    report: &UnboundedSender<Synced>,
) {
    while let Ok((mut writes, mut batch_id)) = queue.recv() {
        while let Ok((next_writes, next_id)) = queue.try_recv() {
            writes.extend(next_writes);
            batch_id = next_id;
        }
        let result = storage.write(&writes).map(|()| batch_id);
        let failed = result.is_err();
        if report.send(result).is_err() || failed {
            return;
        }
    }
}
