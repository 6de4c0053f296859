//! Controllers: loops that bring the state to what is wanted.

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
        core::{Code, Job, Refusal, Time},
        flow::config::ConfigUpdate,
        schedule::{
            Explanation, FailureReserve, GuaranteeConflict, JobSpec, Planner, Record, admit,
            explain, pack, wake,
        },
        wire::message::{Answered, ExplainView, HolderView, Reply},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest time between two looks of the scheduler.
const LOOK_MAX: Duration = Duration::from_secs(1);
/// Shortest time between two looks of the scheduler, so that one pass takes in a burst.
const LOOK_MIN: Duration = Duration::from_millis(2);
/// Time between two looks of the other controllers.
const ROUND: Duration = Duration::from_millis(100);
/// Pause after a decision that could not be committed.
const FAILED_PAUSE: Duration = Duration::from_millis(100);

impl Leader {
    /// Decides what runs where, for as long as this process lives.
    pub(in crate::control) async fn run_scheduler(self: Rc<Self>) {
        let mut watch = self.replica.watch();
        loop {
            let seen = watch.borrow_and_update().schedule;
            let mut pause = LOOK_MAX;
            if self.replica.leads() {
                match self.schedule_once().await {
                    Ok(next) => pause = next,
                    Err(refusal) => {
                        event::DecisionLost { refusal: refusal.to_string() }.tell();
                        sleep(FAILED_PAUSE).await;
                    }
                }
            }
            let _ = timeout(pause, watch.wait_for(|e| e.schedule != seen)).await;
            sleep(LOOK_MIN).await;
        }
    }

    /// Commits what the policy wants now. Returns the span to the next look.
    async fn schedule_once(&self) -> Result<Duration> {
        self.replica.read().await?;
        loop {
            let now = self.replica.log_time();
            let mut records = self.decide(now);
            if records.is_empty() {
                records = self.moves(now);
            }
            if records.is_empty() {
                let next = wake(self.replica.state().book(), now);
                return Ok(next.since(now).clamp(LOOK_MIN, LOOK_MAX));
            }
            self.commit_records(records).await?;
        }
    }

    /// Asks the policy. Its memory is of one book, so it ends with the term.
    fn decide(&self, now: Time) -> Vec<Record> {
        let term = self.replica.status().term;
        let mut planner = self.planner.borrow_mut();
        if planner.0 != term {
            *planner = (term, Planner::default());
        }
        planner.1.decide(self.replica.state().book(), now)
    }

    /// Follows sessions and expires claims, for as long as this process lives.
    pub(in crate::control) async fn run_rounds(self: Rc<Self>) {
        loop {
            sleep(ROUND).await;
            if !self.replica.leads() {
                continue;
            }
            self.begin_term();
            self.count_jobs();
            let result = match self.follow_presence().await {
                Ok(()) => self.expire_claims().await,
                Err(refusal) => Err(refusal),
            };
            if let Err(refusal) = result {
                event::ChangeLost { refusal: refusal.to_string() }.tell();
            }
        }
    }

    /// Refuses a job that no set of workers could ever hold.
    pub(super) fn check_feasible(&self, spec: &JobSpec) -> Result<()> {
        admit(self.replica.state().book(), spec).map_err(|r| Refusal::new(r.code, r.reason))
    }

    /// Refuses guarantees that cannot all be held at once.
    pub(super) fn check_guarantees(&self, change: &ConfigUpdate) -> Result<()> {
        let state = self.replica.state();
        let before = guarantees(state.config().config().services.values());
        let after = guarantees(services_after(state.config(), change).values());
        if before == after {
            return Ok(());
        }
        // Workers that are down count: an outage does not shrink what was bought.
        let workers: Vec<_> =
            state.peers().values().map(|p| (p.place.clone(), p.capacity)).collect();
        let reserve = self.reserve.map(|s| FailureReserve { level: s.level, count: s.count });
        match pack(&workers, &after, reserve) {
            Ok(_) => Ok(()),
            Err(clash) => Err(Refusal::new(Code::GuaranteesClash, told(&clash))),
        }
    }

    pub(super) async fn explain(&self, job: &Job) -> Answered {
        self.replica.read().await?;
        let now = self.replica.log_time();
        let state = self.replica.state();
        match explain(state.book(), job, now) {
            Some(explanation) => Ok(Reply::Explained(Box::new(shown(explanation, now)))),
            None => Err(Refusal::new(Code::UnknownJob, format!("no job {job}"))),
        }
    }
}

fn told(clash: &GuaranteeConflict) -> String {
    let teams: Vec<_> = clash.teams.iter().map(ToString::to_string).collect();
    let shapes: Vec<_> = clash.shapes.iter().map(ToString::to_string).collect();
    let lost: Vec<_> = clash.lost.iter().map(|place| place.instance.to_string()).collect();
    let (teams, shapes) = (teams.join(", "), shapes.join(", "));
    let after = match lost.is_empty() {
        true => String::new(),
        false => format!(" after the loss of {}, which the reserve allows for", lost.join(", ")),
    };
    format!("the guarantees of {teams} cannot all be held at once: {shapes} do not fit{after}")
}

fn shown(explanation: Explanation, now: Time) -> ExplainView {
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
