//! Overload on the leader: detection, admission, log lines and metrics.

use {
    crate::{
        control::batch::BatchController,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            JobId, Ledger,
            message::Denial,
            overload::{
                Detector,
                admission::{Admission, Cause, Rejection},
            },
            plan::ClusterView,
            spec::JobSpec,
        },
        core::{HashMap, HashSet, Time, settings::Overload},
    },
    std::{sync::Arc, time::Duration},
};

/// Time without overload after which the end of an overload is logged, so that a load near the limit
/// does not fill the log.
const QUIET: Duration = Duration::from_secs(5);

/// State of overload that is not in the ledger. It is reset when a term begins.
#[derive(Debug, Default)]
pub(super) struct OverloadState {
    policy: Overload,
    term: u64,
    detector: Detector,
    admission: Admission,
    /// When services were last overloaded, until the end of the overload is logged.
    overloaded: HashMap<Arc<str>, Time>,
}

impl OverloadState {
    pub(super) fn new(policy: Overload) -> Self {
        Self { policy, ..Self::default() }
    }

    fn is_managed(&self) -> bool {
        self.policy == Overload::Managed
    }

    /// Resets the state of an earlier term. Overload is computed anew from the ledger.
    fn enter_term(&mut self, term: u64) {
        if self.term != term {
            self.clear_gauges();
            *self = Self { policy: self.policy, term, ..Self::default() };
        }
    }

    /// Brings the state up to date and adds it to a view.
    fn assess(&mut self, ledger: &Ledger, view: &mut ClusterView, silent: &HashSet<Arc<str>>) {
        view.overload = self.detector.assess(ledger, view, silent).clone();
        view.overload.set_places(self.admission.places());
        self.report(view.now);
    }

    fn clear_gauges(&self) {
        self.overloaded.keys().for_each(|s| set_gauges(s, Duration::ZERO, false));
    }

    /// Logs which services have become overloaded or are no longer overloaded, and sets their gauges.
    fn report(&mut self, now: Time) {
        let overloaded = self.detector.current().overloaded();
        for (service, (priority, class)) in &overloaded {
            set_gauges(service, class.wait, true);
            if self.overloaded.insert(Arc::clone(service), now).is_none() {
                event::OverloadEntered {
                    service: Arc::clone(service),
                    priority: *priority,
                    wait_ms: millis(class.wait),
                    limit_ms: millis(class.limit),
                    jobs: class.jobs,
                }
                .emit();
            }
        }
        self.overloaded.retain(|service, last| {
            if *last != now {
                set_gauges(service, Duration::ZERO, false);
            }
            let has_left = now.since(*last) >= QUIET;
            if has_left {
                event::OverloadLeft { service: Arc::clone(service) }.emit();
            }
            !has_left
        });
    }
}

fn set_gauges(service: &Arc<str>, wait: Duration, overloaded: bool) {
    let service = service.to_string();
    metrics::gauge!("bronzespool_batch_overloaded", "service" => service.clone())
        .set(f64::from(u8::from(overloaded)));
    metrics::gauge!("bronzespool_batch_overload_wait_seconds", "service" => service)
        .set(wait.as_secs_f64());
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl BatchController {
    /// Adds the overload of all services to a view.
    pub(super) fn assess_overload(&self, view: &mut ClusterView) {
        if !self.overload.borrow().is_managed() {
            return;
        }
        let replica_state = self.replica.state();
        let ledger = replica_state.batch();
        let mut state = self.overload.borrow_mut();
        state.enter_term(self.replica.status().term);
        let silent = self.silent_workers(ledger, view);
        state.assess(ledger, view, &silent);
    }

    /// Decides whether a job that is not in the ledger is admitted, before anything is proposed.
    pub(super) fn admit(&self, spec: &JobSpec) -> Result<(), Denial> {
        if !self.overload.borrow().is_managed() {
            return Ok(());
        }
        let mut view = self.cluster_view();
        let replica_state = self.replica.state();
        let ledger = replica_state.batch();
        let mut state = self.overload.borrow_mut();
        state.enter_term(self.replica.status().term);
        let silent = self.silent_workers(ledger, &view);
        state.assess(ledger, &mut view, &silent);
        let decision = state.admission.decide(ledger, &view, &silent, spec);
        decision.map_err(|rejection| reject(spec, &rejection, &view))
    }

    /// Returns what overload adds to the explanation of a job; empty if it does not wait in one.
    pub(super) fn explain_overload(&self, id: JobId) -> String {
        let replica_state = self.replica.state();
        let mut state = self.overload.borrow_mut();
        state.enter_term(self.replica.status().term);
        let waits = state.detector.current().explain(replica_state.batch(), id);
        waits.map_or_else(String::new, |w| format!("; {w}"))
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

/// Logs and counts a rejection.
fn reject(spec: &JobSpec, rejection: &Rejection, view: &ClusterView) -> Denial {
    let Rejection { cause, retry, wait, times, first } = *rejection;
    metrics::counter!("bronzespool_batch_rejected_jobs_total", "cause" => cause.name())
        .increment(1);
    event::JobRejected {
        job: spec.id,
        queue: Arc::clone(&spec.queue),
        team: spec.team.clone(),
        cause: cause.to_string(),
        wait_ms: millis(wait),
        chain_ms: millis(times.chain),
        cutoff_ms: millis(if cause == Cause::Cutoff { times.latest } else { times.cutoff }),
        known_ms: millis(view.now.since(first)),
        retry_s: retry.as_secs(),
    }
    .emit();
    Denial::Overloaded(u32::try_from(retry.as_secs()).unwrap_or(u32::MAX))
}
