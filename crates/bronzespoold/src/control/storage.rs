//! Makes the log's writes durable on a thread of its own.

use {
    bronzespool::consensus::{Error, Storage, StorageWrite, WriteBatchId},
    std::{sync::mpsc, thread},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// A batch of writes and the ticket to report when it is durable.
type Batch = (Vec<StorageWrite>, WriteBatchId);
/// What the thread reports.
pub(super) type Synced = Result<WriteBatchId, Error>;

/// The thread that writes and syncs. Batches that arrive during a sync go into the next one.
pub(super) struct Writer {
    batches: mpsc::Sender<Batch>,
    synced: UnboundedReceiver<Synced>,
}

impl Writer {
    /// Starts the thread; it ends with the writer.
    pub(super) fn start<S: Storage + Send + 'static>(storage: S) -> Self {
        let (batches, queue) = mpsc::channel();
        let (report, synced) = unbounded_channel();
        thread::spawn(move || work(storage, &queue, &report));
        Self { batches, synced }
    }

    /// Hands over a batch.
    pub(super) fn write(&self, writes: Vec<StorageWrite>, ticket: WriteBatchId) {
        // The thread ends early only after an error, which it has reported.
        let _ = self.batches.send((writes, ticket));
    }

    /// Waits for the next batch to be durable, or for the error that ended the thread.
    pub(super) async fn synced(&mut self) -> Option<Synced> {
        self.synced.recv().await
    }
}

fn work<S: Storage>(
    mut storage: S,
    queue: &mpsc::Receiver<Batch>,
    report: &UnboundedSender<Synced>,
) {
    while let Ok((mut writes, mut ticket)) = queue.recv() {
        while let Ok((more, later)) = queue.try_recv() {
            writes.extend(more);
            ticket = later;
        }
        let result = storage.write(&writes).map(|()| ticket);
        let failed = result.is_err();
        if report.send(result).is_err() || failed {
            return;
        }
    }
}
