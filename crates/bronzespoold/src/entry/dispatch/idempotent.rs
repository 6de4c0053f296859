//! Idempotent requests: sent again elsewhere when that is of use.

use {
    crate::entry::{
        dispatch::{RETRY, completed, run, target},
        filter::{Checked, Result},
        state::State,
    },
    bronzespool::{
        core::{Code, HashSet, Outcome, Refusal},
        flow::claim::{Answer, Completion},
        wire::message::Work,
    },
};

/// Most endpoints tried for one request.
const TRIES_MAX: u32 = 3;

/// Gets the answer to an idempotent request.
pub(super) async fn serve(state: &State, request: &Checked) -> Result<Answer> {
    let slots = request.spec()?.need.slots;
    let mut tried = HashSet::default();
    let mut last = Refusal::from(Code::NoEndpoint).retry_after(RETRY);
    for _ in 0..TRIES_MAX {
        let left = request.left(state.clock.now());
        if left.is_zero() {
            return Err(late(last));
        }
        let Some(target) = target::choose(state, request, slots, &tried) else {
            return Err(last);
        };
        let number = target.incarnation.number;
        let message = run(request, number, Work::Idempotent, left)?;
        match target.link.run(&message, &request.body, left).await {
            Ok(reply) => match reply.result {
                Ok(Completion::Answered(answer)) if answer.status < 500 => return Ok(answer),
                Ok(completion) => match completed(completion) {
                    Ok(answer) if request.left(state.clock.now()).is_zero() => return Ok(answer),
                    Ok(answer) => last = failed(&answer),
                    Err(refusal) => last = refusal,
                },
                Err(refusal) => last = refusal,
            },
            Err(error) => last = Refusal::new(Code::Unreachable, error.to_string()),
        }
        tried.insert(target.incarnation.instance);
    }
    Err(retry_hint(last))
}

fn failed(answer: &Answer) -> Refusal {
    Refusal::new(Code::AnswerShort, format!("the endpoint answered with status {}", answer.status))
}

/// The deadline has passed. If an attempt was sent it may have run.
fn late(last: Refusal) -> Refusal {
    if last.code.outcome() == Outcome::Unknown { last } else { Code::DeadlinePassed.into() }
}

fn retry_hint(refusal: Refusal) -> Refusal {
    if refusal.retry.is_some() { refusal } else { refusal.retry_after(RETRY) }
}
