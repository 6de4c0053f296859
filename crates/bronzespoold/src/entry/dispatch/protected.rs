//! Protected requests: the key is claimed durably, an attempt is sent once, and it is fenced before
//! another attempt.

use {
    crate::{
        entry::{
            dispatch::{
                RETRY_AFTER, completion_answer,
                outcome::{self, AttemptOutcome},
                run_request,
            },
            filter::{CheckedRequest, Result},
            state::State,
            traffic::SlotReservation,
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

/// Minimum time for the final lookup of a key, also after the deadline.
const SETTLE_MIN: Duration = Duration::from_millis(300);
/// Maximum time for the final lookup of a key.
const SETTLE_MAX: Duration = Duration::from_secs(1);
/// Time after the caller's deadline during which the agent still accepts copies of the attempt.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Returns the answer to a protected request; `reservation` is for the first attempt.
pub(super) async fn serve(
    state: &Rc<State>,
    request: &CheckedRequest,
    reservation: SlotReservation,
) -> Result<Answer> {
    match serve_claimed(state, request, reservation).await {
        Err(refusal) if refusal.code.outcome() == Outcome::NotRun => {
            settle_refusal(state, request, refusal).await
        }
        result => result,
    }
}

/// Returns the final answer to a request that was refused as not run. The refusal stands only if no
/// request with the same key has run.
pub(super) async fn settle_refusal(
    state: &State,
    request: &CheckedRequest,
    refusal: Refusal,
) -> Result<Answer> {
    let id = claim_id(request)?;
    let session_client = state.session_client().ok_or(Code::NoSession)?;
    let time = request.time_left(state.clock.now()).clamp(SETTLE_MIN, SETTLE_MAX);
    match session_client.call(&Call::ReadClaim(id.clone()), time).await {
        Ok(Reply::Claim(None)) => Err(refusal),
        Ok(Reply::Claim(Some(existing))) if existing.digest != request.digest => {
            Err(Code::KeyReused.into())
        }
        Ok(Reply::Claim(Some(existing))) => {
            outcome::claim_answer(state, &id, &existing).await?.ok_or(refusal)
        }
        Err(error) if error.code == Code::KeyExpired => Err(error),
        _ => Err(Refusal::from(Code::KeyUnsettled).retry_after(RETRY_AFTER)),
    }
}

fn claim_id(request: &CheckedRequest) -> Result<ClaimId> {
    let key = request.key.clone().ok_or(Code::KeyMissing)?;
    Ok(ClaimId {
        team: request.team.clone(),
        service: request.service.clone(),
        kind: request.kind.clone(),
        key,
    })
}

async fn serve_claimed(
    state: &Rc<State>,
    request: &CheckedRequest,
    reservation: SlotReservation,
) -> Result<Answer> {
    let spec = request.spec()?;
    let id = claim_id(request)?;
    let mut tried = Vec::new();
    let mut next = Some(reservation);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let ended = match next {
            Some(reservation) => {
                tried.push(reservation.target.incarnation.instance.clone());
                attempt(state, request, &id, &reservation).await?
            }
            None => read_claim(state, request, &id).await?,
        };
        let refusal = match ended {
            AttemptOutcome::Answered(answer) => return Ok(answer),
            AttemptOutcome::NotRun(refusal) => refusal,
        };
        let failure = Failure::NotRun(refusal.code);
        state.wait_for_retry(request, failure, attempts, refusal).await?;
        next =
            state.reserve_endpoint(&request.service, &request.kind, spec.need.slots, false, &tried);
    }
}

/// Makes one attempt. An error is final; [`AttemptOutcome::NotRun`] leaves the key free for another
/// attempt.
async fn attempt(
    state: &State,
    request: &CheckedRequest,
    id: &ClaimId,
    reservation: &SlotReservation,
) -> Result<AttemptOutcome> {
    let target = &reservation.target;
    let left = request.time_left(state.clock.now());
    let Ok(agent_clock) = target.link.peer_clock().await else {
        state.record_sample(request, reservation, Sample::Failed);
        return Ok(AttemptOutcome::NotRun(
            Refusal::from(Code::NoEndpoint).retry_after(RETRY_AFTER),
        ));
    };
    // The expiry is a time on the agent's clock, since the agent checks it.
    let expires = agent_clock.now(state.clock.now()) + left + EXPIRY_MARGIN;
    let claim = ClaimRequest {
        id: id.clone(),
        digest: request.digest,
        target: target.incarnation.clone(),
        expires,
    };
    let claimed = match call_control(state, request, &Call::Claim(claim)).await {
        // The agent has left or restarted, or its data centre was drained, since the entry's view
        // was made.
        Err(refusal) if matches!(refusal.code, Code::IncarnationGone | Code::CenterDrained) => {
            return Ok(AttemptOutcome::NotRun(refusal));
        }
        claimed => claimed?,
    };
    match claimed {
        Reply::Claimed(ClaimResult::New { attempt }) => {
            let target = target.incarnation.clone();
            let attempt = AttemptId { claim: id.clone(), attempt, target, expires };
            send_attempt(state, request, reservation, &attempt).await
        }
        Reply::Claimed(ClaimResult::Existing(existing)) => {
            outcome::follow_claim(state, request, id, &existing).await
        }
        _ => Err(Code::Internal.into()),
    }
}

/// Looks up the key when no endpoint is left for a new attempt: its outcome may be known already.
async fn read_claim(
    state: &State,
    request: &CheckedRequest,
    id: &ClaimId,
) -> Result<AttemptOutcome> {
    match call_control(state, request, &Call::ReadClaim(id.clone())).await? {
        Reply::Claim(Some(existing)) if existing.digest != request.digest => {
            Err(Code::KeyReused.into())
        }
        Reply::Claim(Some(existing)) => outcome::follow_claim(state, request, id, &existing).await,
        _ => {
            let code = state.view().check_service(&request.service).err();
            let refusal = Refusal::from(code.unwrap_or(Code::NoEndpoint));
            Ok(AttemptOutcome::NotRun(refusal.retry_after(RETRY_AFTER)))
        }
    }
}

/// Sends a claimed attempt. Only the entry that won the claim calls this.
async fn send_attempt(
    state: &State,
    request: &CheckedRequest,
    reservation: &SlotReservation,
    id: &AttemptId,
) -> Result<AttemptOutcome> {
    let target = &reservation.target;
    let started = state.clock.now();
    let left = request.time_left(started);
    if left.is_zero() {
        // Nothing was sent, and no other entry may send this attempt.
        outcome::release_claim(state, id, Code::DeadlinePassed).await;
        return Err(Code::DeadlinePassed.into());
    }
    let message = run_request(request, id.target.number, RunMode::Protected(id.clone()), left)?;
    match target.link.run(&message, &request.body, left).await {
        Ok(reply) => {
            state.record_load(reservation, reply.state.used);
            record_sample(state, request, reservation, &reply, started);
            reply_outcome(state, id, reply).await
        }
        Err(error) if error.is_unsent() => {
            state.record_sample(request, reservation, Sample::Failed);
            outcome::release_claim(state, id, Code::NoEndpoint).await;
            let refusal = Refusal::new(Code::NoEndpoint, error.to_string());
            Ok(AttemptOutcome::NotRun(refusal.retry_after(RETRY_AFTER)))
        }
        Err(error) => {
            event::OutcomeQueried {
                request: request.id.as_str().to_owned(),
                error: error.to_string(),
            }
            .emit();
            outcome::fence_and_follow(state, request, target, id).await
        }
    }
}

/// Converts the reply to the only copy of an attempt into its outcome.
async fn reply_outcome(state: &State, id: &AttemptId, reply: RunReply) -> Result<AttemptOutcome> {
    match reply.result {
        Ok(Completion::NotRun(code)) => Ok(AttemptOutcome::NotRun(code.into())),
        Ok(completion) => completion_answer(completion).map(AttemptOutcome::Answered),
        Err(refusal) if refusal.code.outcome() == Outcome::NotRun => {
            outcome::release_claim(state, id, refusal.code).await;
            Ok(AttemptOutcome::NotRun(refusal))
        }
        Err(refusal) => Err(refusal),
    }
}

/// Records a reply for outlier detection. A refusal by the agent is no evidence about its endpoint.
fn record_sample(
    state: &State,
    request: &CheckedRequest,
    reservation: &SlotReservation,
    reply: &RunReply,
    started: Time,
) {
    let sample = match &reply.result {
        Ok(Completion::Answered(answer)) if answer.status < 500 => {
            Sample::Answered(state.clock.now().since(started))
        }
        Ok(_) => Sample::Failed,
        Err(_) => return,
    };
    state.record_sample(request, reservation, sample);
}

/// Calls control until the caller's deadline. A call without a reply has started no attempt.
pub(super) async fn call_control(
    state: &State,
    request: &CheckedRequest,
    call: &Call,
) -> Result<Reply> {
    let session_client = state.session_client().ok_or(Code::NoSession)?;
    let left = request.time_left(state.clock.now());
    session_client.call(call, left).await.map_err(|refusal| match refusal.code {
        Code::CommitUnknown => Refusal::from(Code::NoLeader).retry_after(RETRY_AFTER),
        _ if refusal.retry.is_none() && refusal.code == Code::NoLeader => {
            refusal.retry_after(RETRY_AFTER)
        }
        _ => refusal,
    })
}
