//! Learns the outcome of an attempt that may have been sent.

use {
    crate::{
        entry::{
            dispatch::{
                completion_answer,
                target::{self, Target},
            },
            filter::{CheckedRequest, Result},
            state::State,
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Refusal},
        flow::{
            admit::{AttemptId, AttemptStatus},
            claim::{Answer, AnswerBody, Claim, ClaimId, ClaimState, Completion},
        },
        wire::message::Call,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Pause between two questions about an attempt that runs.
const QUERY_PAUSE: Duration = Duration::from_millis(50);
/// Time for which another process's attempt may stay unseen before it is fenced.
const UNSEEN_MAX: Duration = Duration::from_millis(300);
/// Longest wait for control to note a release.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// When to ask again for an outcome that is not known yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How an attempt ended.
pub(super) enum AttemptOutcome {
    /// With a whole answer.
    Answered(Answer),
    /// It has not run and never will.
    NotRun(Refusal),
}

/// Follows a claim that another request made.
pub(super) async fn follow_claim(
    state: &State,
    request: &CheckedRequest,
    id: &ClaimId,
    existing: &Claim,
) -> Result<AttemptOutcome> {
    let attempt = attempt_id(id, existing);
    match &existing.state {
        ClaimState::Done(answer) => stored_answer(state, &attempt, answer).await,
        ClaimState::Sealed(code) => Err(sealed_refusal(*code)),
        ClaimState::Released => Ok(AttemptOutcome::NotRun(Code::Fenced.into())),
        ClaimState::Open => follow_open_attempt(state, request, &attempt).await,
    }
}

fn attempt_id(id: &ClaimId, existing: &Claim) -> AttemptId {
    AttemptId {
        claim: id.clone(),
        attempt: existing.attempt,
        target: existing.target.clone(),
        expires: existing.expires,
    }
}

/// What a claim tells a request that starts nothing: its answer, or none if no attempt has run.
pub(super) async fn claim_answer(
    state: &State,
    id: &ClaimId,
    existing: &Claim,
) -> Result<Option<Answer>> {
    let attempt = attempt_id(id, existing);
    match &existing.state {
        ClaimState::Released => Ok(None),
        ClaimState::Done(answer) => match stored_answer(state, &attempt, answer).await? {
            AttemptOutcome::Answered(answer) => Ok(Some(answer)),
            AttemptOutcome::NotRun(_) => Ok(None),
        },
        ClaimState::Sealed(code) => Err(sealed_refusal(*code)),
        ClaimState::Open => Err(Refusal::from(Code::InProgress).retry_after(RETRY_AFTER)),
    }
}

/// An answer too large for control may still be held by its agent.
async fn stored_answer(state: &State, id: &AttemptId, answer: &Answer) -> Result<AttemptOutcome> {
    if matches!(answer.body, AnswerBody::Digest { .. })
        && let Some(target) = target::find_target(state, &id.target)
        && let Ok(reply) = target.link.query_attempt(id).await
        && let AttemptStatus::Finished(Completion::Answered(whole)) = reply.status
    {
        return Ok(AttemptOutcome::Answered(whole));
    }
    Ok(AttemptOutcome::Answered(answer.clone()))
}

fn sealed_refusal(code: Code) -> Refusal {
    Refusal::new(Code::Sealed, format!("{} ({})", Code::Sealed.help(), code.name()))
}

/// The attempt may be on its way: it is asked for, and fenced only when it stays unseen.
async fn follow_open_attempt(
    state: &State,
    request: &CheckedRequest,
    id: &AttemptId,
) -> Result<AttemptOutcome> {
    let Some(target) = target::find_target(state, &id.target) else {
        return Err(Refusal::from(Code::Unreachable).retry_after(RETRY_AFTER));
    };
    let fence_at = state.clock.now() + UNSEEN_MAX;
    while !request.time_left(state.clock.now()).is_zero() {
        let Ok(reply) = target.link.query_attempt(id).await else {
            sleep(QUERY_PAUSE).await;
            continue;
        };
        match reply.status {
            AttemptStatus::Unseen if state.clock.now() < fence_at => sleep(QUERY_PAUSE).await,
            AttemptStatus::Unseen => return fence_and_follow(state, request, &target, id).await,
            status => {
                if let Some(outcome) = status_outcome(state, id, status).await? {
                    return Ok(outcome);
                }
                sleep(QUERY_PAUSE).await;
            }
        }
    }
    Err(Refusal::from(Code::InProgress).retry_after(RETRY_AFTER))
}

/// Fences the attempt over a connection that works and follows it until it has ended.
pub(super) async fn fence_and_follow(
    state: &State,
    request: &CheckedRequest,
    target: &Target,
    id: &AttemptId,
) -> Result<AttemptOutcome> {
    let mut started = false;
    while !request.time_left(state.clock.now()).is_zero() {
        if let Ok(reply) = target.link.fence_attempt(id).await {
            started = true;
            if let Some(outcome) = status_outcome(state, id, reply.status).await? {
                return Ok(outcome);
            }
        } else if target::find_target(state, &id.target).is_none() {
            break;
        }
        sleep(QUERY_PAUSE).await;
    }
    let code = if started { Code::InProgress } else { Code::Unreachable };
    Err(Refusal::from(code).retry_after(RETRY_AFTER))
}

/// What a status means, or `None` while the attempt runs.
async fn status_outcome(
    state: &State,
    id: &AttemptId,
    status: AttemptStatus,
) -> Result<Option<AttemptOutcome>> {
    match status {
        AttemptStatus::Fenced => {
            release_claim(state, id, Code::Fenced).await;
            Ok(Some(AttemptOutcome::NotRun(Code::Fenced.into())))
        }
        AttemptStatus::Finished(Completion::NotRun(code)) => {
            release_claim(state, id, code).await;
            Ok(Some(AttemptOutcome::NotRun(code.into())))
        }
        AttemptStatus::Finished(completion) => {
            completion_answer(completion).map(|a| Some(AttemptOutcome::Answered(a)))
        }
        AttemptStatus::Forgotten => Err(sealed_refusal(Code::Sealed)),
        AttemptStatus::Started | AttemptStatus::Unseen => Ok(None),
    }
}

/// Frees the key after an attempt that never ran. If control is not told, the key stays claimed
/// and the next caller finds the fence.
pub(super) async fn release_claim(state: &State, id: &AttemptId, code: Code) {
    let completion = Completion::NotRun(code);
    let call = Call::Complete { id: id.claim.clone(), attempt: id.attempt, completion };
    if let Some(session_client) = state.session_client()
        && let Err(refusal) = session_client.call(&call, RELEASE_TIMEOUT).await
    {
        event::ReleaseFailed { claim: id.claim.to_string(), refusal: refusal.to_string() }.emit();
    }
}
