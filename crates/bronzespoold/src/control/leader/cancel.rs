//! Gathers cancellations that arrive together into one record.

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

/// Time for which a wave gathers after its first cancellation.
const GATHER: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Wave {
    jobs: Vec<Job>,
    waiting: Vec<oneshot::Sender<Result<()>>>,
}

/// Cancellations that wait for the next record.
#[derive(Default)]
pub(super) struct Cancels {
    wave: RefCell<Wave>,
    begun: Notify,
}

impl Cancels {
    fn add(&self, jobs: Vec<Job>) -> oneshot::Receiver<Result<()>> {
        let (done, wait) = oneshot::channel();
        let mut wave = self.wave.borrow_mut();
        wave.jobs.extend(jobs);
        wave.waiting.push(done);
        self.begun.notify_one();
        wait
    }
}

impl Leader {
    pub(super) async fn cancel(&self, jobs: Vec<Job>) -> CallResult {
        self.replica.read().await?;
        let unknown = jobs.iter().find(|j| self.replica.state().book().job(j).is_none()).cloned();
        if let Some(job) = unknown {
            return Err(Refusal::new(Code::UnknownJob, format!("no job {job}")));
        }
        let done = self.cancels.add(jobs);
        done.await.unwrap_or_else(|_| Err(Code::Internal.into()))?;
        Ok(Reply::Acknowledged)
    }

    /// Records waves of cancellations, for as long as this process lives.
    pub(in crate::control) async fn run_cancels(self: Rc<Self>) {
        loop {
            self.cancels.begun.notified().await;
            sleep(GATHER).await;
            let wave = self.cancels.wave.take();
            if wave.jobs.is_empty() {
                continue;
            }
            let result = self.commit_events(vec![Event::Cancelled { jobs: wave.jobs }]).await;
            for waiting in wave.waiting {
                let _ = waiting.send(result.clone());
            }
        }
    }
}
