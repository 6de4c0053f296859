//! Runs the scheduling policy after each change of what it reads, and records workers whose leases
//! have ended.

use {
    crate::{
        control::{batch::BatchController, replica::Result},
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            Event,
            plan::{ClusterView, Progress},
        },
        core::HashMap,
    },
    std::{
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::time::sleep,
};

/// Longest time between two plans. Leases end and recurring jobs fall due without a message that
/// would start a plan.
const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// Shortest time between two plans, so that one plan covers a burst of changes.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(3);
/// Delay after a plan that could not be committed.
const FAILURE_DELAY: Duration = Duration::from_millis(50);

impl BatchController {
    /// Plans for as long as this process lives.
    pub(in crate::control) async fn run(self: Rc<Self>) {
        loop {
            if self.replica.leads()
                && let Err(refusal) = self.plan_once().await
            {
                let code = refusal.code.number();
                event::PlanNotCommitted { code, refusal: refusal.to_string() }.emit();
                sleep(FAILURE_DELAY).await;
            }
            self.replica.batch_wakes().plan_requested(self.plan_interval()).await;
            sleep(PLAN_INTERVAL_MIN).await;
        }
    }

    async fn plan_once(&self) -> Result<()> {
        self.replica.read_barrier().await?;
        let term = self.replica.term();
        self.agents.borrow_mut().enter_term(term, self.clock.now());
        self.run_times.borrow_mut().enter_term(term, self.replica.state().batch());
        let mut events = self.gone_workers();
        let begun = self.clock.now();
        let mut cluster_view = self.cluster_view();
        self.assess_overload(&mut cluster_view);
        let planned = self.planner.borrow_mut().plan(self.replica.state().batch(), &cluster_view);
        events.extend(planned);
        self.count_preemptions();
        self.report_waits(&cluster_view);
        let took = self.clock.now().since(begun);
        metrics::histogram!("bronzespool_batch_plan_seconds").record(took.as_secs_f64());
        if events.is_empty() {
            return Ok(());
        }
        // The applied record requests the next plan.
        self.propose(events).await?;
        Ok(())
    }

    /// Time until the next plan, unless one is requested before: an agent that is silent for too
    /// long ends it early.
    fn plan_interval(&self) -> Duration {
        let now = self.clock.now();
        let timeout = self.agents.borrow().contacts.next_timeout(now);
        timeout.map_or(PLAN_INTERVAL_MAX, |t| t.since(now).min(PLAN_INTERVAL_MAX))
    }

    /// Events for the workers whose agents have been silent for longer than any lease lasts.
    fn gone_workers(&self) -> Vec<Event> {
        let now = self.clock.now();
        let state = self.replica.state();
        let mut agents = self.agents.borrow_mut();
        let mut gone = Vec::new();
        for worker in state.batch().workers() {
            let incarnation = &worker.spec.incarnation;
            if agents.leases_ended(now, &worker.spec) {
                agents.forget(incarnation);
                let heard_at = agents.contacts.heard_at(&worker.spec.agent);
                event::WorkerLeasesEnded {
                    life: incarnation.clone(),
                    runs: worker.runs.len(),
                    heard_ms: heard_at.map(|at| now.since(at).as_millis() as u64),
                }
                .emit();
                gone.push(Event::WorkerGone(incarnation.clone()));
            }
        }
        gone
    }

    pub(super) fn cluster_view(&self) -> ClusterView {
        let now = self.clock.now();
        let agents = self.agents.borrow();
        let polls = agents.contacts.in_contact(now);
        let state = self.replica.state();
        let workers = polls.filter_map(|p| p.worker.as_ref().map(|w| (w, &p.running)));
        let workers = workers.filter(|(w, _)| state.batch().worker(&w.incarnation).is_some());
        let mut cluster_view = ClusterView {
            now: self.replica.log_time(),
            wall: wall_millis(),
            ..ClusterView::default()
        };
        let mut progress = HashMap::default();
        for (worker, running) in workers {
            cluster_view.schedulable.insert(worker.incarnation.worker.clone());
            for status in running {
                let run_progress =
                    Progress { checkpoint: status.checkpoint.clone(), percent: status.percent };
                progress.insert(status.run, run_progress);
            }
        }
        cluster_view.progress = progress;
        let external = self.external.borrow();
        cluster_view.stopping = self.replica.withdrawals().stops().collect();
        cluster_view.withheld = self.planner.borrow().withheld().clone();
        cluster_view.draining = external.maintenance.draining_workers().cloned().collect();
        cluster_view.cold = self.cold.borrow().clone();
        cluster_view.departures = self.departures.borrow().clone();
        cluster_view.permits = external.permits.clone();
        let run_times = self.run_times.borrow();
        cluster_view.urgent_headroom = run_times.is_enabled();
        cluster_view.estimates = run_times.estimates(self.replica.term()).unwrap_or_default();
        cluster_view
    }
}

/// Time of day in milliseconds since 1970.
fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}
