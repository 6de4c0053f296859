//! Sends checked requests to agents and determines their outcomes.

mod idempotent;
mod outcome;
mod protected;
mod target;

use {
    crate::entry::{
        filter::{CheckedRequest, Filter, Result},
        state::State,
        traffic::AdmittedRequest,
    },
    bronzespool::{
        core::{Code, Refusal},
        flow::claim::{Answer, AnswerBody, Completion},
        wire::message::{RunMode, RunRequest},
    },
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
};

pub(super) use target::Target;

/// Time after which a caller may retry when no endpoint can take the request.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The last filter: sends the request to an endpoint and returns its answer.
pub(super) struct DispatchFilter(pub(super) Rc<State>);

impl Filter<AdmittedRequest> for DispatchFilter {
    type Output = EndpointResponse;

    async fn apply(&self, admitted: AdmittedRequest) -> Result<EndpointResponse> {
        let AdmittedRequest { request, reservation, permit } = admitted;
        let answer = if request.spec()?.protected {
            protected::serve(&self.0, &request, reservation).await
        } else {
            idempotent::serve(&self.0, &request, reservation).await
        };
        drop(permit);
        endpoint_response(&answer?)
    }
}

/// Returns the final answer to a request that was refused before its key was looked up. For a
/// protected request, "not run" must hold for the key, and an earlier request with that key may
/// have run.
pub(super) async fn settle_refusal(
    state: &State,
    request: &CheckedRequest,
    refusal: Refusal,
) -> Result<EndpointResponse> {
    if !request.spec()?.protected {
        return Err(refusal);
    }
    endpoint_response(&protected::settle_refusal(state, request, refusal).await?)
}

/// A complete response of an endpoint.
pub(super) struct EndpointResponse {
    pub(super) status: u16,
    pub(super) content_type: String,
    pub(super) body: Bytes,
}

/// Converts an answer into a response. Refuses an answer of which only the digest is stored.
fn endpoint_response(answer: &Answer) -> Result<EndpointResponse> {
    match &answer.body {
        AnswerBody::Whole(bytes) => Ok(EndpointResponse {
            status: answer.status,
            content_type: answer.content_type.to_string(),
            body: Bytes::copy_from_slice(bytes),
        }),
        AnswerBody::Digest { len, .. } => {
            let message = format!("the request ran; its answer of {len} bytes is no longer kept");
            Err(Refusal::new(Code::AnswerTooLarge, message))
        }
    }
}

fn run_request(
    request: &CheckedRequest,
    incarnation: u64,
    mode: RunMode,
    time: Duration,
) -> Result<RunRequest> {
    Ok(RunRequest {
        request: request.id.clone(),
        revision: request.view.config.revision,
        incarnation,
        mode,
        team: request.team.clone(),
        service: request.service.clone(),
        kind: request.kind.clone(),
        key: request.key.as_ref().map(ToString::to_string),
        digest: request.digest,
        slots: request.spec()?.need.slots,
        timeout_millis: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Converts a completion into an answer, or into a refusal if the endpoint gave no answer.
fn completion_answer(completion: Completion) -> Result<Answer> {
    match completion {
        Completion::Answered(answer) => Ok(answer),
        Completion::NotRun(code) | Completion::Unknown(code) => Err(code.into()),
    }
}
