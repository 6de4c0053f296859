//! Events of agents.

use bronzespool_batch::{RunId, WorkerIncarnation};

super::events! {
    /// A check-in is older than one that was taken, or of a life that is over.
    CheckInLate: Info, Agent, "a late check-in was left aside" {
        /// Life of the worker.
        life: WorkerIncarnation,
        /// Number of the check-in.
        seq: u64,
    }
    /// A worker's life is seen for the first time.
    CheckedIn: Info, Agent, "a worker has checked in" {
        /// Its life.
        life: WorkerIncarnation,
        /// Life that was known before.
        before: Option<WorkerIncarnation>,
    }
    /// The worker has said that it takes no new runs, or that it takes them again.
    WorkerDrainingChanged: Info, Agent, "whether the worker leaves has changed" {
        /// Its life.
        life: WorkerIncarnation,
        /// Whether it leaves.
        leaving: bool,
    }
    /// The worker has said that it ends.
    WorkerEnds: Info, Agent, "the worker ends" {
        /// Its name.
        worker: String,
    }
    /// The worker has been silent for longer than any lease that it holds.
    LeasesEnded: Warn, Agent, "the worker is gone and its leases have ended" {
        /// Its life.
        life: Option<WorkerIncarnation>,
    }
    /// The worker refuses the fencing token: its orders come from a newer leader.
    WorkerFenced: Info, Agent, "the worker has seen a newer leader" {
        /// The token that was refused.
        epoch: Option<u64>,
    }
    /// The worker does not answer a look at its list.
    WorkerSilent: Info, Agent, "the worker does not answer" {
        /// Its life.
        life: WorkerIncarnation,
        /// Why.
        error: String,
    }
    /// The leader does not answer a poll.
    PollLost: Info, Agent, "a poll had no answer" {
        /// Why.
        fault: String,
        /// Age of the last orders, in milliseconds.
        silent_ms: u64,
    }
    /// The leader's answer is none that fits a poll.
    OrdersMismatched: Warn, Agent, "the leader's answer to a poll is of another kind" {
        /// The answer.
        reply: String,
    }
    /// A start was sent to the worker.
    StartOrdered: Info, Agent, "a start was ordered" {
        /// The run.
        run: RunId,
        /// Life of the worker.
        life: WorkerIncarnation,
        /// Fencing token.
        epoch: u64,
        /// Age of the leader's orders, in milliseconds.
        age_ms: u64,
        /// What the worker said.
        verdict: String,
    }
    /// A filler was given another share of its worker, by the tail latencies beside it.
    BestEffortShareChanged: Info, Agent, "a filler was paced" {
        /// The run.
        run: RunId,
        /// Share in percent.
        percent: u32,
        /// What the worker said.
        verdict: String,
    }
    /// A stop was sent to the worker.
    StopOrdered: Info, Agent, "a stop was ordered" {
        /// The run.
        run: RunId,
        /// Life of the worker.
        life: WorkerIncarnation,
        /// Fencing token.
        epoch: u64,
        /// Age of the leader's orders, in milliseconds.
        age_ms: u64,
        /// What the worker said.
        verdict: String,
    }
}
