//! Events of control instances.

use {
    bronzespool_batch::{
        EventOutcome, JobId, Phase, RunId, StepId, TaskId, WorkerIncarnation, ledger::RunOutcome,
    },
    bronzespool_core::Instance,
    std::sync::Arc,
};

super::events! {
    /// The replica's role, term, leader or set of voters has changed.
    ReplicaStateChanged: Info, Control, "the replica's standing has changed" {
        /// Role of the replica.
        role: String,
        /// Term of the replica.
        term: u64,
        /// The leader that it follows.
        leader: Option<String>,
        /// Replicas that vote.
        voters: String,
        /// Replicas that catch up before they vote.
        learners: String,
        /// Whether the membership is joint, with two sets of voters.
        joint: bool,
        /// Identifier of this replica.
        id: String,
        /// Last committed log index.
        commit: u64,
        /// Last log index of this replica.
        last: u64,
    }
    /// The leader transfers leadership before it stops.
    LeadershipTransferred: Info, Control, "leadership is handed over" {
        /// The replica that is to become leader.
        successor: String,
    }
    /// The cluster has removed this replica from its members: it empties its data folder and joins
    /// again.
    ReplicaRemoved: Warn, Control, "this replica was left out of the set: it joins again as a new one" {
        /// Data folder of the log.
        data: String,
    }
    /// The snapshot cannot be read: the process exits rather than serve incomplete state.
    SnapshotUnread: Error, Control, "the snapshot cannot be read" {
        /// Result code.
        code: u16,
        /// The error.
        error: String,
    }
    /// A committed record cannot be read: the process exits rather than skip it.
    RecordUnread: Error, Control, "a record cannot be read" {
        /// Result code.
        code: u16,
        /// The error.
        error: String,
    }
    /// A configuration was applied.
    ConfigTaken: Info, Leader, "a configuration was taken" {
        /// Version of the configuration.
        version: u64,
        /// Whether it is newer than the previous one.
        verdict: EventOutcome,
    }
    /// A job was stored.
    JobSubmitted: Info, Leader, "a job was submitted" {
        /// The job.
        job: JobId,
        /// Queue of the job.
        queue: Arc<str>,
        /// Team of the job.
        team: Option<Arc<str>>,
        /// Version of the configuration that admitted it.
        version: u64,
        /// Whether the job is new.
        verdict: EventOutcome,
    }
    /// A job was refused, as inconsistent or as cancelled before: nothing was stored.
    JobRefused: Info, Leader, "a job was refused" {
        /// The job.
        job: JobId,
        /// Why the job was refused.
        error: String,
    }
    /// Too many unknown jobs were cancelled: this one was not remembered, and its caller is to repeat it.
    CancelRefused: Warn, Leader, "a cancelling of an unknown job was refused" {
        /// The job.
        job: JobId,
    }
    /// A job could not be served in time: nothing was stored, and it never runs unless it is submitted
    /// again.
    JobRejected: Info, Leader, "a job was rejected for overload" {
        /// The job.
        job: JobId,
        /// Queue of the job.
        queue: Arc<str>,
        /// Team of the job.
        team: Option<Arc<str>>,
        /// Why it was rejected.
        cause: String,
        /// Milliseconds until it would have been started.
        wait_ms: u64,
        /// Milliseconds that it takes from its start.
        chain_ms: u64,
        /// Milliseconds after which it has no value.
        cutoff_ms: u64,
        /// Milliseconds since it first came.
        known_ms: u64,
        /// Seconds after which its caller should come back.
        retry_s: u64,
    }
    /// A service has more work than it can do in time.
    OverloadEntered: Warn, Leader, "a service is overloaded" {
        /// The service.
        service: Arc<str>,
        /// Priority of the jobs that exceed their limit the most.
        priority: u32,
        /// Milliseconds until the work of these jobs that is there now is done.
        wait_ms: u64,
        /// Longest wait in milliseconds at which such a job still counts in full.
        limit_ms: u64,
        /// Number of these jobs with waiting work.
        jobs: u32,
    }
    /// A service can do its work in time again.
    OverloadLeft: Info, Leader, "a service is no longer overloaded" {
        /// The service.
        service: Arc<str>,
    }
    /// A caller has cancelled a job.
    JobCancelled: Info, Leader, "a job was cancelled" {
        /// The job.
        job: JobId,
        /// Whether the job exists.
        verdict: EventOutcome,
    }
    /// A job has reached a final phase.
    JobEnded: Info, Leader, "a job has ended" {
        /// The job.
        job: JobId,
        /// The final phase.
        phase: Phase,
        /// Milliseconds since its submission.
        took_ms: u64,
        /// Why it has failed, if it has.
        cause: Option<String>,
    }
    /// A worker has crashed, and these tasks may have caused it.
    CrashRecorded: Warn, Leader, "a crash was recorded" {
        /// Incarnation that has crashed.
        life: WorkerIncarnation,
        /// Number of runs that the worker may have held.
        runs: usize,
        /// Milliseconds from the decision until it was applied.
        commit_ms: u64,
        /// Whether this is a change.
        verdict: EventOutcome,
    }
    /// A worker has crashed under a task, of a job that goes on.
    TaskSuspected: Warn, Leader, "a task is suspected of crashes" {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskId,
        /// Number of crashes under the task.
        crashes: usize,
        /// Number of these that nothing else on the worker can have caused.
        sole: usize,
    }
    /// A step has waited for long since it could have started, or goes on waiting for another cause.
    StepWaits: Info, Leader, "a step waits" {
        /// The job.
        job: JobId,
        /// The step.
        step: StepId,
        /// Milliseconds since its job was submitted or its last run ended.
        waited_ms: u64,
        /// Why it waits.
        cause: String,
    }
    /// The disruption budget of a step keeps its task on a machine of a wave from being stopped. The machine
    /// is drained for some time, then assigned tasks again for a while.
    MachineBlocked: Info, Leader, "a machine waits for a disruption budget" {
        /// Number of the wave.
        wave: u64,
        /// The machine.
        machine: String,
        /// The step whose budget is used up, or not known to be left.
        step: StepId,
        /// Milliseconds for which it is drained in vain at most.
        most_ms: u64,
    }
    /// The advice service was asked about all workers that could run a step, and allows none.
    StepNotPermitted: Warn, Leader, "no worker is permitted to run a step" {
        /// The job.
        job: JobId,
        /// The step.
        step: StepId,
        /// Number of workers that could run it.
        workers: usize,
    }
    /// The machine of a worker was taken down for maintenance, so that its end is no crash.
    WorkerTakenDown: Info, Leader, "a worker was taken down" {
        /// Name of the worker.
        worker: Arc<str>,
        /// Whether this is a change.
        verdict: EventOutcome,
    }
    /// A worker is recognised as slower or faster than before, by a factor of 1.5 or more.
    WorkerSpeedChanged: Info, Leader, "a worker's speed has changed" {
        /// Instance of the agent beside the worker.
        agent: Instance,
        /// Speed that was reported before, as a multiple of a typical worker's.
        before: String,
        /// Estimated speed.
        factor: String,
        /// Number of runs behind the estimate.
        samples: u32,
    }
    /// A summary of the learned run times was saved for the next leader.
    EstimatesSaved: Info, Leader, "the learned run times were saved" {
        /// Size of the summary.
        bytes: usize,
        /// Milliseconds from the decision until it was applied.
        commit_ms: u64,
    }
    /// A summary of the learned run times could not be saved. The next attempt follows a fit, at least 10 s later.
    EstimatesNotSaved: Warn, Leader, "the learned run times could not be saved" {
        /// Result code.
        code: u16,
        /// Why it failed.
        refusal: String,
    }
    /// A worker is available, or has changed what it announces.
    WorkerUp: Info, Leader, "a worker is there" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// The agent beside the worker.
        agent: Instance,
        /// Rack of the worker.
        rack: Arc<str>,
        /// Whether the worker is leaving.
        leaving: bool,
        /// Whether this is a change.
        verdict: EventOutcome,
    }
    /// A worker incarnation has ended, and all its runs with it.
    WorkerGone: Info, Leader, "a worker is gone with all that ran on it" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Milliseconds from the decision until it was applied.
        commit_ms: u64,
        /// Whether this is a change.
        verdict: EventOutcome,
    }
    /// An agent reports that the worker beside it has ended with all its runs: a record of it is
    /// proposed.
    WorkerReportedGone: Info, Leader, "an agent says that its worker is gone" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// The agent beside the worker.
        agent: Instance,
        /// Number of runs that the ledger holds on the worker.
        runs: usize,
    }
    /// The leases that the leader has granted to a worker have ended: a record that the worker is gone is
    /// proposed.
    WorkerLeasesEnded: Info, Leader, "no lease of a worker can last any more" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Number of runs that the ledger holds on the worker.
        runs: usize,
        /// Age in milliseconds of the last poll of the agent beside the worker, if there was one in
        /// this term.
        heard_ms: Option<u64>,
    }
    /// A run was freed without an end that its worker has reported: its task may be started again.
    RunFreed: Warn, Leader, "a run was freed with its worker" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Incarnation of the worker that held it.
        life: WorkerIncarnation,
        /// The worker that has taken the place of this one; otherwise the worker was reported as gone, or
        /// its leases have ended.
        successor: Option<WorkerIncarnation>,
        /// Milliseconds from the decision until it was applied.
        commit_ms: u64,
    }
    /// A run was assigned to a worker.
    RunAssigned: Info, Leader, "a run was given to a worker" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Milliseconds since the submission of the job.
        waited_ms: u64,
        /// Priority of the queue; zero is the highest.
        priority: u32,
        /// Whether the run resumes from a checkpoint.
        resumed: bool,
        /// Age in milliseconds of the worker's list that the decision is based on.
        heard_ms: Option<u64>,
        /// Whether the run still fitted when the record was applied.
        verdict: EventOutcome,
    }
    /// A run is being stopped.
    RunStopping: Info, Leader, "a run is to be stopped" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Reason for the stop.
        cause: &'static str,
        /// The job that needs the capacity.
        by: Option<JobId>,
    }
    /// A worker has reported the end of a run.
    RunEnded: Info, Leader, "a run has ended" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// How the run ended.
        how: RunOutcome,
        /// Number of the end, counted by the worker.
        number: u64,
        /// Whether the ledger held the run when the report arrived; otherwise the end is ignored.
        held: bool,
        /// Whether a checkpoint was saved.
        saved: bool,
    }
    /// A worker has certainly not started a run that was assigned to it.
    RunRefused: Info, Leader, "a run was not started" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Milliseconds from the agent's report until it was applied.
        commit_ms: u64,
    }
    /// An operator has requested a wave of maintenance.
    WaveOrdered: Info, Leader, "a wave of maintenance was ordered" {
        /// Number of the wave.
        wave: u64,
        /// Number of machines in the wave.
        machines: usize,
        /// Maximum number of machines that may be down at once.
        most: u32,
        /// Whether the wave is new.
        verdict: EventOutcome,
    }
    /// A machine has begun its maintenance, or no longer exists.
    MaintenanceBegun: Info, Leader, "a machine has begun its maintenance" {
        /// Number of the wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
        /// Whether this is a change.
        verdict: EventOutcome,
    }
    /// An operator's command to start nothing more in a data centre was applied.
    CenterDrained: Warn, Leader, "a data centre is drained" {
        /// The data centre.
        center: Arc<str>,
        /// Revision of its state.
        revision: u64,
        /// Whether the command was applied; otherwise another one came first.
        verdict: EventOutcome,
    }
    /// An operator's command to start tasks in a data centre again was applied.
    CenterRestored: Warn, Leader, "a data centre is in use again" {
        /// The data centre.
        center: Arc<str>,
        /// Revision of its state.
        revision: u64,
        /// Whether the command was applied; otherwise another one came first.
        verdict: EventOutcome,
    }
    /// A process was assigned a call to the platform on behalf of the leader.
    ExternalCallAssigned: Info, Leader, "a chore was given out" {
        /// The call.
        chore: String,
    }
    /// A call to the platform has returned.
    ExternalCallDone: Info, Leader, "a chore is done" {
        /// Result of the call.
        outcome: String,
    }
    /// The log has not accepted a plan: the planner makes a new one.
    PlanNotCommitted: Info, Leader, "a plan was not committed" {
        /// Result code.
        code: u16,
        /// The refusal.
        refusal: String,
    }
}
