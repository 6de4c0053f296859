//! HTTP responses to callers and operators.

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

/// Names of the headers that the daemons read and write.
pub mod headers {
    /// Id of the request, the same in the logs of all processes.
    pub const REQUEST_ID: &str = "request-id";
    /// Team of the caller.
    pub const TEAM: &str = "team";
    /// Time in milliseconds for which the caller waits.
    pub const DEADLINE: &str = "deadline-ms";
    /// Idempotency key of a request or job; required for protected requests.
    pub const KEY: &str = "idempotency-key";
    /// Number of the result code.
    pub const CODE: &str = "result-code";
    /// Outcome of the request: `done`, `not-run` or `unknown`.
    pub const OUTCOME: &str = "outcome";
}

/// A response whose body is complete in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// JSON body of a refusal by a daemon; responses of endpoints are passed on as they are.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FailureBody {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// Outcome of the request: `done`, `not-run` or `unknown`.
    pub outcome: String,
    /// Details of the refusal.
    pub message: String,
    /// Time in milliseconds after which the caller may retry.
    pub retry_after_ms: Option<u64>,
    /// Id of the request.
    pub request: String,
}

/// Builds a response with a JSON body, the HTTP status of `code` and the headers for `code`.
pub fn json_response<T: Serialize>(code: Code, value: &T) -> FullResponse {
    let body = serde_json::to_vec(value).expect("response bodies serialize to JSON");
    let mut response = body_response(code.status(), "application/json", Bytes::from(body));
    set_code_headers(response.headers_mut(), code);
    response
}

/// Builds a plain-text response, labelled as the Prometheus text format 0.0.4.
pub fn text_response(status: u16, body: String) -> FullResponse {
    body_response(status, "text/plain; version=0.0.4", Bytes::from(body))
}

/// Builds the response for a refusal, with `Retry-After` in whole seconds if the caller may retry.
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
    let mut response = json_response(code, &failure);
    if let Some(millis) = retry_after_ms {
        let seconds = millis.div_ceil(1_000).max(1);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Sets the headers that carry the result code and the outcome.
pub fn set_code_headers(headers: &mut HeaderMap, code: Code) {
    headers.insert(headers::CODE, HeaderValue::from(code.number()));
    headers.insert(headers::OUTCOME, HeaderValue::from_static(code.outcome().as_str()));
}

/// Builds a response with a body and its content type, which is left out if it is empty. A status
/// that HTTP does not allow becomes 502.
pub fn body_response(status: u16, content_type: &str, body: Bytes) -> FullResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(content_type)
        && !content_type.is_empty()
    {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
