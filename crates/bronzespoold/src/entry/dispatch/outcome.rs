//! Determines the outcome of an attempt that may have been sent.

use {
    crate::{
        entry::{
            dispatch::{
                completion_answer,
                protected::call_control,
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
        wire::message::{Call, Reply},
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Pause between two status queries about an attempt.
const QUERY_PAUSE: Duration = Duration::from_millis(50);
/// Time for which another entry's attempt may stay unknown to the agent before it is fenced.
const UNSEEN_MAX: Duration = Duration::from_millis(300);
/// Longest wait for control to record a release.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a caller may retry while the outcome is not known yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// The endpoint gave an answer.
    Answered(Answer),
    /// The attempt has not run and never will.
    NotRun(Refusal),
}

/// Determines the outcome of a claim that another request made.
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

/// Returns the answer that a claim has stored, or `None` if its attempt has not run. For a request
/// that starts no attempt itself.
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

/// Returns the stored answer of an attempt. If control has only the digest, because the answer is
/// too large, the agent may still have the answer.
async fn stored_answer(state: &State, id: &AttemptId, answer: &Answer) -> Result<AttemptOutcome> {
    if matches!(answer.body, AnswerBody::Digest { .. })
        && let Some(target) = target::find_target(state, &id.target)
        && let Ok(reply) = target.link.query_attempt(id).await
        && let AttemptStatus::Finished(Completion::Answered(answer)) = reply.status
    {
        return Ok(AttemptOutcome::Answered(answer));
    }
    Ok(AttemptOutcome::Answered(answer.clone()))
}

fn sealed_refusal(code: Code) -> Refusal {
    Refusal::new(Code::Sealed, format!("{} ({})", Code::Sealed.help(), code.name()))
}

/// Follows an attempt of an open claim. The attempt may still be on its way to the agent, so it is
/// queried first and fenced only if the agent does not see it in time.
async fn follow_open_attempt(
    state: &State,
    request: &CheckedRequest,
    id: &AttemptId,
) -> Result<AttemptOutcome> {
    let Some(target) = target::find_target(state, &id.target) else {
        let recorded = recorded_outcome(state, request, id).await?;
        return recorded.ok_or_else(unreachable_refusal);
    };
    let fence_at = state.clock.now() + UNSEEN_MAX;
    while !request.time_left(state.clock.now()).is_zero() {
        let Ok(reply) = target.link.query_attempt(id).await else {
            if let Some(outcome) = outcome_after_end(state, request, id).await? {
                return Ok(outcome);
            }
            sleep(QUERY_PAUSE).await;
            continue;
        };
        match reply.status {
            AttemptStatus::Unseen if state.clock.now() < fence_at => sleep(QUERY_PAUSE).await,
            AttemptStatus::Unseen => return fence_and_follow(state, request, &target, id).await,
            status => {
                if let Some(outcome) = status_outcome(state, request, id, status).await? {
                    return Ok(outcome);
                }
                sleep(QUERY_PAUSE).await;
            }
        }
    }
    Err(Refusal::from(Code::InProgress).retry_after(RETRY_AFTER))
}

/// Fences the attempt, retrying until a fence has reached the agent, and follows it until it has
/// ended.
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
            if let Some(outcome) = status_outcome(state, request, id, reply.status).await? {
                return Ok(outcome);
            }
        } else if let Some(outcome) = outcome_after_end(state, request, id).await? {
            return Ok(outcome);
        } else if target::find_target(state, &id.target).is_none() {
            break;
        }
        sleep(QUERY_PAUSE).await;
    }
    let code = if started { Code::InProgress } else { Code::Unreachable };
    Err(Refusal::from(code).retry_after(RETRY_AFTER))
}

/// Converts a status into an outcome; `None` while the attempt has not ended.
async fn status_outcome(
    state: &State,
    request: &CheckedRequest,
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
        AttemptStatus::Forgotten => match recorded_outcome(state, request, id).await? {
            Some(outcome) => Ok(Some(outcome)),
            None => Err(sealed_refusal(Code::Sealed)),
        },
        AttemptStatus::Started | AttemptStatus::Unseen => Ok(None),
    }
}

/// Outcome that control has recorded for an attempt whose agent does not answer; `None` while the
/// view shows the agent as up.
async fn outcome_after_end(
    state: &State,
    request: &CheckedRequest,
    id: &AttemptId,
) -> Result<Option<AttemptOutcome>> {
    if target::is_up(state, &id.target) {
        return Ok(None);
    }
    recorded_outcome(state, request, id).await
}

/// Outcome that control has recorded for an attempt that its agent cannot tell any more. An agent
/// that stops as planned reports its outcomes and releases its other claims before it ends. `None`
/// if the claim is open or cannot be read.
async fn recorded_outcome(
    state: &State,
    request: &CheckedRequest,
    id: &AttemptId,
) -> Result<Option<AttemptOutcome>> {
    let read = call_control(state, request, &Call::ReadClaim(id.claim.clone())).await;
    let claim = match read {
        Ok(Reply::Claim(Some(claim))) => claim,
        Ok(_) => return Ok(None),
        Err(refusal) if refusal.code == Code::KeyExpired => return Err(refusal),
        Err(refusal) => {
            log::debug!(refusal:%; "a claim was not read");
            return Ok(None);
        }
    };
    // A key is claimed again only after the former attempt was released.
    if claim.attempt > id.attempt {
        return Ok(Some(AttemptOutcome::NotRun(Code::Fenced.into())));
    }
    match &claim.state {
        ClaimState::Released => Ok(Some(AttemptOutcome::NotRun(Code::Fenced.into()))),
        ClaimState::Done(answer) => stored_answer(state, id, answer).await.map(Some),
        ClaimState::Sealed(code) => Err(sealed_refusal(*code)),
        ClaimState::Open => Ok(None),
    }
}

fn unreachable_refusal() -> Refusal {
    Refusal::from(Code::Unreachable).retry_after(RETRY_AFTER)
}

/// Releases the key after an attempt that never ran. If control does not get the release, the key
/// stays claimed and the next request with it finds the fence.
pub(super) async fn release_claim(state: &State, id: &AttemptId, code: Code) {
    let completion = Completion::NotRun(code);
    let call = Call::Complete { id: id.claim.clone(), attempt: id.attempt, completion };
    if let Some(session_client) = state.session_client()
        && let Err(refusal) = session_client.call(&call, RELEASE_TIMEOUT).await
    {
        event::ReleaseFailed { claim: id.claim.to_string(), refusal: refusal.to_string() }.emit();
    }
}
