//! Idempotent requests, which are retried on other endpoints when a retry may help.

use {
    crate::entry::{
        dispatch::{completion_answer, run_request},
        filter::{CheckedRequest, Result},
        state::State,
        traffic::SlotReservation,
    },
    bronzespool::{
        core::{Code, Outcome, Refusal},
        flow::{
            claim::{Answer, Completion},
            outlier::Sample,
            retry::Failure,
        },
        wire::message::{RunMode, RunReply},
    },
    std::{rc::Rc, time::Duration},
};

/// Lowest HTTP status that counts as a failure of the endpoint.
const SERVER_ERROR_STATUS: u16 = 500;

/// An attempt without a successful answer.
struct AttemptFailure {
    failure: Failure,
    refusal: Refusal,
    /// The endpoint's error answer, which the caller gets if no later attempt succeeds.
    answer: Option<Answer>,
}

/// Returns the answer to an idempotent request; `reservation` is for the first attempt.
pub(super) async fn serve(
    state: &Rc<State>,
    request: &CheckedRequest,
    reservation: SlotReservation,
) -> Result<Answer> {
    let spec = request.spec()?;
    let mut tried = Vec::new();
    let mut next = Some(reservation);
    let mut attempts = 0;
    while let Some(reservation) = next {
        attempts += 1;
        tried.push(reservation.target.incarnation.instance.clone());
        let failed_attempt = match attempt(state, request, reservation).await? {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        let AttemptFailure { failure, refusal, answer } = failed_attempt;
        let last = refusal.clone();
        if let Err(refusal) = state.wait_for_retry(request, failure, attempts, refusal).await {
            return answer.ok_or(refusal);
        }
        let (service, kind) = (&request.service, &request.kind);
        next = state.reserve_endpoint(service, kind, spec.need.slots, true, &tried);
        if next.is_none() {
            return answer.ok_or_else(|| state.no_endpoint_left(request, last));
        }
    }
    Err(Code::Internal.into())
}

/// Makes one attempt. The reservation is released when the attempt ends.
async fn attempt(
    state: &State,
    request: &CheckedRequest,
    reservation: SlotReservation,
) -> Result<std::result::Result<Answer, AttemptFailure>> {
    let started = state.clock.now();
    let left = request.time_left(started);
    if left.is_zero() {
        return Err(Code::DeadlinePassed.into());
    }
    let message =
        run_request(request, reservation.target.incarnation.number, RunMode::Idempotent, left)?;
    let reply = reservation.target.link.run(&message, &request.body, left).await;
    let elapsed = state.clock.now().since(started);
    let (result, sample) = match reply {
        Ok(reply) => {
            state.record_load(&reservation, reply.state.used);
            classify_reply(reply, elapsed)
        }
        Err(error) => {
            let code = if error.is_unsent() { Code::NoEndpoint } else { Code::Unreachable };
            let refusal = Refusal::new(code, error.to_string());
            (Err(attempt_failure(refusal, None)), Some(Sample::Failed))
        }
    };
    if let Some(sample) = sample {
        state.record_sample(request, &reservation, sample);
    }
    Ok(result)
}

/// Classifies a reply: the result for the caller, and the sample for outlier detection.
fn classify_reply(
    reply: RunReply,
    elapsed: Duration,
) -> (std::result::Result<Answer, AttemptFailure>, Option<Sample>) {
    match reply.result {
        Ok(Completion::Answered(answer)) if answer.status < SERVER_ERROR_STATUS => {
            (Ok(answer), Some(Sample::Answered(elapsed)))
        }
        Ok(Completion::Answered(answer)) => {
            let message = format!("the endpoint answered with status {}", answer.status);
            let refusal = Refusal::new(Code::AnswerShort, message);
            (Err(attempt_failure(refusal, Some(answer))), Some(Sample::Failed))
        }
        Ok(completion) => {
            let refusal =
                completion_answer(completion).err().unwrap_or_else(|| Code::Internal.into());
            (Err(attempt_failure(refusal, None)), Some(Sample::Failed))
        }
        // A refusal by the agent is no evidence about its endpoint.
        Err(refusal) => (Err(attempt_failure(refusal, None)), None),
    }
}

fn attempt_failure(refusal: Refusal, answer: Option<Answer>) -> AttemptFailure {
    let failure = match refusal.code.outcome() {
        Outcome::NotRun => Failure::NotRun(refusal.code),
        _ => Failure::Unknown(refusal.code),
    };
    AttemptFailure { failure, refusal, answer }
}
