//! Brings the worker's tasks to what control has assigned.
//!
//! Each round compares the assigned tasks with those that the worker lists and makes the calls
//! that close the gap. So an agent that has just started adopts what runs, and a lost push or a
//! lost answer is mended by the next round.

use {
    crate::agent::{
        state::State,
        worker::{Known, Result, TaskState, Worker},
    },
    bronzespool::{
        core::{HashMap, HashSet},
        wire::message::{Assignment, Call, Report, Step, TaskEvent, TaskId},
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
}

impl Tasks {
    pub(super) fn new(state: Rc<State>, worker: Worker) -> Self {
        Self { state, worker, inherited: None, reported: HashSet::default(), events: Vec::new() }
    }

    /// Runs rounds for as long as the agent lives.
    pub(super) async fn run(mut self) {
        loop {
            if self.state.tasks_index.get() > 0 {
                if let Err(failure) = self.round().await {
                    log::warn!(failure:%; "the worker's tasks were not brought up to date");
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
        for assignment in &assigned {
            self.bring(assignment, &known).await?;
        }
        self.stop_others(&assigned, &known).await?;
        let ids: HashSet<_> = assigned.iter().map(|a| &a.task).collect();
        self.reported.retain(|(task, _)| ids.contains(task));
        Ok(())
    }

    /// Tasks that were told to run before this process began may have run: they are adopted, and
    /// never started again.
    fn inherit(&mut self, assigned: &[Assignment]) {
        if self.inherited.is_some() {
            return;
        }
        let runs = |a: &&Assignment| a.step != Step::Prepare;
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
        match (assignment.step, state) {
            (Step::Prepare, None) if is_free(assignment, known) => {
                self.note(assignment, TaskEvent::Prepared);
            }
            // Other work still leaves these accelerators: a later round looks again.
            (Step::Prepare, None) => {}
            (Step::Run | Step::Throttle, None) => self.begin(assignment, &name).await?,
            (Step::Run, Some(TaskState::Running)) => self.keep(assignment, &name).await?,
            (Step::Throttle, Some(TaskState::Running)) => {
                self.worker.throttle(&name, THROTTLE_PERCENT).await?;
                self.keep(assignment, &name).await?;
            }
            (Step::Stop, None) => self.note(assignment, TaskEvent::Stopped),
            (Step::Stop, Some(TaskState::Running)) => self.stop(assignment, &name).await?,
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
        let run = Duration::from_millis(assignment.millis);
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
        Ok(())
    }

    /// What the worker may be granted: it never outlives the session by more than the grace, also
    /// if this process ends.
    fn lease(&self, assignment: &Assignment) -> Duration {
        let end = self.state.until.get() + Duration::from_millis(assignment.grace);
        end.since(self.state.clock.now()).min(TASK_LEASE)
    }

    async fn stop(&mut self, assignment: &Assignment, name: &str) -> Result<()> {
        if assignment.checkpoints && !self.seen(&assignment.task, TaskEvent::Checkpointed as u8) {
            self.worker.checkpoint(name).await?;
            self.note(assignment, TaskEvent::Checkpointed);
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
        let Some(keeper) = self.state.keeper() else {
            return;
        };
        if self.events.is_empty() {
            return;
        }
        let incarnation = self.state.brief().incarnation;
        let instance = self.state.instance().clone();
        let call = Call::Report(Report { instance, incarnation, events: self.events.clone() });
        match keeper.call(&call, REPORT_TIME).await {
            Ok(_) => self.events.clear(),
            Err(refusal) => log::warn!(refusal:%; "task events were not reported yet"),
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
