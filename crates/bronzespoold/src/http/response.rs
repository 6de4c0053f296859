//! Answers to callers and operators.

use {
    bronzespool::core::{Code, Refusal},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER},
    },
    serde::{Deserialize, Serialize},
};

/// Names of the headers that the system reads and writes.
pub mod headers {
    /// Id of the request, the same in all processes' logs.
    pub const REQUEST_ID: &str = "request-id";
    /// Team of the caller.
    pub const TEAM: &str = "team";
    /// Time in milliseconds that the caller waits.
    pub const DEADLINE: &str = "deadline-ms";
    /// Key of a protected request.
    pub const KEY: &str = "idempotency-key";
    /// Number of the result code.
    pub const CODE: &str = "result-code";
    /// What holds: done, not-run or unknown.
    pub const OUTCOME: &str = "outcome";
}

/// A whole answer.
pub type FullResponse = Response<Full<Bytes>>;

/// Body of an answer that is not the endpoint's own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FailureBody {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// What holds: done, not-run or unknown.
    pub outcome: String,
    /// The particulars.
    pub message: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Id of the request.
    pub request: String,
}

/// An answer with a JSON body and a result code.
pub fn json_response<T: Serialize>(code: Code, value: &T) -> FullResponse {
    let body = serde_json::to_vec(value).expect("answers are plain data");
    let mut answer = body_response(code.status(), "application/json", Bytes::from(body));
    set_code_headers(answer.headers_mut(), code);
    answer
}

/// An answer with a text body.
pub fn text_response(status: u16, body: String) -> FullResponse {
    body_response(status, "text/plain; version=0.0.4", Bytes::from(body))
}

/// The answer that carries a refusal.
pub fn refusal_response(refusal: &Refusal, request: &str) -> FullResponse {
    let code = refusal.code;
    let retry_after_ms = refusal.retry.map(|s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX));
    let failure = FailureBody {
        code: code.number(),
        name: code.name().to_owned(),
        outcome: code.outcome().to_string(),
        message: refusal.message.clone(),
        retry_after_ms,
        request: request.to_owned(),
    };
    let mut answer = json_response(code, &failure);
    if let Some(millis) = retry_after_ms {
        let seconds = millis.div_ceil(1_000).max(1);
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

/// Adds the headers that tell the result code.
pub fn set_code_headers(headers: &mut HeaderMap, code: Code) {
    headers.insert(headers::CODE, HeaderValue::from(code.number()));
    headers.insert(headers::OUTCOME, HeaderValue::from_static(code.outcome().as_str()));
}

/// An answer with a body of a content type.
pub fn body_response(status: u16, content: &str, body: Bytes) -> FullResponse {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(content)
        && !content.is_empty()
    {
        answer.headers_mut().insert(CONTENT_TYPE, value);
    }
    answer
}
