//! Calls to the endpoint: one request on a connection of its own.

use {
    crate::http::{Error, Fetched, ReadError, fetch, headers},
    bronzespool::{
        core::Code,
        flow::claim::{Answer, Body, Completion},
        wire::message::Run,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, header::CONTENT_TYPE},
    std::{net::SocketAddr, time::Duration},
};

/// Largest answer of an endpoint in bytes.
const ANSWER_MAX_BYTES: u64 = 4 << 20;

/// Sends a request to the endpoint and reads its answer whole.
pub(super) async fn serve(
    endpoint: SocketAddr,
    run: &Run,
    body: Bytes,
    time: Duration,
) -> Completion {
    let Ok(request) = request(run, body) else {
        return Completion::NotRun(Code::HeaderInvalid);
    };
    match fetch(endpoint, request, ANSWER_MAX_BYTES, time).await {
        Ok(fetched) => completion(run, &fetched),
        Err(error) => {
            log::warn!(request = run.request.as_str(), error:%; "the endpoint gave no answer");
            failed(&error)
        }
    }
}

fn request(run: &Run, body: Bytes) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("/{}/{}", run.service, run.kind))
        .header(hyper::header::HOST, "endpoint")
        .header(CONTENT_TYPE, "application/json")
        .header(headers::REQUEST_ID, run.request.as_str())
        .header(headers::TEAM, run.team.as_str())
        .header(headers::DEADLINE, run.millis);
    if let Some(key) = &run.key {
        request = request.header(headers::KEY, key);
    }
    request.body(Full::new(body))
}

/// An answer that carries another request's id is never passed on.
fn completion(run: &Run, fetched: &Fetched) -> Completion {
    let text = |name| fetched.headers().get(name).and_then(|v| v.to_str().ok());
    if text(headers::REQUEST_ID).is_some_and(|id| id != run.request) {
        log::error!(request = run.request.as_str(); "the endpoint answered another request");
        return Completion::Lost(Code::AnswerShort);
    }
    let content = text(CONTENT_TYPE.as_str()).unwrap_or_default();
    Completion::Answered(Answer {
        status: fetched.status().as_u16(),
        content: content.into(),
        body: Body::Whole(fetched.body().as_ref().into()),
    })
}

const fn failed(error: &Error) -> Completion {
    match error {
        Error::Connect(_) => Completion::NotRun(Code::NoEndpoint),
        Error::Time(_) => Completion::Lost(Code::InProgress),
        Error::Body(ReadError::Large(_)) => Completion::Lost(Code::AnswerTooLarge),
        Error::Transfer(_) | Error::Body(ReadError::Short) => Completion::Lost(Code::AnswerShort),
    }
}
