//! Calls of callers: how long they are tried, and what is told of them.

use {
    super::{CallError, LeaderClient, Result, TryLimits},
    crate::telemetry::{self, Event as _, event},
    bronzespool::{
        batch::{JobId, message},
        core::Code,
    },
    std::time::Duration,
};

/// Longest time for which a caller's call is tried, where the caller waits longer.
const TRY_TIME_MAX: Duration = Duration::from_millis(2_000);
/// Share of the caller's time after which a call that was surely not carried out is refused: less
/// than half, so that time for another try is left.
const NOT_RUN_PERCENT: u32 = 45;
/// Share of the caller's time for which a call is tried that may have been carried out: the longest
/// after which an answer still arrives.
const UNKNOWN_PERCENT: u32 = 70;

/// A caller's call as its entry took it, for the log line on its answer.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Job that it names.
    pub job: Option<JobId>,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Time for which the caller waits, if it says so.
    pub timeout: Option<Duration>,
}

impl LeaderClient {
    /// Carries out a caller's call in a share of the caller's time, so that the answer arrives in
    /// time; tells the answer that `answer` makes of the reply.
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

    /// A submission that was not carried out is not refused while an earlier one of the same job
    /// may have been: the caller would take the job for one that never runs.
    fn track_submission(
        &self,
        job: JobId,
        reply: Result<message::Reply>,
    ) -> Result<message::Reply> {
        let now = self.clock.now();
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        match reply {
            Ok(reply) => {
                unconfirmed.remove(job);
                Ok(reply)
            }
            Err(CallError::Unknown) => {
                unconfirmed.record(now, job);
                Err(CallError::Unknown)
            }
            Err(_) if unconfirmed.contains(now, job) => Err(CallError::Unknown),
            Err(fault) => Err(fault),
        }
    }
}
