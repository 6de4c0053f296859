//! Events of calls between the system and its surroundings: a worker's interface, and what operators
//! send.

use {
    bronzespool_batch::{RunId, WorkerIncarnation},
    std::net::SocketAddr,
};

super::events! {
    /// A start was sent and may have been carried out.
    StartUnanswered: Info, Agent, "a start has no answer" {
        /// The run.
        run: RunId,
        /// Why.
        error: String,
    }
    /// A stop, or a share, was sent and may have been carried out.
    StopUnanswered: Info, Agent, "a stop has no answer" {
        /// The run.
        run: RunId,
        /// Why.
        error: String,
    }
    /// The worker has not started a run.
    StartRefused: Warn, Agent, "the worker refuses a start" {
        /// The run.
        run: RunId,
        /// Status of its answer.
        status: u16,
        /// Its reason.
        reason: String,
    }
    /// The worker has not taken a stop.
    StopRefused: Warn, Agent, "the worker refuses a stop" {
        /// The run.
        run: RunId,
        /// Status of its answer.
        status: u16,
        /// Its reason.
        reason: String,
    }
    /// The worker has not listed what it holds.
    WorkerListRefused: Warn, Agent, "the worker refuses a look" {
        /// Its life.
        life: WorkerIncarnation,
        /// Status of its answer.
        status: u16,
    }
    /// The worker's list is of no known form.
    ListUnread: Warn, Agent, "the worker's list cannot be read" {
        /// Its life.
        life: WorkerIncarnation,
        /// Why.
        error: String,
    }
    /// An entry of a worker's list names no task: it is left out, since another writer made it.
    TaskUnread: Warn, Agent, "a worker lists a task that cannot be read" {
        /// The name.
        task: String,
        /// Why.
        error: String,
    }
    /// An end of a kind that is not known: it counts as stopped.
    EndUnknown: Warn, Agent, "a worker lists an end of an unknown kind" {
        /// The task.
        task: String,
        /// The kind.
        how: String,
    }
    /// A check-in cannot be read: it tells nothing.
    CheckInRefused: Warn, Agent, "a check-in was refused" {
        /// Name of the worker, as in the path.
        worker: String,
        /// Why.
        error: String,
    }
    /// A service outside of the system does not answer.
    ServiceSilent: Warn, Control, "a service does not answer" {
        /// Its address.
        service: SocketAddr,
        /// Why.
        error: String,
    }
    /// A service outside of the system has refused a call, or its answer cannot be read.
    ServiceRefused: Warn, Control, "a service refuses a call" {
        /// Status of its answer.
        status: u16,
        /// Why its answer cannot be read, if so.
        error: String,
    }
    /// The leader's answer is none that fits a wish for a chore.
    ExternalReplyMismatched: Warn, Control, "the leader's answer to a helper is of another kind" {
        /// The answer.
        reply: String,
    }
    /// A configuration cannot be read or contradicts itself: it is not in force.
    ConfigRefused: Info, Control, "a configuration was refused" {
        /// Why.
        error: String,
    }
}
