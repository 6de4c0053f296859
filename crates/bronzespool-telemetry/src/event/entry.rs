//! Events of entries.

use {bronzespool_batch::JobId, std::net::SocketAddr};

super::events! {
    /// A call has its final answer.
    CallAnswered: Info, Entry, "a call was answered" {
        /// Job that it names.
        job: Option<JobId>,
        /// Method of the request.
        method: String,
        /// Path of the request.
        path: String,
        /// Status of the answer.
        status: u16,
        /// What the leader said, or why it said nothing.
        reply: String,
        /// Result code, if the call was refused or not carried out.
        code: Option<u16>,
        /// Leader that was asked last.
        leader: Option<SocketAddr>,
        /// Its term.
        term: Option<u64>,
        /// Time since the request was read, in milliseconds.
        took_ms: u64,
    }
    /// A job could not be read: nothing was stored.
    JobUnread: Info, Entry, "a job could not be read" {
        /// The job.
        job: JobId,
        /// Why.
        error: String,
    }
    /// The leader's answer is none that fits a caller's call.
    ReplyMismatched: Error, Entry, "the leader's answer to a caller is of another kind" {
        /// The answer.
        reply: String,
    }
    /// The entry does or does not want new connections.
    ReadinessChanged: Info, Entry, "readiness has changed" {
        /// Whether it wants them.
        ready: bool,
        /// Age of the last answer of control, in milliseconds.
        silent_ms: u64,
    }
}
