//! Reconciles the worker's tasks with the assignments of control.
//!
//! Each round compares the assigned tasks with the tasks that the worker lists and makes the calls
//! that remove the difference. An agent that has just started therefore adopts running tasks, and
//! the next round makes up for a lost push or a lost answer.

use {
    crate::{
        agent::{
            state::State,
            worker::{Result, TaskState, Worker, WorkerTask},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{HashMap, HashSet, Time},
        wire::message::{Assignment, Call, DesiredState, Report, TaskEvent, TaskId},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two rounds if the assignments do not change.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Longest lease of a task at the worker, renewed each round. It bounds the time within which a
/// restarted agent can adopt the task.
const TASK_LEASE_MAX: Duration = Duration::from_secs(60);
/// Speed of a throttled task in percent.
const THROTTLE_PERCENT: u32 = 50;
/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Reconciler of the worker's tasks.
pub(super) struct TaskReconciler {
    state: Rc<State>,
    worker: Worker,
    /// Tasks ordered to run before this process started; `None` before the first round.
    adopted: Option<HashSet<TaskId>>,
    /// Marks of each task: its recorded events, [`STARTED_MARK`] and [`CHECKPOINTED_MARK`].
    marks: HashSet<(TaskId, u8)>,
    /// Events that control has not acknowledged.
    events: Vec<(TaskId, TaskEvent)>,
    /// When each running task was first listed or made its last checkpoint.
    checkpointed_at: HashMap<TaskId, Time>,
    /// Checkpoint counts that control has not acknowledged.
    new_checkpoints: HashMap<TaskId, u32>,
}

impl TaskReconciler {
    pub(super) fn new(state: Rc<State>, worker: Worker) -> Self {
        Self {
            state,
            worker,
            adopted: None,
            marks: HashSet::default(),
            events: Vec::new(),
            checkpointed_at: HashMap::default(),
            new_checkpoints: HashMap::default(),
        }
    }

    /// Runs a round at each interval and at each change of the assignments. Never returns.
    pub(super) async fn run(mut self) {
        loop {
            if self.state.tasks_index.get() > 0 {
                if let Err(failure) = self.reconcile().await {
                    event::TaskUpdateFailed { failure: failure.to_string() }.emit();
                }
                self.report_events().await;
            }
            tokio::select! {
                () = sleep(ROUND_INTERVAL) => {}
                () = self.state.tasks_changed.notified() => {}
            }
        }
    }

    async fn reconcile(&mut self) -> Result<()> {
        let assigned = self.state.tasks.borrow().clone();
        self.record_adopted(&assigned);
        let listed = self.worker.list().await?;
        // A failed call for one task must not prevent the renewal or stop of the others.
        let mut result = Ok(());
        for assignment in &assigned {
            result = self.reconcile_task(assignment, &listed).await.and(result);
        }
        result = self.stop_unassigned(&assigned, &listed).await.and(result);
        let ids: HashSet<_> = assigned.iter().map(|a| &a.task).collect();
        self.marks.retain(|(task, _)| ids.contains(task));
        self.checkpointed_at.retain(|task, _| ids.contains(task));
        result
    }

    /// Records the tasks that were ordered to run before this process started. They may have run
    /// already, so they are adopted if the worker lists them, and never started again.
    fn record_adopted(&mut self, assigned: &[Assignment]) {
        if self.adopted.is_some() {
            return;
        }
        let is_started = |a: &&Assignment| a.desired != DesiredState::Prepare;
        let adopted = assigned.iter().filter(is_started).map(|a| a.task.clone());
        self.adopted = Some(adopted.collect());
    }

    async fn reconcile_task(
        &mut self,
        assignment: &Assignment,
        listed: &HashMap<String, WorkerTask>,
    ) -> Result<()> {
        let name = assignment.task.to_string();
        let state = listed.get(&name).map(|t| t.state);
        if let Some(listed) = listed.get(&name) {
            self.track_checkpoints(assignment, listed);
        }
        match (assignment.desired, state) {
            (DesiredState::Prepare, None) if is_free(assignment, listed) => {
                self.record_event(assignment, TaskEvent::Prepared);
            }
            // Another task still runs on these accelerators: a later round checks again.
            (DesiredState::Prepare, None) => {}
            (DesiredState::Run | DesiredState::Throttle, None) => {
                self.start(assignment, &name).await?;
            }
            (DesiredState::Run, Some(TaskState::Running)) => self.renew(assignment, &name).await?,
            (DesiredState::Throttle, Some(TaskState::Running)) => {
                self.worker.throttle(&name, THROTTLE_PERCENT).await?;
                self.renew(assignment, &name).await?;
            }
            (DesiredState::Stop, None) => self.record_event(assignment, TaskEvent::Stopped),
            (DesiredState::Stop, Some(TaskState::Running)) => self.stop(assignment, &name).await?,
            (_, Some(state)) => self.record_state(assignment, state),
        }
        Ok(())
    }

    async fn start(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        let adopted = self.adopted.as_ref().is_some_and(|i| i.contains(&assignment.task));
        if adopted || self.has_mark(&assignment.task, STARTED_MARK) {
            self.record_event(assignment, TaskEvent::Lost);
            return Ok(());
        }
        let lease = self.task_lease(assignment);
        if lease.is_zero() {
            return Ok(());
        }
        let runtime = Duration::from_millis(assignment.runtime_millis);
        let accels = assignment.accels.clone();
        let state = self.worker.start(name, accels, runtime, lease).await?;
        self.marks.insert((assignment.task.clone(), STARTED_MARK));
        self.record_state(assignment, state);
        Ok(())
    }

    /// Renews the task's lease, or stops the task if no time is left in it.
    async fn renew(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        let lease = self.task_lease(assignment);
        if lease.is_zero() {
            return self.stop(assignment, name).await;
        }
        self.worker.renew(name, lease).await?;
        if self.is_checkpoint_due(assignment) {
            self.checkpoint(assignment, name).await?;
        }
        Ok(())
    }

    /// Starts tracking the checkpoints of a running task. An adopted task may have made checkpoints
    /// that were never reported to control.
    fn track_checkpoints(&mut self, assignment: &Assignment, listed: &WorkerTask) {
        let new = listed.state == TaskState::Running
            && !self.checkpointed_at.contains_key(&assignment.task);
        if !new || assignment.checkpoint_millis.is_none() {
            return;
        }
        self.checkpointed_at.insert(assignment.task.clone(), self.state.clock.now());
        if listed.checkpoints > 0 {
            self.new_checkpoints.insert(assignment.task.clone(), listed.checkpoints);
        }
    }

    fn is_checkpoint_due(&self, assignment: &Assignment) -> bool {
        let Some(interval) = assignment.checkpoint_millis.map(Duration::from_millis) else {
            return false;
        };
        let last = self.checkpointed_at.get(&assignment.task);
        last.is_some_and(|last| self.state.clock.now().since(*last) >= interval)
    }

    async fn checkpoint(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        let count = self.worker.checkpoint(name).await?;
        self.checkpointed_at.insert(assignment.task.clone(), self.state.clock.now());
        self.new_checkpoints.insert(assignment.task.clone(), count);
        Ok(())
    }

    /// Lease that the worker may be granted for the task. It never outlasts the session lease by
    /// more than the task's grace, so the task ends in time also if this process dies.
    fn task_lease(&self, assignment: &Assignment) -> Duration {
        let end = self.state.session_end.get() + Duration::from_millis(assignment.grace_millis);
        end.since(self.state.clock.now()).min(TASK_LEASE_MAX)
    }

    async fn stop(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        if assignment.checkpoint_millis.is_some()
            && !self.has_mark(&assignment.task, CHECKPOINTED_MARK)
        {
            self.checkpoint(assignment, name).await?;
            self.marks.insert((assignment.task.clone(), CHECKPOINTED_MARK));
        }
        let state = self.worker.stop(name).await?;
        self.record_state(assignment, state);
        Ok(())
    }

    async fn stop_unassigned(
        &self,
        assigned: &[Assignment],
        listed: &HashMap<String, WorkerTask>,
    ) -> Result<()> {
        let assigned_names: HashSet<_> = assigned.iter().map(|a| a.task.to_string()).collect();
        for (name, task) in listed {
            if task.state == TaskState::Running && !assigned_names.contains(name) {
                self.worker.stop(name).await?;
            }
        }
        Ok(())
    }

    fn record_state(&mut self, assignment: &Assignment, state: TaskState) {
        let event = match state {
            TaskState::Running => return,
            TaskState::Done => TaskEvent::Done,
            TaskState::Failed => TaskEvent::Failed,
            TaskState::Stopped => TaskEvent::Stopped,
            TaskState::Expired => TaskEvent::Lost,
        };
        self.record_event(assignment, event);
    }

    fn record_event(&mut self, assignment: &Assignment, event: TaskEvent) {
        if !self.has_mark(&assignment.task, event as u8) {
            self.marks.insert((assignment.task.clone(), event as u8));
            self.events.push((assignment.task.clone(), event));
        }
    }

    fn has_mark(&self, task: &TaskId, mark: u8) -> bool {
        self.marks.contains(&(task.clone(), mark))
    }

    /// Reports events and checkpoints; those that control does not acknowledge are sent again in
    /// the next round.
    async fn report_events(&mut self) {
        let Some(session_client) = self.state.session_client() else {
            return;
        };
        if self.events.is_empty() && self.new_checkpoints.is_empty() {
            return;
        }
        let incarnation = self.state.agent_state().incarnation;
        let instance = self.state.instance().clone();
        let events = self.events.clone();
        let checkpoints = self.new_checkpoints.iter().map(|(task, count)| (task.clone(), *count));
        let checkpoints = checkpoints.collect();
        let report = Report { instance, incarnation, events, checkpoints, usage: Vec::new() };
        match session_client.call(&Call::Report(report), REPORT_TIMEOUT).await {
            Ok(_) => {
                self.events.clear();
                self.new_checkpoints.clear();
            }
            Err(refusal) => event::TaskEventReportFailed { refusal: refusal.to_string() }.emit(),
        }
    }
}

/// Whether no task runs on the accelerators of the assignment.
fn is_free(assignment: &Assignment, listed: &HashMap<String, WorkerTask>) -> bool {
    let overlaps = |task: &WorkerTask| task.accels.iter().any(|a| assignment.accels.contains(a));
    !listed.values().any(|task| task.state == TaskState::Running && overlaps(task))
}

/// Mark of a task that this process has started. The mark of an event is its [`TaskEvent`] value.
const STARTED_MARK: u8 = u8::MAX;
/// Mark of a task that has made its final checkpoint before a stop.
const CHECKPOINTED_MARK: u8 = u8::MAX - 1;
