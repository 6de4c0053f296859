//! Calls of callers: how long they are tried, and what is told of them.

use {
    super::{CallError, LeaderClient, Result, Span},
    crate::telemetry::{self, Event as _, event},
    bronzespool::{
        batch::{JobId, message},
        core::Code,
    },
    std::time::Duration,
};

/// Longest time for which a caller's call is tried, where the caller waits longer.
const TRY_TIME: Duration = Duration::from_millis(2_000);
/// Share of the caller's time after which a call that was surely not carried out is refused: less
/// than half, so that time for another try is left.
const REFUSE_PERCENT: u32 = 45;
/// Share of the caller's time for which a call is tried that may have been carried out: the longest
/// after which an answer still arrives.
const SETTLE_PERCENT: u32 = 70;

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
        let share = |percent| request.timeout.map_or(TRY_TIME, |p| p * percent / 100).min(TRY_TIME);
        let span = Span { refuse: share(REFUSE_PERCENT), settle: share(SETTLE_PERCENT) };
        let begun = self.clock.now();
        let submits = matches!(call, message::Call::Job(_, message::JobRequest::Submit(_)));
        let reply = self.call_within(call, span).await;
        let reply = match request.job.filter(|_| submits) {
            Some(job) => self.remember(job, reply),
            None => reply,
        };
        let took = self.clock.now().since(begun);
        let code = reply.as_ref().err().map(CallError::code);
        let told = reply.as_ref().map_or_else(ToString::to_string, |r| format!("{r:?}"));
        let (status, answer) = answer(reply);
        telemetry::record_call(&request.method, status, code, took);
        let (leader, term) = self.last_leader();
        event::CallAnswered {
            job: request.job,
            method: request.method,
            path: request.path,
            status,
            reply: told,
            code: code.map(Code::number),
            leader,
            term,
            took_ms: took.as_millis() as u64,
        }
        .emit();
        answer
    }

    /// A submission that was not carried out is not refused while an earlier one of the same job
    /// may have been: the caller would take the job for one that never runs.
    fn remember(&self, job: JobId, reply: Result<message::Reply>) -> Result<message::Reply> {
        let now = self.clock.now();
        let mut doubt = self.doubt.borrow_mut();
        match reply {
            Ok(reply) => {
                doubt.settle(job);
                Ok(reply)
            }
            Err(CallError::Unknown) => {
                doubt.note(now, job);
                Err(CallError::Unknown)
            }
            Err(_) if doubt.holds(now, job) => Err(CallError::Unknown),
            Err(fault) => Err(fault),
        }
    }
}
