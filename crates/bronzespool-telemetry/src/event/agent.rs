//! Events of agents.

use bronzespool_batch::{JobId, RunId, WorkerIncarnation, agent::NotStarted};

super::events! {
    /// A check-in was ignored, since it is older than the last one or of an earlier incarnation.
    CheckInLate: Info, Agent, "a late check-in was left aside" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Sequence number of the check-in.
        seq: u64,
    }
    /// A check-in was ignored, since the process at the worker's address has not answered as this
    /// incarnation.
    CheckInUnconfirmed: Warn, Agent, "a check-in is not of the worker at its address" {
        /// Incarnation that the check-in names.
        life: WorkerIncarnation,
        /// Whether another process has answered, or none.
        verdict: String,
    }
    /// A new incarnation of the worker has checked in.
    CheckedIn: Info, Agent, "a worker has checked in" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Incarnation that was known before.
        before: Option<WorkerIncarnation>,
        /// How that incarnation was last seen, and how many runs it may have held.
        last_seen: Option<String>,
    }
    /// The worker has crashed: another incarnation has taken its place, or all of its leases have
    /// ended, and it was not silent since its last answer or closed connection.
    WorkerCrashed: Warn, Agent, "the worker has crashed" {
        /// Incarnation that has crashed.
        life: WorkerIncarnation,
        /// The runs that it may have held, and for how long they were known to run.
        runs: String,
    }
    /// The leader could not be told of a crash.
    CrashUnreported: Warn, Agent, "a crash was not reported" {
        /// Incarnation that has crashed.
        life: WorkerIncarnation,
        /// Whether it is told again before the next poll.
        again: bool,
        /// The error.
        error: String,
    }
    /// The worker has announced that it stops taking new runs, or that it takes them again.
    WorkerDrainingChanged: Info, Agent, "whether the worker leaves has changed" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Whether the worker is leaving.
        leaving: bool,
    }
    /// The worker has announced that it shuts down.
    WorkerEnds: Info, Agent, "the worker ends" {
        /// Name of the worker.
        worker: String,
        /// Whether it may be the current incarnation that ends.
        is_current: bool,
    }
    /// The worker has answered after it was said to end: it was a former incarnation that ended.
    WorkerStays: Info, Agent, "the worker was said to end and goes on" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
    }
    /// The worker has been silent for longer than any lease that it holds.
    LeasesEnded: Warn, Agent, "the worker is gone and its leases have ended" {
        /// Incarnation of the worker.
        life: Option<WorkerIncarnation>,
    }
    /// The agent reports from now on that a run which the leader has assigned has not started.
    RunNotStarted: Info, Agent, "a run counts as not started" {
        /// The job.
        job: JobId,
        /// The run.
        run: RunId,
        /// Incarnation of the worker.
        life: Option<WorkerIncarnation>,
        /// How the agent knows: the worker has refused it, does not list it, lists it no more after its
        /// leases, or is leaving.
        ground: NotStarted,
    }
    /// The worker has refused the fencing token, since it has seen a higher one.
    WorkerFenced: Info, Agent, "the worker has seen a newer leader" {
        /// The fencing token that was refused.
        epoch: Option<u64>,
    }
    /// The worker has not answered a request for the list of its runs.
    WorkerSilent: Info, Agent, "the worker does not answer" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// The error.
        error: String,
    }
    /// The leader has not answered a poll.
    PollLost: Info, Agent, "a poll had no answer" {
        /// The error.
        fault: String,
        /// Milliseconds since the last orders of the leader.
        silent_ms: u64,
    }
    /// The leader's answer is not of the type that answers a poll.
    OrdersMismatched: Warn, Agent, "the leader's answer to a poll is of another kind" {
        /// The answer.
        reply: String,
    }
    /// A start was sent to the worker.
    StartOrdered: Info, Agent, "a start was ordered" {
        /// The run.
        run: RunId,
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Fencing token.
        epoch: u64,
        /// Milliseconds since the last orders of the leader.
        age_ms: u64,
        /// The worker's answer.
        verdict: String,
    }
    /// A best-effort run was given another processor share, by the tail latencies of the runs
    /// beside it.
    BestEffortShareChanged: Info, Agent, "a filler was paced" {
        /// The run.
        run: RunId,
        /// Processor share in percent.
        percent: u32,
        /// The worker's answer.
        verdict: String,
    }
    /// A stop was sent to the worker.
    StopOrdered: Info, Agent, "a stop was ordered" {
        /// The run.
        run: RunId,
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// Fencing token.
        epoch: u64,
        /// Milliseconds since the last orders of the leader.
        age_ms: u64,
        /// The worker's answer.
        verdict: String,
    }
}
