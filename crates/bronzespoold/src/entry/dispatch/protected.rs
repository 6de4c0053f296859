//! Protected requests: claimed durably, sent once, fenced before anything else is tried.

use {
    crate::entry::{
        dispatch::{
            RETRY, completed,
            follow::{self, Ended},
            run,
            target::{self, Target},
        },
        filter::{Checked, Result},
        state::State,
    },
    bronzespool::{
        core::{Code, HashSet, Instance, Outcome, Refusal},
        flow::{
            admit::AttemptId,
            claim::{Answer, ClaimId, Completion, Request},
        },
        wire::message::{Call, Claimed, Reply, Work},
    },
    std::time::Duration,
};

/// Most attempts for one request; each but the last has been proved not to have run.
const ATTEMPTS_MAX: u32 = 3;
/// Time added to the caller's deadline in which the agent accepts copies.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Gets the answer to a protected request.
pub(super) async fn serve(state: &State, request: &Checked) -> Result<Answer> {
    let key = request.key.clone().ok_or(Code::KeyMissing)?;
    let id = ClaimId {
        team: request.team.clone(),
        service: request.service.clone(),
        kind: request.kind.clone(),
        key,
    };
    let mut tried = HashSet::default();
    let mut last = Refusal::from(Code::NoEndpoint).retry_after(RETRY);
    for _ in 0..ATTEMPTS_MAX {
        if request.left(state.clock.now()).is_zero() {
            return Err(late(last));
        }
        match attempt(state, request, &id, &mut tried).await? {
            Ended::Answered(answer) => return Ok(answer),
            Ended::NotRun(refusal) => last = refusal,
        }
    }
    Err(last)
}

/// One attempt. An error is final; [`Ended::NotRun`] leaves the key free for another attempt.
async fn attempt(
    state: &State,
    request: &Checked,
    id: &ClaimId,
    tried: &mut HashSet<Instance>,
) -> Result<Ended> {
    let slots = request.spec()?.need.slots;
    let Some(target) = target::choose(state, request, slots, tried) else {
        return look(state, request, id).await;
    };
    tried.insert(target.incarnation.instance.clone());
    let now = state.clock.now();
    let left = request.left(now);
    let Ok(clock) = target.link.peer_clock().await else {
        return Ok(Ended::NotRun(Refusal::from(Code::NoEndpoint).retry_after(RETRY)));
    };
    let expires = clock.now(state.clock.now()) + left + EXPIRY_MARGIN;
    let wish = Request {
        id: id.clone(),
        digest: request.digest,
        target: target.incarnation.clone(),
        expires,
    };
    match call(state, request, &Call::Claim(wish)).await? {
        Reply::Claimed(Claimed::New { attempt }) => {
            let target_id = target.incarnation.clone();
            let name = AttemptId { id: id.clone(), attempt, target: target_id, expires };
            send(state, request, &target, &name).await
        }
        Reply::Claimed(Claimed::Existing(existing)) => {
            follow::existing(state, request, id, &existing).await
        }
        _ => Err(Code::Internal.into()),
    }
}

/// Without an endpoint for a new attempt, the key's outcome may still be known.
async fn look(state: &State, request: &Checked, id: &ClaimId) -> Result<Ended> {
    match call(state, request, &Call::Look(id.clone())).await? {
        Reply::Claim(Some(existing)) if existing.digest != request.digest => {
            Err(Code::KeyReused.into())
        }
        Reply::Claim(Some(existing)) => follow::existing(state, request, id, &existing).await,
        _ => Ok(Ended::NotRun(Refusal::from(Code::NoEndpoint).retry_after(RETRY))),
    }
}

/// Sends a claimed attempt. Only the process that won the claim comes here.
async fn send(
    state: &State,
    request: &Checked,
    target: &Target,
    name: &AttemptId,
) -> Result<Ended> {
    let left = request.left(state.clock.now());
    if left.is_zero() {
        // Nothing was sent, and no other process may send this attempt.
        follow::release(state, name, Code::DeadlinePassed).await;
        return Err(Code::DeadlinePassed.into());
    }
    let message = run(request, name.target.number, Work::Protected(name.clone()), left)?;
    match target.link.run(&message, &request.body, left).await {
        Ok(reply) => match reply.result {
            Ok(Completion::NotRun(code)) => Ok(Ended::NotRun(code.into())),
            Ok(completion) => completed(completion).map(Ended::Answered),
            Err(refusal) if refusal.code.outcome() == Outcome::NotRun => {
                follow::release(state, name, refusal.code).await;
                Ok(Ended::NotRun(refusal))
            }
            Err(refusal) => Err(refusal),
        },
        Err(error) if error.unsent() => {
            follow::release(state, name, Code::NoEndpoint).await;
            let refusal = Refusal::new(Code::NoEndpoint, error.to_string());
            Ok(Ended::NotRun(refusal.retry_after(RETRY)))
        }
        Err(error) => {
            log::info!(request = request.id.as_str(), error:%; "the attempt's outcome is asked for");
            follow::resolve(state, request, target, name).await
        }
    }
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

fn late(last: Refusal) -> Refusal {
    if last.code == Code::NoEndpoint { last } else { Code::DeadlinePassed.into() }
}
