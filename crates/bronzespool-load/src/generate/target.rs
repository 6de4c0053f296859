//! Targets of requests: the entry instances of the system, or the endpoints without the system.

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
    /// Service, kind, team and deadline of the request.
    pub template: RequestTemplate,
    /// Number of the request within its phase; it makes the body unique.
    pub number: u64,
    /// Idempotency key, for a protected kind.
    pub key: Option<String>,
}

impl LoadRequest {
    /// Builds the HTTP request to `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not valid in a header.
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

    /// Whether `body` is the complete response to this request.
    pub fn is_answered_by(&self, body: &[u8]) -> bool {
        let Ok(value) = serde_json::from_slice::<Value>(body) else {
            return false;
        };
        value["body"]["number"] == self.number
            && value["team"] == self.template.team.as_str()
            && value["path"] == self.path()
    }
}

/// A system that serves requests.
pub trait Target: 'static {
    /// Sends a request and classifies its result.
    fn send(&self, request: &LoadRequest) -> impl Future<Output = ResultClass>;
}

/// The entry instances of the system, called in round robin as by a load balancer.
pub struct EntryTarget {
    pools: Vec<Pool>,
    next: Cell<usize>,
}

impl EntryTarget {
    /// Creates a target from addresses.
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

/// Endpoints called directly in round robin, without limits and retries.
pub struct DirectTarget {
    pools: Vec<Pool>,
    next: Cell<usize>,
}

impl DirectTarget {
    /// Creates a target from addresses.
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

/// Returns the next element in round robin.
pub(super) fn round_robin<'a, T>(all: &'a [T], next: &Cell<usize>) -> &'a T {
    let number = next.get();
    next.set(number.wrapping_add(1));
    &all[number % all.len()]
}

/// Classifies a response by status and body alone, as an endpoint sends it, without a result code.
pub(super) fn classify_body(request: &LoadRequest, response: &Response) -> ResultClass {
    if !response.status.is_success() {
        return ResultClass::Failed;
    }
    if request.is_answered_by(&response.body) { ResultClass::Good } else { ResultClass::Wrong }
}

/// Classifies a response of an entry instance by its result code and body.
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
