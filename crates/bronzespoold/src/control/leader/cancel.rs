//! Collects cancellations that arrive together into one log record.

use {
    crate::control::{leader::calls::Leader, replica::Result},
    bronzespool::{
        core::{Code, Job, Refusal},
        schedule::Event,
        wire::message::{CallResult, Reply},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::{
        sync::{Notify, oneshot},
        time::sleep,
    },
};

/// Time for which cancellations are collected after the first one of a batch.
const COLLECT_TIME: Duration = Duration::from_millis(10);

#[derive(Default)]
struct CancelBatch {
    jobs: Vec<Job>,
    waiters: Vec<oneshot::Sender<Result<()>>>,
}

/// Cancellations that wait for the next log record.
#[derive(Default)]
pub(super) struct CancelQueue {
    batch: RefCell<CancelBatch>,
    started: Notify,
}

impl CancelQueue {
    fn add(&self, jobs: Vec<Job>) -> oneshot::Receiver<Result<()>> {
        let (done, wait) = oneshot::channel();
        let mut batch = self.batch.borrow_mut();
        batch.jobs.extend(jobs);
        batch.waiters.push(done);
        self.started.notify_one();
        wait
    }
}

impl Leader {
    pub(super) async fn cancel(&self, jobs: Vec<Job>) -> CallResult {
        self.replica.read_barrier().await?;
        let unknown =
            jobs.iter().find(|j| self.replica.state().scheduler().job(j).is_none()).cloned();
        if let Some(job) = unknown {
            return Err(Refusal::new(Code::UnknownJob, format!("no job {job}")));
        }
        let done = self.cancel_queue.add(jobs);
        done.await.unwrap_or_else(|_| Err(Code::Internal.into()))?;
        Ok(Reply::Acknowledged)
    }

    /// Commits batches of cancellations, for as long as this process lives.
    pub(in crate::control) async fn run_cancels(self: Rc<Self>) {
        loop {
            self.cancel_queue.started.notified().await;
            sleep(COLLECT_TIME).await;
            let batch = self.cancel_queue.batch.take();
            if batch.jobs.is_empty() {
                continue;
            }
            let result = self.commit_events(vec![Event::Cancelled { jobs: batch.jobs }]).await;
            for waiter in batch.waiters {
                let _ = waiter.send(result.clone());
            }
        }
    }
}
