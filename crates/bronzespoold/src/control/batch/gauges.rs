//! Gauges in the leader's metrics: queued jobs and the agents in contact.

use {
    crate::control::batch::BatchController,
    bronzespool::batch::{Ledger, Phase, message::Poll},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two measurements, each of which iterates over all jobs.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

impl BatchController {
    /// Updates the gauges for as long as this process lives.
    pub(in crate::control) async fn run_gauges(self: Rc<Self>) {
        loop {
            if self.replica.leads() {
                self.update_gauges();
            }
            sleep(MEASURE_INTERVAL).await;
        }
    }

    fn update_gauges(&self) {
        let state = self.replica.state();
        let ledger = state.batch();
        let now = self.replica.log_time();
        let queued = || ledger.jobs().filter(|j| j.phase == Phase::Queued);
        let oldest = queued().map(|j| now.since(j.submitted)).max().unwrap_or_default();
        metrics::gauge!("bronzespool_batch_queued_jobs").set(queued().count() as f64);
        metrics::gauge!("bronzespool_batch_oldest_seconds").set(oldest.as_secs_f64());
        for center in ledger.centers() {
            let drained = ledger.drains().is_drained(center);
            let gauge =
                metrics::gauge!("bronzespool_batch_center_drained", "center" => center.to_string());
            gauge.set(f64::from(u8::from(drained)));
        }
        let now = self.clock.now();
        let agents = self.agents.borrow();
        let responsive = agents.contacts.in_contact(now).count();
        metrics::gauge!("bronzespool_batch_agents_heard").set(responsive as f64);
    }
}

/// Records the tail latency of serving runs as a fraction of their bounds.
pub(super) fn record_tail_latencies(ledger: &Ledger, poll: &Poll) {
    for status in &poll.running {
        let step = status.run.task.step;
        let spec = ledger.job(step.job).and_then(|j| j.step_spec(step.step));
        if let Some(bound) = spec.map(|s| s.latency_bound).filter(|t| *t > 0) {
            // The usage of a latency-sensitive run is its tail latency in milliseconds.
            let ratio = status.usage as f64 / bound as f64;
            metrics::histogram!("bronzespool_batch_tail_of_target").record(ratio);
        }
    }
}
