//! The stand-in's HTTP interface.

use {
    crate::{
        endpoint::{
            Record,
            fault::{Fault, Manner},
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

/// Header with the request's id, echoed in the answer.
const REQUEST_ID: &str = "request-id";
/// Header with the idempotency key.
const KEY: &str = "idempotency-key";

/// The stand-in endpoint.
pub struct Endpoint {
    name: String,
    began: Instant,
    record: RefCell<Record>,
    manner: Cell<Manner>,
}

/// The answer's fields that depend on nothing but the request.
pub fn expected(path: &str, team: &str, key: Option<&str>, body: &Value) -> Value {
    json!({ "path": path, "team": team, "key": key, "body": body })
}

impl Endpoint {
    /// A stand-in named `name` that takes `millis` for a request.
    pub fn new(name: &str, millis: u64) -> Self {
        Self {
            name: name.to_owned(),
            began: Instant::now(),
            record: RefCell::default(),
            manner: Cell::new(Manner { millis, fault: Fault::None }),
        }
    }

    /// A copy of the record.
    pub fn record(&self) -> Record {
        self.record.borrow().clone()
    }

    /// Sets time and fault.
    pub fn set(&self, manner: Manner) {
        self.manner.set(manner);
    }

    async fn work(&self, path: &str, headers: &HeaderMap, body: Bytes) -> Answer {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let (key, id) = (text(KEY), text(REQUEST_ID).unwrap_or_default());
        let at = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.record.borrow_mut().start(key, id, at);
        let manner = self.manner.get();
        tokio::time::sleep(manner.time()).await;
        if manner.fault == Fault::Hang {
            std::future::pending::<()>().await;
        }
        self.record.borrow_mut().finish(key, id);
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let mut value = expected(path, text("team").unwrap_or_default(), key, &body);
        value["by"] = json!(self.name);
        reply(manner.fault, id, &value)
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
                json(StatusCode::OK, &record.expect("the record is plain data"))
            }
            (Method::PUT, "/manner") => match serde_json::from_slice(&body) {
                Ok(manner) => {
                    self.set(manner);
                    json(StatusCode::OK, &json!({}))
                }
                Err(error) => json(StatusCode::BAD_REQUEST, &json!({ "error": error.to_string() })),
            },
            (Method::GET, "/health") => json(StatusCode::OK, &json!({})),
            (Method::POST, path) => self.work(path, &parts.headers, body).await,
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
