//! Events of entries.

use {bronzespool_batch::JobId, std::net::SocketAddr};

super::events! {
    /// A call has received its final answer.
    CallAnswered: Info, Entry, "a call was answered" {
        /// Job that the call names.
        job: Option<JobId>,
        /// Method of the request.
        method: String,
        /// Path of the request.
        path: String,
        /// Status of the answer.
        status: u16,
        /// The leader's answer, or why there is none.
        reply: String,
        /// Result code, if the call was refused or failed.
        code: Option<u16>,
        /// The leader that was called last.
        leader: Option<SocketAddr>,
        /// Term of that leader.
        term: Option<u64>,
        /// Milliseconds since the request was read.
        took_ms: u64,
    }
    /// A job could not be parsed: nothing was stored.
    JobUnread: Info, Entry, "a job could not be read" {
        /// The job.
        job: JobId,
        /// The error.
        error: String,
    }
    /// The leader's answer is not of the type that answers the call of the caller.
    ReplyMismatched: Error, Entry, "the leader's answer to a caller is of another kind" {
        /// The answer.
        reply: String,
    }
    /// The entry has started or stopped accepting new connections.
    ReadinessChanged: Info, Entry, "readiness has changed" {
        /// Whether the entry accepts new connections.
        ready: bool,
        /// Milliseconds since the last answer of control.
        silent_ms: u64,
    }
}
