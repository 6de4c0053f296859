//! What the leader shows on its metrics address beside counters: who waits, who is heard.

use {
    crate::control::batch::{Batch, agents::SILENCE},
    bronzespool::batch::{Ledger, Phase, message::Poll},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Time between two looks: a look goes over all jobs.
const LOOK: Duration = Duration::from_secs(1);

impl Batch {
    /// Measures for as long as this process lives.
    pub(in crate::control) async fn run_gauges(self: Rc<Self>) {
        loop {
            if self.replica.leads() {
                self.measure();
            }
            sleep(LOOK).await;
        }
    }

    fn measure(&self) {
        let state = self.replica.state();
        let ledger = state.batch();
        let now = self.replica.log_time();
        let queued = || ledger.jobs().filter(|j| j.phase == Phase::Queued);
        let oldest = queued().map(|j| now.since(j.submitted)).max().unwrap_or_default();
        metrics::gauge!("bronzespool_batch_queued_jobs").set(queued().count() as f64);
        metrics::gauge!("bronzespool_batch_oldest_seconds").set(oldest.as_secs_f64());
        let now = self.clock.now();
        let agents = self.agents.borrow();
        let heard = agents.views.values().filter(|v| now.since(v.seen) < SILENCE).count();
        metrics::gauge!("bronzespool_batch_agents_heard").set(heard as f64);
    }
}

/// Records how the tail latency of what serves stands to its bound.
pub(super) fn tails(ledger: &Ledger, poll: &Poll) {
    for held in &poll.running {
        let step = held.run.task.step;
        let shape = ledger.job(step.job).and_then(|j| j.step_spec(step.step));
        if let Some(target) = shape.map(|s| s.latency_bound).filter(|t| *t > 0) {
            let share = held.usage as f64 / target as f64;
            metrics::histogram!("bronzespool_batch_tail_of_target").record(share);
        }
    }
}
