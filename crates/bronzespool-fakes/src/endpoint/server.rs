//! HTTP interface of the fake endpoint.
//!
//! `POST` on any path is a request. `GET /record` returns the [`Record`], `PUT /manner` sets work
//! time and fault, and `GET /health` always succeeds.

use {
    crate::{
        endpoint::{
            Record,
            fault::{Behavior, Fault},
        },
        http::{Answer, Payload, Serve, json},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming, header::HeaderValue},
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Instant,
    },
};

/// Header with the request's id, which is repeated in the answer.
const REQUEST_ID: &str = "request-id";
/// Header with the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The fake endpoint.
pub struct Endpoint {
    name: String,
    began: Instant,
    record: RefCell<Record>,
    behavior: Cell<Behavior>,
}

/// The fields of the answer that depend only on the request.
pub fn expected(path: &str, team: &str, key: Option<&str>, body: &Value) -> Value {
    json!({ "path": path, "team": team, "key": key, "body": body })
}

impl Endpoint {
    /// An endpoint named `name` that works `millis` milliseconds on each request.
    pub fn new(name: &str, millis: u64) -> Self {
        Self {
            name: name.to_owned(),
            began: Instant::now(),
            record: RefCell::default(),
            behavior: Cell::new(Behavior { millis, fault: Fault::None }),
        }
    }

    /// A copy of the record.
    pub fn record(&self) -> Record {
        self.record.borrow().clone()
    }

    /// Sets work time and fault.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behavior.set(behavior);
    }

    async fn answer_work(&self, path: &str, headers: &HeaderMap, body: Bytes) -> Answer {
        let header = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let (key, id) = (header(IDEMPOTENCY_KEY), header(REQUEST_ID).unwrap_or_default());
        let at = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.record.borrow_mut().start(key, id, at);
        let behavior = self.behavior.get();
        tokio::time::sleep(behavior.work_time()).await;
        if behavior.fault == Fault::Hang {
            std::future::pending::<()>().await;
        }
        self.record.borrow_mut().finish(key, id);
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let mut value = expected(path, header("team").unwrap_or_default(), key, &body);
        value["by"] = json!(self.name);
        reply(behavior.fault, id, &value)
    }

    async fn serve_request(&self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return json(StatusCode::BAD_REQUEST, &json!({ "error": "body ended early" }));
        };
        let body = body.to_bytes();
        match (parts.method, parts.uri.path()) {
            (Method::GET, "/record") => {
                let record = serde_json::to_value(&*self.record.borrow());
                json(StatusCode::OK, &record.expect("the record can be serialised"))
            }
            (Method::PUT, "/manner") => match serde_json::from_slice(&body) {
                Ok(behavior) => {
                    self.set_behavior(behavior);
                    json(StatusCode::OK, &json!({}))
                }
                Err(error) => json(StatusCode::BAD_REQUEST, &json!({ "error": error.to_string() })),
            },
            (Method::GET, "/health") => json(StatusCode::OK, &json!({})),
            (Method::POST, path) => self.answer_work(path, &parts.headers, body).await,
            _ => json(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
        }
    }
}

fn reply(fault: Fault, id: &str, value: &Value) -> Answer {
    let status = match fault {
        Fault::Fail => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let mut answer = json(status, value);
    let id = if fault == Fault::Crossed { "another" } else { id };
    if let Ok(id) = HeaderValue::from_str(id) {
        answer.headers_mut().insert(REQUEST_ID, id);
    }
    if fault == Fault::Short {
        let data = answer.body().data();
        *answer.body_mut() = Payload::short(&data);
    }
    answer
}

impl Serve for Endpoint {
    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        self.serve_request(request).await
    }
}
