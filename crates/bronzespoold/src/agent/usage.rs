//! Reports what the worker's tasks use.

use {
    crate::{
        agent::{
            state::State,
            worker::{Used, Worker},
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

/// Change, as a part of one in this many, that is reported at once.
const CHANGE_PART: u64 = 10;
/// Longest time between two reports of a task.
const REFRESH: Duration = Duration::from_secs(30);
/// Longest wait for a report.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// Reader of the worker's usage.
pub(super) struct Reporter {
    state: Rc<State>,
    worker: Worker,
    sent: HashMap<TaskId, (Time, TaskUsage)>,
}

impl Reporter {
    pub(super) fn new(state: Rc<State>, worker: Worker) -> Self {
        Self { state, worker, sent: HashMap::default() }
    }

    /// Reads and reports each `period`, for as long as the agent lives.
    pub(super) async fn run(mut self, period: Duration) {
        loop {
            sleep(period).await;
            if self.state.tasks.borrow().is_empty() {
                continue;
            }
            match self.worker.usage().await {
                Ok(used) => self.report(&used).await,
                Err(failure) => event::UsageReadFailed { failure: failure.to_string() }.emit(),
            }
        }
    }

    async fn report(&mut self, used: &Used) {
        let now = self.state.clock.now();
        let usage = self.news(used, now);
        let Some(session_client) = self.state.session_client().filter(|_| !usage.is_empty()) else {
            return;
        };
        let call = Call::Report(Report {
            instance: self.state.instance().clone(),
            incarnation: self.state.brief().incarnation,
            events: Vec::new(),
            checkpoints: Vec::new(),
            usage: usage.clone(),
        });
        match session_client.call(&call, REPORT_TIME).await {
            Ok(_) => self.sent.extend(usage.into_iter().map(|(task, usage)| (task, (now, usage)))),
            Err(refusal) => event::UsageReportFailed { refusal: refusal.to_string() }.emit(),
        }
    }

    /// Usage of assigned tasks that differs from what was sent, or was sent long ago.
    fn news(&mut self, used: &Used, now: Time) -> Vec<(TaskId, TaskUsage)> {
        let assigned = self.state.tasks.borrow();
        self.sent.retain(|task, _| assigned.iter().any(|a| a.task == *task));
        let tasks = assigned.iter().filter_map(|a| {
            let name = a.task.to_string();
            let found = used.tasks.iter().find(|t| t.name == name)?;
            let usage = TaskUsage { cores: found.cores, memory: found.memory, age: used.age_ms };
            Some((a.task.clone(), usage))
        });
        tasks.filter(|(task, usage)| self.is_news(task, usage, now)).collect()
    }

    fn is_news(&self, task: &TaskId, usage: &TaskUsage, now: Time) -> bool {
        let Some((at, last)) = self.sent.get(task) else {
            return true;
        };
        let differs = |a: u64, b: u64| a.abs_diff(b) * CHANGE_PART > a.max(b);
        let cores = differs(usage.cores.into(), last.cores.into());
        cores || differs(usage.memory, last.memory) || now.since(*at) >= REFRESH
    }
}
