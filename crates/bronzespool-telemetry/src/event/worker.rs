//! Events of calls to and from the outside: the worker's interface, external services and
//! configurations from operators.

use {
    bronzespool_batch::{RunId, WorkerIncarnation},
    std::net::SocketAddr,
};

super::events! {
    /// A start has no answer and may have been carried out.
    StartUnanswered: Info, Agent, "a start has no answer" {
        /// The run.
        run: RunId,
        /// The error.
        error: String,
    }
    /// A stop, or a change of a share, has no answer and may have been carried out.
    StopUnanswered: Info, Agent, "a stop has no answer" {
        /// The run.
        run: RunId,
        /// The error.
        error: String,
    }
    /// The worker has refused to start a run.
    StartRefused: Warn, Agent, "the worker refuses a start" {
        /// The run.
        run: RunId,
        /// HTTP status of the answer.
        status: u16,
        /// Reason given by the worker.
        reason: String,
    }
    /// The worker has refused to stop a run.
    StopRefused: Warn, Agent, "the worker refuses a stop" {
        /// The run.
        run: RunId,
        /// HTTP status of the answer.
        status: u16,
        /// Reason given by the worker.
        reason: String,
    }
    /// The worker has refused to list its runs.
    WorkerListRefused: Warn, Agent, "the worker refuses a look" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// HTTP status of the answer.
        status: u16,
    }
    /// The worker's list has an unknown format.
    ListUnread: Warn, Agent, "the worker's list cannot be read" {
        /// Incarnation of the worker.
        life: WorkerIncarnation,
        /// The error.
        error: String,
    }
    /// Entries of a list from outside cannot be read: the others count.
    EntriesUnread: Warn, Process, "a list has entries that cannot be read" {
        /// What the list names.
        list: String,
        /// Number of these entries.
        count: usize,
        /// The error of the first one.
        error: String,
    }
    /// A list from outside has more entries than are read: it is left aside.
    ListTooLong: Warn, Process, "a list has too many entries" {
        /// What the list names.
        list: String,
        /// Most entries that are read.
        bound: usize,
    }
    /// The name of an entry of a worker's list is not a task of this system: the entry is ignored,
    /// since another client of the worker made it.
    TaskUnread: Warn, Agent, "a worker lists a task that cannot be read" {
        /// Name of the entry.
        task: String,
        /// The error.
        error: String,
    }
    /// A worker reports an end of an unknown kind, which is ignored: another client of the worker may have
    /// made it.
    EndUnknown: Warn, Agent, "a worker lists an end of an unknown kind" {
        /// The task.
        task: String,
        /// The unknown kind.
        how: String,
    }
    /// A check-in cannot be read and is ignored.
    CheckInRefused: Warn, Agent, "a check-in was refused" {
        /// Name of the worker in the request path.
        worker: String,
        /// The error.
        error: String,
    }
    /// An external service does not answer.
    ServiceSilent: Warn, Control, "a service does not answer" {
        /// Address of the service.
        service: SocketAddr,
        /// The error.
        error: String,
    }
    /// An external service has refused a call, or its answer cannot be read.
    ServiceRefused: Warn, Control, "a service refuses a call" {
        /// HTTP status of the answer.
        status: u16,
        /// Why the answer cannot be read, if so.
        error: String,
    }
    /// The leader's answer is not of the type that answers a request for an external call.
    ExternalReplyMismatched: Warn, Control, "the leader's answer to a helper is of another kind" {
        /// The answer.
        reply: String,
    }
    /// A configuration cannot be parsed or is inconsistent: it is not applied.
    ConfigRefused: Info, Control, "a configuration was refused" {
        /// The error.
        error: String,
    }
}
