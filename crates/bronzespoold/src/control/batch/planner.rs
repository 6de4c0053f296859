//! Runs the policy whenever something has changed, and notes leases that have ended.

use {
    crate::{
        control::{
            batch::{Batch, agents::SILENCE},
            replica::Result,
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            Event,
            plan::{ClusterView, Progress, plan},
        },
        core::HashMap,
    },
    std::{
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::time::{sleep, timeout},
};

/// Longest time between two plans: leases end and occurrences fall due without a message.
const LOOK: Duration = Duration::from_millis(100);
/// Shortest time between two plans, so that one takes in a burst.
const PAUSE: Duration = Duration::from_millis(3);
/// Pause after a plan that could not be committed.
const FAILED_PAUSE: Duration = Duration::from_millis(50);

impl Batch {
    /// Plans for as long as this process lives.
    pub(in crate::control) async fn run(self: Rc<Self>) {
        loop {
            if self.replica.leads()
                && let Err(refusal) = self.plan_once().await
            {
                let code = refusal.code.number();
                event::PlanNotCommitted { code, refusal: refusal.to_string() }.emit();
                sleep(FAILED_PAUSE).await;
            }
            // Either end of the wait leads to the same next step.
            let _ = timeout(LOOK, self.kick.notified()).await;
            sleep(PAUSE).await;
        }
    }

    async fn plan_once(&self) -> Result<()> {
        self.replica.read().await?;
        self.agents.borrow_mut().enter(self.replica.status().term, self.clock.now());
        let mut events = self.ended_leases();
        let begun = self.clock.now();
        events.extend(plan(self.replica.state().batch(), &self.scene()));
        let took = self.clock.now().since(begun);
        metrics::histogram!("bronzespool_batch_plan_seconds").record(took.as_secs_f64());
        if events.is_empty() {
            return Ok(());
        }
        self.propose(events).await?;
        self.kick.notify_one();
        Ok(())
    }

    /// Lives of workers whose agents have been silent for longer than any lease lasts.
    fn ended_leases(&self) -> Vec<Event> {
        let now = self.clock.now();
        let state = self.replica.state();
        let mut agents = self.agents.borrow_mut();
        let mut gone = Vec::new();
        for worker in state.batch().workers() {
            let life = &worker.spec.incarnation;
            if agents.is_over(now, life) {
                agents.forget(life);
                gone.push(Event::WorkerGone(life.clone()));
            }
        }
        gone
    }

    pub(super) fn scene(&self) -> ClusterView {
        let now = self.clock.now();
        let agents = self.agents.borrow();
        let heard = agents.views.values().filter(|v| now.since(v.seen) < SILENCE);
        let workers = heard.filter_map(|v| v.poll.worker.as_ref().map(|w| (w, &v.poll.running)));
        let mut scene =
            ClusterView { now: self.replica.log_time(), wall: wall(), ..ClusterView::default() };
        let mut progress = HashMap::default();
        for (worker, running) in workers {
            scene.schedulable.insert(worker.incarnation.worker.clone());
            for held in running {
                let done = Progress { checkpoint: held.checkpoint.clone(), percent: held.percent };
                progress.insert(held.run, done);
            }
        }
        scene.progress = progress;
        let outside = self.outside.borrow();
        scene.draining = outside.fleet.draining_workers().cloned().collect();
        scene.permits = outside.permits.clone();
        scene
    }
}

/// Time of day in milliseconds since 1970.
fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}
