//! Brings the worker's tasks to what control has assigned.
//!
//! Each round compares the assigned tasks with those that the worker lists and makes the calls
//! that close the gap. So an agent that has just started adopts what runs, and a lost push or a
//! lost answer is mended by the next round.

use {
    crate::{
        agent::{
            state::State,
            worker::{Known, Result, TaskState, Worker},
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

/// Time between two rounds without a change.
const ROUND: Duration = Duration::from_millis(500);
/// Longest lease of a task at the worker, renewed each round: the time in which a restarted agent
/// can adopt it.
const TASK_LEASE: Duration = Duration::from_secs(60);
/// Speed in percent of a throttled task.
const THROTTLE_PERCENT: u32 = 50;
/// Longest wait for a report.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// Controller of the worker's tasks.
pub(super) struct Tasks {
    state: Rc<State>,
    worker: Worker,
    inherited: Option<HashSet<TaskId>>,
    reported: HashSet<(TaskId, u8)>,
    events: Vec<(TaskId, TaskEvent)>,
    /// When each running task was first seen or last saved.
    saved: HashMap<TaskId, Time>,
    /// Checkpoints that control has not noted.
    checkpoints: HashMap<TaskId, u32>,
}

impl Tasks {
    pub(super) fn new(state: Rc<State>, worker: Worker) -> Self {
        Self {
            state,
            worker,
            inherited: None,
            reported: HashSet::default(),
            events: Vec::new(),
            saved: HashMap::default(),
            checkpoints: HashMap::default(),
        }
    }

    /// Runs rounds for as long as the agent lives.
    pub(super) async fn run(mut self) {
        loop {
            if self.state.tasks_index.get() > 0 {
                if let Err(failure) = self.round().await {
                    event::TaskUpdateFailed { failure: failure.to_string() }.emit();
                }
                self.report().await;
            }
            tokio::select! {
                () = sleep(ROUND) => {}
                () = self.state.tasks_changed.notified() => {}
            }
        }
    }

    async fn round(&mut self) -> Result<()> {
        let assigned = self.state.tasks.borrow().clone();
        self.inherit(&assigned);
        let known = self.worker.list().await?;
        // A call that fails for one task must not keep the others from being renewed or stopped.
        let mut result = Ok(());
        for assignment in &assigned {
            result = self.bring(assignment, &known).await.and(result);
        }
        result = self.stop_others(&assigned, &known).await.and(result);
        let ids: HashSet<_> = assigned.iter().map(|a| &a.task).collect();
        self.reported.retain(|(task, _)| ids.contains(task));
        self.saved.retain(|task, _| ids.contains(task));
        result
    }

    /// Tasks that were told to run before this process began may have run: they are adopted, and
    /// never started again.
    fn inherit(&mut self, assigned: &[Assignment]) {
        if self.inherited.is_some() {
            return;
        }
        let runs = |a: &&Assignment| a.desired != DesiredState::Prepare;
        let inherited = assigned.iter().filter(runs).map(|a| a.task.clone());
        self.inherited = Some(inherited.collect());
    }

    async fn bring(
        &mut self,
        assignment: &Assignment,
        known: &HashMap<String, Known>,
    ) -> Result<()> {
        let name = assignment.task.to_string();
        let state = known.get(&name).map(|k| k.state);
        if let Some(known) = known.get(&name) {
            self.see(assignment, known);
        }
        match (assignment.desired, state) {
            (DesiredState::Prepare, None) if is_free(assignment, known) => {
                self.note(assignment, TaskEvent::Prepared);
            }
            // Other work still leaves these accelerators: a later round looks again.
            (DesiredState::Prepare, None) => {}
            (DesiredState::Run | DesiredState::Throttle, None) => {
                self.begin(assignment, &name).await?
            }
            (DesiredState::Run, Some(TaskState::Running)) => self.keep(assignment, &name).await?,
            (DesiredState::Throttle, Some(TaskState::Running)) => {
                self.worker.throttle(&name, THROTTLE_PERCENT).await?;
                self.keep(assignment, &name).await?;
            }
            (DesiredState::Stop, None) => self.note(assignment, TaskEvent::Stopped),
            (DesiredState::Stop, Some(TaskState::Running)) => self.stop(assignment, &name).await?,
            (_, Some(state)) => self.note_state(assignment, state),
        }
        Ok(())
    }

    async fn begin(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        let inherited = self.inherited.as_ref().is_some_and(|i| i.contains(&assignment.task));
        if inherited || self.seen(&assignment.task, RUNNING) {
            self.note(assignment, TaskEvent::Lost);
            return Ok(());
        }
        let lease = self.lease(assignment);
        if lease.is_zero() {
            return Ok(());
        }
        let run = Duration::from_millis(assignment.runtime_millis);
        let accels = assignment.accels.clone();
        let state = self.worker.start(name, accels, run, lease).await?;
        self.reported.insert((assignment.task.clone(), RUNNING));
        self.note_state(assignment, state);
        Ok(())
    }

    /// Renews the lease, or stops the task when it may not run on.
    async fn keep(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        let lease = self.lease(assignment);
        if lease.is_zero() {
            return self.stop(assignment, name).await;
        }
        self.worker.renew(name, lease).await?;
        if self.is_due(assignment) {
            self.checkpoint(assignment, name).await?;
        }
        Ok(())
    }

    /// Takes note of a running task. One that was adopted may have made checkpoints of which
    /// control has not heard.
    fn see(&mut self, assignment: &Assignment, known: &Known) {
        let new = known.state == TaskState::Running && !self.saved.contains_key(&assignment.task);
        if !new || assignment.checkpoint_millis.is_none() {
            return;
        }
        self.saved.insert(assignment.task.clone(), self.state.clock.now());
        if known.checkpoints > 0 {
            self.checkpoints.insert(assignment.task.clone(), known.checkpoints);
        }
    }

    fn is_due(&self, assignment: &Assignment) -> bool {
        let Some(span) = assignment.checkpoint_millis.map(Duration::from_millis) else {
            return false;
        };
        let last = self.saved.get(&assignment.task);
        last.is_some_and(|last| self.state.clock.now().since(*last) >= span)
    }

    async fn checkpoint(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        let count = self.worker.checkpoint(name).await?;
        self.saved.insert(assignment.task.clone(), self.state.clock.now());
        self.checkpoints.insert(assignment.task.clone(), count);
        Ok(())
    }

    /// What the worker may be granted: it never outlives the session by more than the grace, also
    /// if this process ends.
    fn lease(&self, assignment: &Assignment) -> Duration {
        let end = self.state.until.get() + Duration::from_millis(assignment.grace_millis);
        end.since(self.state.clock.now()).min(TASK_LEASE)
    }

    async fn stop(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        if assignment.checkpoint_millis.is_some() && !self.seen(&assignment.task, SAVED) {
            self.checkpoint(assignment, name).await?;
            self.reported.insert((assignment.task.clone(), SAVED));
        }
        let state = self.worker.stop(name).await?;
        self.note_state(assignment, state);
        Ok(())
    }

    async fn stop_others(
        &self,
        assigned: &[Assignment],
        known: &HashMap<String, Known>,
    ) -> Result<()> {
        let wanted: HashSet<_> = assigned.iter().map(|a| a.task.to_string()).collect();
        for (name, task) in known {
            if task.state == TaskState::Running && !wanted.contains(name) {
                self.worker.stop(name).await?;
            }
        }
        Ok(())
    }

    fn note_state(&mut self, assignment: &Assignment, state: TaskState) {
        let event = match state {
            TaskState::Running => return,
            TaskState::Done => TaskEvent::Done,
            TaskState::Failed => TaskEvent::Failed,
            TaskState::Stopped => TaskEvent::Stopped,
            TaskState::Expired => TaskEvent::Lost,
        };
        self.note(assignment, event);
    }

    fn note(&mut self, assignment: &Assignment, event: TaskEvent) {
        if !self.seen(&assignment.task, event as u8) {
            self.reported.insert((assignment.task.clone(), event as u8));
            self.events.push((assignment.task.clone(), event));
        }
    }

    fn seen(&self, task: &TaskId, event: u8) -> bool {
        self.reported.contains(&(task.clone(), event))
    }

    /// Sends the events; those that control has not noted are sent again in the next round.
    async fn report(&mut self) {
        let Some(session_client) = self.state.session_client() else {
            return;
        };
        if self.events.is_empty() && self.checkpoints.is_empty() {
            return;
        }
        let incarnation = self.state.brief().incarnation;
        let instance = self.state.instance().clone();
        let events = self.events.clone();
        let checkpoints = self.checkpoints.iter().map(|(task, count)| (task.clone(), *count));
        let checkpoints = checkpoints.collect();
        let report = Report { instance, incarnation, events, checkpoints, usage: Vec::new() };
        match session_client.call(&Call::Report(report), REPORT_TIME).await {
            Ok(_) => {
                self.events.clear();
                self.checkpoints.clear();
            }
            Err(refusal) => event::TaskEventReportFailed { refusal: refusal.to_string() }.emit(),
        }
    }
}

/// Whether no other task runs on the accelerators.
fn is_free(assignment: &Assignment, known: &HashMap<String, Known>) -> bool {
    let overlaps = |task: &Known| task.accels.iter().any(|a| assignment.accels.contains(a));
    !known.values().any(|task| task.state == TaskState::Running && overlaps(task))
}

/// Mark of a task that was started, beside the marks of the events.
const RUNNING: u8 = u8::MAX;
/// Mark of a task whose last checkpoint before its stop was made.
const SAVED: u8 = u8::MAX - 1;
