//! Learns the outcome of an attempt that may have been sent.

use {
    crate::{
        entry::{
            dispatch::{
                completed,
                target::{self, Target},
            },
            filter::{Checked, Result},
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
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Time for which another process's attempt may stay unseen before it is fenced.
const UNSEEN_TIME: Duration = Duration::from_millis(300);
/// Longest wait for control to note a release.
const RELEASE_TIME: Duration = Duration::from_secs(2);
/// When to ask again for an outcome that is not known yet.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// How an attempt ended.
pub(super) enum Ended {
    /// With a whole answer.
    Answered(Answer),
    /// It has not run and never will.
    NotRun(Refusal),
}

/// Follows a claim that another request made.
pub(super) async fn existing(
    state: &State,
    request: &Checked,
    id: &ClaimId,
    existing: &Claim,
) -> Result<Ended> {
    let name = attempt_id(id, existing);
    match &existing.state {
        ClaimState::Done(answer) => kept(state, &name, answer).await,
        ClaimState::Sealed(code) => Err(sealed(*code)),
        ClaimState::Released => Ok(Ended::NotRun(Code::Fenced.into())),
        ClaimState::Open => open(state, request, &name).await,
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
pub(super) async fn settled(
    state: &State,
    id: &ClaimId,
    existing: &Claim,
) -> Result<Option<Answer>> {
    let name = attempt_id(id, existing);
    match &existing.state {
        ClaimState::Released => Ok(None),
        ClaimState::Done(answer) => match kept(state, &name, answer).await? {
            Ended::Answered(answer) => Ok(Some(answer)),
            Ended::NotRun(_) => Ok(None),
        },
        ClaimState::Sealed(code) => Err(sealed(*code)),
        ClaimState::Open => Err(Refusal::from(Code::InProgress).retry_after(ASK_AGAIN)),
    }
}

/// An answer too large for control may still be held by its agent.
async fn kept(state: &State, name: &AttemptId, answer: &Answer) -> Result<Ended> {
    if matches!(answer.body, AnswerBody::Digest { .. })
        && let Some(target) = target::find(state, &name.target)
        && let Ok(reply) = target.link.ask(name).await
        && let AttemptStatus::Finished(Completion::Answered(whole)) = reply.status
    {
        return Ok(Ended::Answered(whole));
    }
    Ok(Ended::Answered(answer.clone()))
}

fn sealed(code: Code) -> Refusal {
    Refusal::new(Code::Sealed, format!("{} ({})", Code::Sealed.help(), code.name()))
}

/// The attempt may be on its way: it is asked for, and fenced only when it stays unseen.
async fn open(state: &State, request: &Checked, name: &AttemptId) -> Result<Ended> {
    let Some(target) = target::find(state, &name.target) else {
        return Err(Refusal::from(Code::Unreachable).retry_after(ASK_AGAIN));
    };
    let fence_at = state.clock.now() + UNSEEN_TIME;
    while !request.left(state.clock.now()).is_zero() {
        let Ok(reply) = target.link.ask(name).await else {
            sleep(ASK_PAUSE).await;
            continue;
        };
        match reply.status {
            AttemptStatus::Unseen if state.clock.now() < fence_at => sleep(ASK_PAUSE).await,
            AttemptStatus::Unseen => return resolve(state, request, &target, name).await,
            status => {
                if let Some(ended) = ended(state, name, status).await? {
                    return Ok(ended);
                }
                sleep(ASK_PAUSE).await;
            }
        }
    }
    Err(Refusal::from(Code::InProgress).retry_after(ASK_AGAIN))
}

/// Fences the attempt over a connection that works and follows it until it has ended.
pub(super) async fn resolve(
    state: &State,
    request: &Checked,
    target: &Target,
    name: &AttemptId,
) -> Result<Ended> {
    let mut started = false;
    while !request.left(state.clock.now()).is_zero() {
        if let Ok(reply) = target.link.fence(name).await {
            started = true;
            if let Some(ended) = ended(state, name, reply.status).await? {
                return Ok(ended);
            }
        } else if target::find(state, &name.target).is_none() {
            break;
        }
        sleep(ASK_PAUSE).await;
    }
    let code = if started { Code::InProgress } else { Code::Unreachable };
    Err(Refusal::from(code).retry_after(ASK_AGAIN))
}

/// What a status means, or `None` while the attempt runs.
async fn ended(state: &State, name: &AttemptId, status: AttemptStatus) -> Result<Option<Ended>> {
    match status {
        AttemptStatus::Fenced => {
            release(state, name, Code::Fenced).await;
            Ok(Some(Ended::NotRun(Code::Fenced.into())))
        }
        AttemptStatus::Finished(Completion::NotRun(code)) => {
            release(state, name, code).await;
            Ok(Some(Ended::NotRun(code.into())))
        }
        AttemptStatus::Finished(completion) => {
            completed(completion).map(|a| Some(Ended::Answered(a)))
        }
        AttemptStatus::Forgotten => Err(sealed(Code::Sealed)),
        AttemptStatus::Started | AttemptStatus::Unseen => Ok(None),
    }
}

/// Frees the key after an attempt that never ran. If control is not told, the key stays claimed
/// and the next caller finds the fence.
pub(super) async fn release(state: &State, name: &AttemptId, code: Code) {
    let completion = Completion::NotRun(code);
    let call = Call::Complete { id: name.claim.clone(), attempt: name.attempt, completion };
    if let Some(keeper) = state.keeper()
        && let Err(refusal) = keeper.call(&call, RELEASE_TIME).await
    {
        event::ReleaseFailed { claim: name.claim.to_string(), refusal: refusal.to_string() }.emit();
    }
}
