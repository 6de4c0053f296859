//! Reports the cores and memory that the worker's tasks use.

use {
    crate::{
        agent::{
            state::State,
            worker::{Worker, WorkerUsage},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{HashMap, Time},
        wire::message::{Call, Report, TaskId, TaskUsage},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Inverse of the relative change above which a usage is reported.
const CHANGE_DIVISOR: u64 = 10;
/// Longest time between two reports of one task.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the worker's usage and reports its changes.
pub(super) struct UsageReporter {
    state: Rc<State>,
    worker: Worker,
    /// Last usage of each task that control acknowledged, and when it was reported.
    last_sent: HashMap<TaskId, (Time, TaskUsage)>,
}

impl UsageReporter {
    pub(super) fn new(state: Rc<State>, worker: Worker) -> Self {
        Self { state, worker, last_sent: HashMap::default() }
    }

    /// Reads and reports the usage at each `interval`. Never returns.
    pub(super) async fn run(mut self, interval: Duration) {
        loop {
            sleep(interval).await;
            if self.state.tasks.borrow().is_empty() {
                continue;
            }
            match self.worker.usage().await {
                Ok(worker_usage) => self.report(&worker_usage).await,
                Err(failure) => event::UsageReadFailed { failure: failure.to_string() }.emit(),
            }
        }
    }

    async fn report(&mut self, worker_usage: &WorkerUsage) {
        let now = self.state.clock.now();
        let usage = self.changed_usage(worker_usage, now);
        let Some(session_client) = self.state.session_client().filter(|_| !usage.is_empty()) else {
            return;
        };
        let call = Call::Report(Report {
            instance: self.state.instance().clone(),
            incarnation: self.state.agent_state().incarnation,
            events: Vec::new(),
            checkpoints: Vec::new(),
            usage: usage.clone(),
        });
        match session_client.call(&call, REPORT_TIMEOUT).await {
            Ok(_) => {
                self.last_sent.extend(usage.into_iter().map(|(task, usage)| (task, (now, usage))));
            }
            Err(refusal) => event::UsageReportFailed { refusal: refusal.to_string() }.emit(),
        }
    }

    /// Usage of the assigned tasks that has changed since the last report or is due for a refresh.
    fn changed_usage(&mut self, worker_usage: &WorkerUsage, now: Time) -> Vec<(TaskId, TaskUsage)> {
        let assigned = self.state.tasks.borrow();
        self.last_sent.retain(|task, _| assigned.iter().any(|a| a.task == *task));
        let tasks = assigned.iter().filter_map(|a| {
            let name = a.task.to_string();
            let listed = worker_usage.tasks.iter().find(|t| t.name == name)?;
            let usage =
                TaskUsage { cores: listed.cores, memory: listed.memory, age: worker_usage.age_ms };
            Some((a.task.clone(), usage))
        });
        tasks.filter(|(task, usage)| self.is_changed(task, usage, now)).collect()
    }

    fn is_changed(&self, task: &TaskId, usage: &TaskUsage, now: Time) -> bool {
        let Some((sent_at, last)) = self.last_sent.get(task) else {
            return true;
        };
        let differs = |a: u64, b: u64| a.abs_diff(b) * CHANGE_DIVISOR > a.max(b);
        let cores = differs(usage.cores.into(), last.cores.into());
        cores || differs(usage.memory, last.memory) || now.since(*sent_at) >= REFRESH_INTERVAL
    }
}
