//! Idempotent requests: sent again elsewhere when that is of use.

use {
    crate::entry::{
        dispatch::{completed, run},
        filter::{Checked, Result},
        state::State,
        traffic::Lane,
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

/// Status from which an answer is the endpoint's own failure.
const SERVER_ERROR: u16 = 500;

/// An attempt that gave no good answer.
struct Missed {
    failure: Failure,
    refusal: Refusal,
    /// The endpoint's error answer, which is given to the caller if nothing better comes.
    answer: Option<Answer>,
}

/// Gets the answer to an idempotent request; `lane` is for the first attempt.
pub(super) async fn serve(state: &Rc<State>, request: &Checked, lane: Lane) -> Result<Answer> {
    let spec = request.spec()?;
    let mut tried = Vec::new();
    let mut next = Some(lane);
    let mut made = 0;
    while let Some(lane) = next {
        made += 1;
        tried.push(lane.target.incarnation.instance.clone());
        let missed = match attempt(state, request, lane).await? {
            Ok(answer) => return Ok(answer),
            Err(missed) => missed,
        };
        let Missed { failure, refusal, answer } = missed;
        let last = refusal.clone();
        if let Err(refusal) = state.after_failure(request, failure, made, refusal).await {
            return answer.ok_or(refusal);
        }
        let (service, kind) = (&request.service, &request.kind);
        next = state.choose(service, kind, spec.need.slots, true, &tried);
        if next.is_none() {
            return answer.ok_or_else(|| state.no_lane(request, last));
        }
    }
    Err(Code::Internal.into())
}

/// One attempt. The lane is given back when it ends.
async fn attempt(
    state: &State,
    request: &Checked,
    lane: Lane,
) -> Result<std::result::Result<Answer, Missed>> {
    let begun = state.clock.now();
    let left = request.left(begun);
    if left.is_zero() {
        return Err(Code::DeadlinePassed.into());
    }
    let message = run(request, lane.target.incarnation.number, RunMode::Idempotent, left)?;
    let reply = lane.target.link.run(&message, &request.body, left).await;
    let took = state.clock.now().since(begun);
    let (result, sample) = match reply {
        Ok(reply) => {
            state.heard(&lane, reply.state.used);
            judge(reply, took)
        }
        Err(error) => {
            let code = if error.is_unsent() { Code::NoEndpoint } else { Code::Unreachable };
            let refusal = Refusal::new(code, error.to_string());
            (Err(missed(refusal, None)), Some(Sample::Failed))
        }
    };
    if let Some(sample) = sample {
        state.sample(request, &lane, sample);
    }
    Ok(result)
}

/// What a reply is to the caller, and what it says of the endpoint.
fn judge(reply: RunReply, took: Duration) -> (std::result::Result<Answer, Missed>, Option<Sample>) {
    match reply.result {
        Ok(Completion::Answered(answer)) if answer.status < SERVER_ERROR => {
            (Ok(answer), Some(Sample::Answered(took)))
        }
        Ok(Completion::Answered(answer)) => {
            let message = format!("the endpoint answered with status {}", answer.status);
            let refusal = Refusal::new(Code::AnswerShort, message);
            (Err(missed(refusal, Some(answer))), Some(Sample::Failed))
        }
        Ok(completion) => {
            let refusal = completed(completion).err().unwrap_or_else(|| Code::Internal.into());
            (Err(missed(refusal, None)), Some(Sample::Failed))
        }
        // The agent refused: that says nothing of its endpoint.
        Err(refusal) => (Err(missed(refusal, None)), None),
    }
}

fn missed(refusal: Refusal, answer: Option<Answer>) -> Missed {
    let failure = match refusal.code.outcome() {
        Outcome::NotRun => Failure::NotRun(refusal.code),
        _ => Failure::Unknown(refusal.code),
    };
    Missed { failure, refusal, answer }
}
