//! Protected requests: claimed durably, sent once, fenced before anything else is tried.

use {
    crate::{
        entry::{
            dispatch::{
                RETRY, completed,
                follow::{self, Ended},
                run,
            },
            filter::{Checked, Result},
            state::State,
            traffic::Lane,
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Outcome, Refusal, Time},
        flow::{
            admit::AttemptId,
            claim::{Answer, ClaimId, ClaimRequest, Completion},
            outlier::Sample,
            retry::Failure,
        },
        wire::message::{Call, ClaimResult, Reply, RunMode, RunReply},
    },
    std::{rc::Rc, time::Duration},
};

/// Shortest time for the last look at a key, also after the deadline.
const SETTLE_MIN: Duration = Duration::from_millis(300);
/// Longest time for the last look at a key.
const SETTLE_MAX: Duration = Duration::from_secs(1);
/// Time added to the caller's deadline in which the agent accepts copies.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Gets the answer to a protected request; `lane` is for the first attempt.
pub(super) async fn serve(state: &Rc<State>, request: &Checked, lane: Lane) -> Result<Answer> {
    match serve_claimed(state, request, lane).await {
        Err(refusal) if refusal.code.outcome() == Outcome::NotRun => {
            settle(state, request, refusal).await
        }
        result => result,
    }
}

/// Answers a request that is refused as not run: only if no request with its key has run.
pub(super) async fn settle(state: &State, request: &Checked, refusal: Refusal) -> Result<Answer> {
    let id = claim_id(request)?;
    let keeper = state.keeper().ok_or(Code::NoSession)?;
    let time = request.left(state.clock.now()).clamp(SETTLE_MIN, SETTLE_MAX);
    match keeper.call(&Call::ReadClaim(id.clone()), time).await {
        Ok(Reply::Claim(None)) => Err(refusal),
        Ok(Reply::Claim(Some(existing))) if existing.digest != request.digest => {
            Err(Code::KeyReused.into())
        }
        Ok(Reply::Claim(Some(existing))) => {
            follow::settled(state, &id, &existing).await?.ok_or(refusal)
        }
        Err(found) if found.code == Code::KeyExpired => Err(found),
        _ => Err(Refusal::from(Code::KeyUnsettled).retry_after(RETRY)),
    }
}

fn claim_id(request: &Checked) -> Result<ClaimId> {
    let key = request.key.clone().ok_or(Code::KeyMissing)?;
    Ok(ClaimId {
        team: request.team.clone(),
        service: request.service.clone(),
        kind: request.kind.clone(),
        key,
    })
}

async fn serve_claimed(state: &Rc<State>, request: &Checked, lane: Lane) -> Result<Answer> {
    let spec = request.spec()?;
    let id = claim_id(request)?;
    let mut tried = Vec::new();
    let mut next = Some(lane);
    let mut made = 0;
    loop {
        made += 1;
        let ended = match next {
            Some(lane) => {
                tried.push(lane.target.incarnation.instance.clone());
                attempt(state, request, &id, &lane).await?
            }
            None => look(state, request, &id).await?,
        };
        let refusal = match ended {
            Ended::Answered(answer) => return Ok(answer),
            Ended::NotRun(refusal) => refusal,
        };
        let failure = Failure::NotRun(refusal.code);
        state.after_failure(request, failure, made, refusal).await?;
        next = state.choose(&request.service, &request.kind, spec.need.slots, false, &tried);
    }
}

/// One attempt. An error is final; [`Ended::NotRun`] leaves the key free for another attempt.
async fn attempt(state: &State, request: &Checked, id: &ClaimId, lane: &Lane) -> Result<Ended> {
    let target = &lane.target;
    let left = request.left(state.clock.now());
    let Ok(clock) = target.link.peer_clock().await else {
        state.sample(request, lane, Sample::Failed);
        return Ok(Ended::NotRun(Refusal::from(Code::NoEndpoint).retry_after(RETRY)));
    };
    let expires = clock.now(state.clock.now()) + left + EXPIRY_MARGIN;
    let wish = ClaimRequest {
        id: id.clone(),
        digest: request.digest,
        target: target.incarnation.clone(),
        expires,
    };
    match call(state, request, &Call::Claim(wish)).await? {
        Reply::Claimed(ClaimResult::New { attempt }) => {
            let target = target.incarnation.clone();
            let name = AttemptId { claim: id.clone(), attempt, target, expires };
            send(state, request, lane, &name).await
        }
        Reply::Claimed(ClaimResult::Existing(existing)) => {
            follow::existing(state, request, id, &existing).await
        }
        _ => Err(Code::Internal.into()),
    }
}

/// Without an endpoint for a new attempt, the key's outcome may still be known.
async fn look(state: &State, request: &Checked, id: &ClaimId) -> Result<Ended> {
    match call(state, request, &Call::ReadClaim(id.clone())).await? {
        Reply::Claim(Some(existing)) if existing.digest != request.digest => {
            Err(Code::KeyReused.into())
        }
        Reply::Claim(Some(existing)) => follow::existing(state, request, id, &existing).await,
        _ => Ok(Ended::NotRun(Refusal::from(Code::NoEndpoint).retry_after(RETRY))),
    }
}

/// Sends a claimed attempt. Only the process that won the claim comes here.
async fn send(state: &State, request: &Checked, lane: &Lane, name: &AttemptId) -> Result<Ended> {
    let target = &lane.target;
    let begun = state.clock.now();
    let left = request.left(begun);
    if left.is_zero() {
        // Nothing was sent, and no other process may send this attempt.
        follow::release(state, name, Code::DeadlinePassed).await;
        return Err(Code::DeadlinePassed.into());
    }
    let message = run(request, name.target.number, RunMode::Protected(name.clone()), left)?;
    match target.link.run(&message, &request.body, left).await {
        Ok(reply) => {
            state.heard(lane, reply.state.used);
            sample(state, request, lane, &reply, begun);
            replied(state, name, reply).await
        }
        Err(error) if error.is_unsent() => {
            state.sample(request, lane, Sample::Failed);
            follow::release(state, name, Code::NoEndpoint).await;
            let refusal = Refusal::new(Code::NoEndpoint, error.to_string());
            Ok(Ended::NotRun(refusal.retry_after(RETRY)))
        }
        Err(error) => {
            event::OutcomeQueried {
                request: request.id.as_str().to_owned(),
                error: error.to_string(),
            }
            .emit();
            follow::resolve(state, request, target, name).await
        }
    }
}

/// What a reply to the only copy of an attempt means.
async fn replied(state: &State, name: &AttemptId, reply: RunReply) -> Result<Ended> {
    match reply.result {
        Ok(Completion::NotRun(code)) => Ok(Ended::NotRun(code.into())),
        Ok(completion) => completed(completion).map(Ended::Answered),
        Err(refusal) if refusal.code.outcome() == Outcome::NotRun => {
            follow::release(state, name, refusal.code).await;
            Ok(Ended::NotRun(refusal))
        }
        Err(refusal) => Err(refusal),
    }
}

/// Notes what a reply says of the endpoint; a refusal of the agent says nothing.
fn sample(state: &State, request: &Checked, lane: &Lane, reply: &RunReply, begun: Time) {
    let sample = match &reply.result {
        Ok(Completion::Answered(answer)) if answer.status < 500 => {
            Sample::Answered(state.clock.now().since(begun))
        }
        Ok(_) => Sample::Failed,
        Err(_) => return,
    };
    state.sample(request, lane, sample);
}

/// Calls control until the caller's deadline. A call that gives no answer has started nothing.
pub(super) async fn call(state: &State, request: &Checked, call: &Call) -> Result<Reply> {
    let keeper = state.keeper().ok_or(Code::NoSession)?;
    let left = request.left(state.clock.now());
    keeper.call(call, left).await.map_err(|refusal| match refusal.code {
        Code::CommitUnknown => Refusal::from(Code::NoLeader).retry_after(RETRY),
        _ if refusal.retry.is_none() && refusal.code == Code::NoLeader => {
            refusal.retry_after(RETRY)
        }
        _ => refusal,
    })
}
