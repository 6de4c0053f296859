//! Where requests are sent: the system's entries, or endpoints without the system.

use {
    crate::{
        Result,
        generate::{Pool, RequestTemplate, Response, ResultClass},
    },
    bronzespool::core::{Code, Outcome},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request},
    serde_json::{Value, json},
    std::{cell::Cell, net::SocketAddr, rc::Rc},
    tokio::time::timeout,
};

/// One request to send.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// What is asked for.
    pub template: RequestTemplate,
    /// Number of the request within the whole run; it makes the body its own.
    pub number: u64,
    /// Idempotency key of a protected kind.
    pub key: Option<String>,
}

impl LoadRequest {
    /// The request at `path`.
    ///
    /// # Errors
    ///
    /// If a name is not fit for a header.
    pub fn to_http(&self, path: &str) -> Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(hyper::header::HOST, "load")
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .header("team", &self.template.team)
            .header("request-id", format!("load-{}", self.number))
            .header("deadline-ms", self.template.deadline.as_millis().to_string());
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        let body = json!({ "number": self.number }).to_string();
        Ok(request.body(Full::new(Bytes::from(body)))?)
    }

    /// Path of the request at an endpoint.
    pub fn path(&self) -> String {
        format!("/{}/{}", self.template.service, self.template.kind)
    }

    /// Whether a body is the whole answer to this very request.
    pub fn is_answered_by(&self, body: &[u8]) -> bool {
        let Ok(value) = serde_json::from_slice::<Value>(body) else {
            return false;
        };
        value["body"]["number"] == self.number
            && value["team"] == self.template.team.as_str()
            && value["path"] == self.path()
    }
}

/// Something that answers requests.
pub trait Target: 'static {
    /// Sends a request and tells what came back.
    fn send(&self, request: &LoadRequest) -> impl Future<Output = ResultClass>;
}

/// The entries of the system, taken in turn as a balancer does.
pub struct EntryTarget {
    pools: Vec<Pool>,
    next: Cell<usize>,
}

impl EntryTarget {
    /// A target of these addresses.
    pub fn new(addresses: &[SocketAddr]) -> Rc<Self> {
        let pools = addresses.iter().copied().map(Pool::new).collect();
        Rc::new(Self { pools, next: Cell::new(0) })
    }
}

impl Target for EntryTarget {
    async fn send(&self, request: &LoadRequest) -> ResultClass {
        let pool = round_robin(&self.pools, &self.next);
        let path = format!("/v1/services/{}/{}", request.template.service, request.template.kind);
        let Ok(http_request) = request.to_http(&path) else {
            return ResultClass::Failed;
        };
        match timeout(request.template.deadline * 2, pool.send(http_request)).await {
            Ok(Ok(response)) => classify_response(request, &response),
            Ok(Err(_)) | Err(_) => ResultClass::Failed,
        }
    }
}

/// Endpoints called directly, in turn, without limits and without retries.
pub struct DirectTarget {
    pools: Vec<Pool>,
    next: Cell<usize>,
}

impl DirectTarget {
    /// A target of these addresses.
    pub fn new(addresses: &[SocketAddr]) -> Rc<Self> {
        let pools = addresses.iter().copied().map(Pool::new).collect();
        Rc::new(Self { pools, next: Cell::new(0) })
    }
}

impl Target for DirectTarget {
    async fn send(&self, request: &LoadRequest) -> ResultClass {
        let pool = round_robin(&self.pools, &self.next);
        let Ok(http_request) = request.to_http(&request.path()) else {
            return ResultClass::Failed;
        };
        match timeout(request.template.deadline, pool.send(http_request)).await {
            Ok(Ok(response)) => classify_body(request, &response),
            Ok(Err(_)) | Err(_) => ResultClass::Failed,
        }
    }
}

/// The next one in turn.
pub(super) fn round_robin<'a, T>(all: &'a [T], next: &Cell<usize>) -> &'a T {
    let number = next.get();
    next.set(number.wrapping_add(1));
    &all[number % all.len()]
}

/// What an endpoint's answer is, without result codes.
pub(super) fn classify_body(request: &LoadRequest, response: &Response) -> ResultClass {
    if !response.status.is_success() {
        return ResultClass::Failed;
    }
    if request.is_answered_by(&response.body) { ResultClass::Good } else { ResultClass::Wrong }
}

fn classify_response(request: &LoadRequest, response: &Response) -> ResultClass {
    let number = response.headers.get("result-code").and_then(|v| v.to_str().ok());
    let code = number.and_then(|t| t.parse::<u16>().ok()).and_then(|n| Code::try_from(n).ok());
    match code.map(Code::outcome) {
        Some(Outcome::Done) => classify_body(request, response),
        Some(Outcome::NotRun) => ResultClass::NotRun,
        Some(Outcome::Unknown) => ResultClass::Unknown,
        None => ResultClass::Failed,
    }
}
