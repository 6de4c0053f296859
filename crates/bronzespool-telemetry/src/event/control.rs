//! Events of control instances.

use {
    bronzespool_batch::{EventOutcome, JobId, Phase, RunId, WorkerIncarnation, ledger::RunOutcome},
    bronzespool_core::Instance,
    std::sync::Arc,
};

super::events! {
    /// The replica has another role, term, leader or set of voters.
    ReplicaStateChanged: Info, Control, "the replica's standing has changed" {
        /// Its role.
        role: String,
        /// Its term.
        term: u64,
        /// The leader that it follows.
        leader: Option<String>,
        /// Those that vote.
        voters: String,
        /// Those that catch up.
        learners: String,
        /// Whether two sets vote.
        joint: bool,
        /// Name of this replica.
        id: String,
        /// Last index that is committed.
        commit: u64,
        /// Last index that is held.
        last: u64,
    }
    /// The leader hands over before it stops.
    LeadershipTransferred: Info, Control, "leadership is handed over" {
        /// The replica that is to lead.
        successor: String,
    }
    /// The set of voters goes on without this replica: it empties its folder and joins anew.
    ReplicaRemoved: Warn, Control, "this replica was left out of the set: it joins again as a new one" {
        /// Folder of its log.
        data: String,
    }
    /// The snapshot cannot be read: the process ends rather than serve from less.
    SnapshotUnread: Error, Control, "the snapshot cannot be read" {
        /// Result code.
        code: u16,
        /// Why.
        error: String,
    }
    /// A committed record cannot be read: the process ends rather than leave it out.
    RecordUnread: Error, Control, "a record cannot be read" {
        /// Result code.
        code: u16,
        /// Why.
        error: String,
    }
    /// A configuration is applied.
    ConfigTaken: Info, Leader, "a configuration was taken" {
        /// Its version.
        version: u64,
        /// Whether it is newer than the one before.
        verdict: EventOutcome,
    }
    /// A job is stored.
    JobSubmitted: Info, Leader, "a job was submitted" {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Arc<str>,
        /// Its team.
        team: Option<Arc<str>>,
        /// Version of the configuration that let it in.
        version: u64,
        /// Whether it is new.
        verdict: EventOutcome,
    }
    /// A job contradicts itself: nothing was stored.
    JobRefused: Info, Leader, "a job was refused" {
        /// The job.
        job: JobId,
        /// Why.
        error: String,
    }
    /// A caller has cancelled a job.
    JobCancelled: Info, Leader, "a job was cancelled" {
        /// The job.
        job: JobId,
        /// Whether it was there.
        verdict: EventOutcome,
    }
    /// A job has reached a phase that it does not leave.
    JobEnded: Info, Leader, "a job has ended" {
        /// The job.
        job: JobId,
        /// The phase.
        phase: Phase,
        /// Time since its submission, in milliseconds.
        took_ms: u64,
    }
    /// A worker's life is known, or has changed what it says of itself.
    WorkerUp: Info, Leader, "a worker is there" {
        /// Its life.
        life: WorkerIncarnation,
        /// The agent beside it.
        agent: Instance,
        /// Its rack.
        rack: Arc<str>,
        /// Whether it leaves.
        leaving: bool,
        /// Whether that is new.
        verdict: EventOutcome,
    }
    /// A worker's life is over, and so are its runs.
    WorkerGone: Info, Leader, "a worker is gone with all that ran on it" {
        /// Its life.
        life: WorkerIncarnation,
        /// Whether that is new.
        verdict: EventOutcome,
    }
    /// A run is given to a worker.
    RunAssigned: Info, Leader, "a run was given to a worker" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Life of the worker.
        life: WorkerIncarnation,
        /// Time since the job's submission, in milliseconds.
        waited_ms: u64,
        /// Priority of its queue, zero first.
        priority: u32,
        /// Whether it goes on from saved work.
        resumed: bool,
        /// Age of the worker's list that the decision is based on, in milliseconds.
        heard_ms: Option<u64>,
        /// Whether it still fitted when it was applied.
        verdict: EventOutcome,
    }
    /// A run is to be stopped.
    RunStopping: Info, Leader, "a run is to be stopped" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Why.
        cause: &'static str,
        /// The job that needs the room.
        by: Option<JobId>,
    }
    /// A worker has listed the end of a run.
    RunEnded: Info, Leader, "a run has ended" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Life of the worker.
        life: WorkerIncarnation,
        /// How.
        how: RunOutcome,
        /// Number of the end at the worker.
        number: u64,
        /// Whether work was saved.
        saved: bool,
    }
    /// A worker has surely not started a run that was given to it.
    RunRefused: Info, Leader, "a run was not started" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Life of the worker.
        life: WorkerIncarnation,
    }
    /// An operator has ordered a wave of maintenance.
    WaveOrdered: Info, Leader, "a wave of maintenance was ordered" {
        /// Its number.
        wave: u64,
        /// Its machines.
        machines: usize,
        /// Most of them that may be down at once.
        most: u32,
        /// Whether it is new.
        verdict: EventOutcome,
    }
    /// A machine has begun its maintenance, or is not there any more.
    MaintenanceBegun: Info, Leader, "a machine has begun its maintenance" {
        /// Number of the wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
        /// Whether that is new.
        verdict: EventOutcome,
    }
    /// A process was sent to the platform for the leader.
    ExternalCallAssigned: Info, Leader, "a chore was given out" {
        /// What it is.
        chore: String,
    }
    /// What came of it.
    ExternalCallDone: Info, Leader, "a chore is done" {
        /// What came of it.
        outcome: String,
    }
    /// The log has not taken a plan: it is made again.
    PlanNotCommitted: Info, Leader, "a plan was not committed" {
        /// Result code.
        code: u16,
        /// Why.
        refusal: String,
    }
}
