//! Overload on the leader: detection before each plan, its log lines and its metrics.

use {
    crate::{
        control::batch::BatchController,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{Ledger, overload::Detector, plan::ClusterView},
        core::HashSet,
    },
    std::sync::Arc,
};

/// What the leader knows of overload beyond the ledger. It is reset at the start of each term.
#[derive(Debug, Default)]
pub(super) struct OverloadState {
    term: u64,
    detector: Detector,
    /// Services that were overloaded at the latest assessment.
    overloaded: HashSet<Arc<str>>,
}

impl OverloadState {
    /// Forgets what was known in an earlier term. Overload follows from the ledger again.
    fn enter_term(&mut self, term: u64) {
        if self.term != term {
            self.report_all_left();
            *self = Self { term, ..Self::default() };
        }
    }

    fn report_all_left(&self) {
        for service in &self.overloaded {
            metrics::gauge!("bronzespool_batch_overloaded", "service" => service.to_string())
                .set(0.0);
        }
    }

    /// Logs and measures which services have become overloaded or are so no longer.
    fn report(&mut self) {
        let now = self.detector.current().overloaded();
        for (service, (priority, class)) in &now {
            let wait_ms = class.wait.as_millis() as u64;
            metrics::gauge!("bronzespool_batch_overload_wait_seconds", "service" => service.to_string())
                .set(class.wait.as_secs_f64());
            if self.overloaded.insert(Arc::clone(service)) {
                metrics::gauge!("bronzespool_batch_overloaded", "service" => service.to_string())
                    .set(1.0);
                event::OverloadEntered {
                    service: Arc::clone(service),
                    priority: *priority,
                    wait_ms,
                    limit_ms: class.limit.as_millis() as u64,
                    jobs: class.jobs,
                }
                .emit();
            }
        }
        self.overloaded.retain(|service| {
            let remains = now.contains_key(service);
            if !remains {
                metrics::gauge!("bronzespool_batch_overloaded", "service" => service.to_string())
                    .set(0.0);
                metrics::gauge!("bronzespool_batch_overload_wait_seconds", "service" => service.to_string())
                    .set(0.0);
                event::OverloadLeft { service: Arc::clone(service) }.emit();
            }
            remains
        });
    }
}

impl BatchController {
    /// Adds the overload of all services to a view.
    pub(super) fn assess_overload(&self, view: &mut ClusterView) {
        let replica_state = self.replica.state();
        let ledger = replica_state.batch();
        let mut state = self.overload.borrow_mut();
        state.enter_term(self.replica.status().term);
        let silent = self.silent_workers(ledger, view);
        view.overload = state.detector.assess(ledger, view, &silent).clone();
        state.report();
    }

    /// Returns the workers that this leader has heard from and that are no longer in contact.
    fn silent_workers(&self, ledger: &Ledger, view: &ClusterView) -> HashSet<Arc<str>> {
        let agents = self.agents.borrow();
        let lost = ledger.workers().filter(|w| {
            let name = &w.spec.incarnation.worker;
            !view.schedulable.contains(name) && agents.contacts.heard_at(&w.spec.agent).is_some()
        });
        lost.map(|w| Arc::clone(&w.spec.incarnation.worker)).collect()
    }

    /// Updates the counters of preemptions by cause.
    pub(super) fn count_preemptions(&self) {
        let counts = self.planner.borrow().preemptions();
        let by_cause = [("guarantee", counts.guarantee), ("priority", counts.priority)];
        for (cause, runs) in by_cause {
            metrics::counter!("bronzespool_batch_preempted_runs_total", "cause" => cause)
                .absolute(runs);
        }
        metrics::counter!("bronzespool_batch_preemptions_withheld_total").absolute(counts.withheld);
    }
}
