//! Calls on behalf of callers: how long they are tried, and how they are logged.

use {
    super::{CallError, LeaderClient, Result, TryLimits},
    crate::telemetry::{self, Event as _, event},
    bronzespool::{
        batch::{JobId, message},
        core::Code,
    },
    std::time::Duration,
};

/// Longest time for which a caller's call is tried, even if the caller waits longer.
const TRY_TIME_MAX: Duration = Duration::from_millis(2_000);
/// Share of the caller's timeout after which a call that has certainly not run is refused. Less
/// than half, so that the caller has time for another try.
const NOT_RUN_PERCENT: u32 = 45;
/// Share of the caller's timeout for which a call that may have run is retried. The largest share
/// with which the answer still reaches the caller in time.
const UNKNOWN_PERCENT: u32 = 70;

/// A caller's request as the entry received it, for the log line on its answer.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Job that the request names.
    pub job: Option<JobId>,
    /// HTTP method.
    pub method: String,
    /// Path of the URL.
    pub path: String,
    /// Time for which the caller waits, if the request states it.
    pub timeout: Option<Duration>,
}

impl LeaderClient {
    /// Makes a caller's call within a share of the caller's timeout, so that the answer arrives in
    /// time. Returns the answer that `answer` makes of the reply, and logs it with its status.
    pub async fn serve_caller<A>(
        &self,
        request: CallerRequest,
        call: message::Call,
        answer: impl FnOnce(Result<message::Reply>) -> (u16, A),
    ) -> A {
        let share =
            |percent| request.timeout.map_or(TRY_TIME_MAX, |p| p * percent / 100).min(TRY_TIME_MAX);
        let limits = TryLimits { not_run: share(NOT_RUN_PERCENT), unknown: share(UNKNOWN_PERCENT) };
        let started = self.clock.now();
        let is_submission = matches!(call, message::Call::Job(_, message::JobRequest::Submit(_)));
        let reply = self.call_within(call, limits).await;
        let reply = match request.job.filter(|_| is_submission) {
            Some(job) => self.track_submission(job, reply),
            None => reply,
        };
        let elapsed = self.clock.now().since(started);
        let code = reply.as_ref().err().map(CallError::code);
        let reply_text = reply.as_ref().map_or_else(ToString::to_string, |r| format!("{r:?}"));
        let (status, answer) = answer(reply);
        telemetry::record_call(&request.method, status, code, elapsed);
        let (leader, term) = self.last_leader();
        event::CallAnswered {
            job: request.job,
            method: request.method,
            path: request.path,
            status,
            reply: reply_text,
            code: code.map(Code::number),
            leader,
            term,
            took_ms: elapsed.as_millis() as u64,
        }
        .emit();
        answer
    }

    /// Tracks submissions with an unknown outcome. While an earlier submission of the job may have
    /// been committed, a later one that was not, or was denied, is reported as unknown, not refused:
    /// the caller would conclude that the job never runs.
    fn track_submission(
        &self,
        job: JobId,
        reply: Result<message::Reply>,
    ) -> Result<message::Reply> {
        let now = self.clock.now();
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        match reply {
            Ok(message::Reply::Denied(_)) if unconfirmed.contains(now, job) => {
                Err(CallError::Unknown)
            }
            Ok(reply) => {
                unconfirmed.remove(job);
                Ok(reply)
            }
            Err(CallError::Unknown) => {
                unconfirmed.record(now, job);
                Err(CallError::Unknown)
            }
            Err(_) if unconfirmed.contains(now, job) => Err(CallError::Unknown),
            Err(error) => Err(error),
        }
    }
}
