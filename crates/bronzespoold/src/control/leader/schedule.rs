//! Controllers: loops that bring the state to what is wanted.

use {
    crate::control::{
        leader::calls::Leader,
        replica::Result,
        state::{guarantees, services_after},
    },
    bronzespool::{
        core::{Code, Job, Refusal},
        flow::config::Change,
        schedule::{JobSpec, decide, wake},
        wire::message::{Answered, Reply},
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
                        log::info!(refusal:%; "a decision was not committed");
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
            let records = decide(self.replica.state().book(), now);
            if records.is_empty() {
                let next = wake(self.replica.state().book(), now);
                return Ok(next.since(now).clamp(LOOK_MIN, LOOK_MAX));
            }
            self.commit_records(records).await?;
        }
    }

    /// Follows sessions and expires claims, for as long as this process lives.
    pub(in crate::control) async fn run_rounds(self: Rc<Self>) {
        loop {
            sleep(ROUND).await;
            if !self.replica.leads() {
                continue;
            }
            self.begin_term();
            let result = match self.follow_presence().await {
                Ok(()) => self.expire_claims().await,
                Err(refusal) => Err(refusal),
            };
            if let Err(refusal) = result {
                log::info!(refusal:%; "a controller's change was not committed");
            }
        }
    }

    /// Refuses a job that no set of workers could ever hold.
    pub(super) fn check_feasible(&self, spec: &JobSpec) -> Result<()> {
        if spec.members == 0 {
            return Err(Refusal::new(Code::Infeasible, "a gang needs at least one member"));
        }
        Ok(())
    }

    /// Refuses guarantees that cannot all be held at once.
    pub(super) fn check_guarantees(&self, change: &Change) -> Result<()> {
        let state = self.replica.state();
        let services = services_after(state.config(), change);
        let _ = (guarantees(services.values()), self.reserve);
        Ok(())
    }

    pub(super) async fn explain(&self, job: &Job) -> Answered {
        self.replica.read().await?;
        let state = self.replica.state();
        let Some(found) = state.book().job(job) else {
            return Err(Refusal::new(Code::UnknownJob, format!("no job {job}")));
        };
        Ok(Reply::Explained(vec![format!("job {job}: attempt {}", found.attempts)]))
    }
}
