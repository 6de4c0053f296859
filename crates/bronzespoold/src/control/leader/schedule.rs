//! The controllers: loops that move the replicated state towards the desired state.

use {
    crate::{
        control::{
            leader::calls::Leader,
            replica::Result,
            state::{guarantees, services_after},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::Ledger,
        core::{Code, Job, Refusal, Time},
        flow::config::ConfigUpdate,
        schedule::{
            Delivery, Explanation, FailureReserve, GuaranteeConflict, JobSpec, Planner, Record,
            admit, explain, pack, policy::drain::drain_records,
        },
        wire::message::{CallResult, ExplainView, HolderView, Reply},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest time between two scheduler passes.
const PASS_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Shortest time between two scheduler passes, so that one pass covers a burst of changes.
const PASS_INTERVAL_MIN: Duration = Duration::from_millis(2);
/// Interval of the other controllers.
const CONTROLLER_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a decision that could not be committed.
const FAILURE_DELAY: Duration = Duration::from_millis(100);

impl Leader {
    /// Decides which jobs run where, for as long as this process lives.
    pub(in crate::control) async fn run_scheduler(self: Rc<Self>) {
        let mut watch = self.replica.watch();
        loop {
            let last_seen = watch.borrow_and_update().schedule;
            let mut delay = PASS_INTERVAL_MAX;
            if self.replica.leads() {
                match self.schedule_once().await {
                    Ok(next) => delay = next,
                    Err(refusal) => {
                        event::DecisionNotCommitted { refusal: refusal.to_string() }.emit();
                        sleep(FAILURE_DELAY).await;
                    }
                }
            }
            let _ = timeout(delay, watch.wait_for(|e| e.schedule != last_seen)).await;
            sleep(PASS_INTERVAL_MIN).await;
        }
    }

    /// Commits all that the scheduling policy decides now. Returns the time until the next pass.
    async fn schedule_once(&self) -> Result<Duration> {
        self.replica.read_barrier().await?;
        loop {
            let now = self.replica.log_time();
            let mut records = self.decide(now);
            if records.is_empty() {
                records = drain_records(self.replica.state().scheduler(), now);
            }
            if records.is_empty() {
                let next = self.planner.borrow().1.wake(self.replica.state().scheduler(), now);
                return Ok(next.since(now).clamp(PASS_INTERVAL_MIN, PASS_INTERVAL_MAX));
            }
            self.commit_records(records).await?;
        }
    }

    /// Runs the scheduling policy. The planner's memory belongs to one scheduler state, so it is
    /// reset at each new term.
    fn decide(&self, now: Time) -> Vec<Record> {
        let term = self.replica.status().term;
        let delivery = self.delivery();
        let mut planner = self.planner.borrow_mut();
        if planner.0 != term {
            *planner = (term, Planner::default());
        }
        planner.1.set_delivery(delivery);
        planner.1.decide(self.replica.state().scheduler(), now)
    }

    /// How far the sessions have followed the log. After that a borrowed task runs for one session
    /// lease at most: an agent that is told to stop it renews the worker's lease no more.
    fn delivery(&self) -> Delivery {
        let applied = self.replica.state().index();
        Delivery { applied, reached: self.reached_index(), settle_time: self.lease }
    }

    /// Updates the agents' presence and expires claims, for as long as this process lives.
    pub(in crate::control) async fn run_controllers(self: Rc<Self>) {
        loop {
            sleep(CONTROLLER_INTERVAL).await;
            if !self.replica.leads() {
                continue;
            }
            self.begin_share_term();
            self.count_jobs();
            let result = match self.update_presence().await {
                Ok(()) => self.expire_claims().await,
                Err(refusal) => Err(refusal),
            };
            if let Err(refusal) = result {
                event::ControllerChangeNotCommitted { refusal: refusal.to_string() }.emit();
            }
        }
    }

    /// Refuses a job that no set of workers could ever hold.
    pub(super) fn check_feasible(&self, spec: &JobSpec) -> Result<()> {
        admit(self.replica.state().scheduler(), spec).map_err(|r| Refusal::new(r.code, r.reason))
    }

    /// Refuses guarantees that cannot all be met at once.
    pub(super) fn check_guarantees(&self, change: &ConfigUpdate) -> Result<()> {
        let state = self.replica.state();
        let before = guarantees(state.config().config().services.values());
        let after = guarantees(services_after(state.config(), change).values());
        if before == after {
            return Ok(());
        }
        // Workers that are down are counted too: an outage does not reduce the purchased capacity.
        let workers: Vec<_> =
            state.endpoints().values().map(|p| (p.place.clone(), p.capacity)).collect();
        let reserve = self.reserve.map(|s| FailureReserve { level: s.level, count: s.count });
        match pack(&workers, &after, reserve) {
            Ok(_) => Ok(()),
            Err(conflict) => Err(Refusal::new(Code::GuaranteesClash, conflict_message(&conflict))),
        }
    }

    pub(super) async fn explain(&self, job: &Job) -> CallResult {
        self.replica.read_barrier().await?;
        let now = self.replica.log_time();
        let state = self.replica.state();
        match explain(state.scheduler(), job, now) {
            Some(explanation) => Ok(Reply::Explained(Box::new(explain_view(explanation, now)))),
            None => explain_batch(state.batch(), job),
        }
    }
}

/// Explains a batch job, which is named by its identifier.
fn explain_batch(ledger: &Ledger, job: &Job) -> CallResult {
    let id = job.as_str().parse().ok();
    match id.and_then(|id| ledger.explain(id)) {
        Some(explanation) => Ok(Reply::Explained(Box::new(ExplainView {
            job: job.clone(),
            reason: explanation.to_string(),
            latest_ms: None,
            holders: Vec::new(),
        }))),
        None => Err(Refusal::new(Code::UnknownJob, format!("no job {job}"))),
    }
}

fn conflict_message(conflict: &GuaranteeConflict) -> String {
    let teams: Vec<_> = conflict.teams.iter().map(ToString::to_string).collect();
    let shapes: Vec<_> = conflict.shapes.iter().map(ToString::to_string).collect();
    let lost: Vec<_> = conflict.lost.iter().map(|place| place.instance.to_string()).collect();
    let (teams, shapes) = (teams.join(", "), shapes.join(", "));
    let after = match lost.is_empty() {
        true => String::new(),
        false => format!(" after the loss of {}, which the reserve allows for", lost.join(", ")),
    };
    format!("the guarantees of {teams} cannot all be held at once: {shapes} do not fit{after}")
}

fn explain_view(explanation: Explanation, now: Time) -> ExplainView {
    let millis = |at: Time| u64::try_from(at.since(now).as_millis()).unwrap_or(u64::MAX);
    let holders = explanation.holders.into_iter().map(|holder| HolderView {
        job: holder.job,
        team: holder.team,
        instances: holder.cells.iter().map(|c| c.instance.to_string()).collect(),
        borrowed: holder.borrowed,
        until_ms: millis(holder.until),
    });
    ExplainView {
        job: explanation.job,
        reason: explanation.reason.to_string(),
        latest_ms: explanation.latest_start.map(millis),
        holders: holders.collect(),
    }
}
