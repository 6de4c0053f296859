//! Why jobs wait: explanations and log lines.

use {
    crate::{
        control::batch::BatchController,
        telemetry::{Event as _, event},
    },
    bronzespool::batch::{
        JobId,
        plan::{ClusterView, explain_wait},
    },
};

impl BatchController {
    /// Tells why a step of a job waits, to follow the explanation of its phase; empty if none does.
    pub(super) fn explain_wait(&self, id: JobId) -> String {
        let view = self.cluster_view();
        let state = self.replica.state();
        let external = self.external.borrow();
        let waiting = explain_wait(state.batch(), &view, &external.inquiries, id);
        waiting.map_or_else(String::new, |w| format!("; step {} waits: {}", w.step, w.cause))
    }

    /// Logs and counts steps that have begun to wait for long, or wait for another cause than before.
    pub(super) fn report_waits(&self, view: &ClusterView) {
        let state = self.replica.state();
        let external = self.external.borrow();
        let mut report = self.waits.borrow_mut();
        for waiting in report.update(state.batch(), view, &external.inquiries) {
            let cause = waiting.cause.name();
            metrics::counter!("bronzespool_batch_long_waits_total", "cause" => cause).increment(1);
            event::StepWaits {
                job: waiting.step.job,
                step: waiting.step,
                waited_ms: u64::try_from(waiting.waited.as_millis()).unwrap_or(u64::MAX),
                cause: waiting.cause.to_string(),
            }
            .emit();
        }
    }
}
