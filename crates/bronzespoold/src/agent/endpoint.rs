//! HTTP client of the endpoint.
//!
//! A connection carries one request at a time and is closed unless the answer arrives complete. An
//! idempotent request may use an idle connection; if that turns out to be closed, the request is
//! sent again on a new one. A protected request always uses a new connection: the endpoint may
//! close an idle one, or the connection may go silent, while the request is in flight, and then it
//! would be unknown whether the request ran.

use {
    crate::{
        http::{Connection, ConnectionPool, Error, FetchedResponse, ReadError, headers},
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::Code,
        flow::{
            admit::{Admission, ConnectionSource},
            claim::{Answer, AnswerBody, Completion},
        },
        wire::message::{RunMode, RunRequest},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, header::CONTENT_TYPE},
    std::{
        cell::RefCell,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Largest answer of the endpoint in bytes.
const ANSWER_MAX_BYTES: u64 = 4 << 20;
/// Longest time for which an idle connection is kept.
pub(super) const IDLE_TIME_MAX: Duration = Duration::from_secs(1);

/// A complete answer and its connection, or why there is none.
type Result<T = (FetchedResponse, Connection), E = Error> = std::result::Result<T, E>;

/// Client of the endpoint that this agent serves.
pub(super) struct Endpoint {
    address: SocketAddr,
    pool: RefCell<ConnectionPool>,
}

/// Outcome of a request, with its connection if that can carry another request.
pub(super) struct EndpointOutcome {
    pub(super) completion: Completion,
    pub(super) connection: Option<Connection>,
}

impl Endpoint {
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self { address, pool: RefCell::new(ConnectionPool::new(IDLE_TIME_MAX)) }
    }

    /// Closes idle connections that have ended or exceeded their idle time, and removes them from
    /// the count in `admission`.
    pub(super) fn trim(&self, admission: &mut Admission) {
        let closed = self.pool.borrow_mut().trim(Instant::now());
        (0..closed).for_each(|_| admission.close_idle());
    }

    /// Closes all idle connections, for a new admission that counts none.
    pub(super) fn clear(&self) {
        self.pool.borrow_mut().clear();
    }

    /// Takes an idle connection from the pool if admission decided so; `None` means a new one. Must
    /// be called right after that decision, so that pool and admission agree.
    pub(super) fn take_idle(&self, source: ConnectionSource) -> Option<Connection> {
        match source {
            ConnectionSource::Idle => self.pool.borrow_mut().take(),
            ConnectionSource::New => None,
        }
    }

    /// Puts a connection into the pool for reuse. Admission must count it as idle at the same time.
    pub(super) fn keep_idle(&self, connection: Connection) {
        self.pool.borrow_mut().put(Instant::now(), connection);
    }

    /// Sends a request to the endpoint and reads its complete answer within `limit`.
    pub(super) async fn send(
        &self,
        idle: Option<Connection>,
        run: &RunRequest,
        body: Bytes,
        limit: Duration,
    ) -> EndpointOutcome {
        let Ok(request) = build_request(run, body) else {
            return EndpointOutcome {
                completion: Completion::NotRun(Code::HeaderInvalid),
                connection: None,
            };
        };
        let result = match (&run.mode, idle) {
            (RunMode::Idempotent, Some(idle)) => self.send_on_idle(idle, request, limit).await,
            (RunMode::Idempotent | RunMode::Protected(_), _) => {
                self.send_on_new(request, limit).await
            }
        };
        match result {
            Ok((fetched, connection)) => answered_outcome(run, &fetched, connection),
            Err(error) => {
                event::EndpointSilent {
                    request: run.request.as_str().to_owned(),
                    error: error.to_string(),
                }
                .emit();
                if matches!(error, Error::Timeout(_)) {
                    // The fault that silenced this connection may affect the idle ones too. They
                    // stay in the count of admission until the next trim.
                    self.pool.borrow_mut().expire(Instant::now());
                }
                EndpointOutcome { completion: error_completion(&error), connection: None }
            }
        }
    }

    async fn send_on_new(&self, request: Request<Full<Bytes>>, limit: Duration) -> Result {
        let connection = Connection::open(self.address, limit).await?;
        connection.exchange(request, ANSWER_MAX_BYTES, limit).await
    }

    /// Sends an idempotent request on an idle connection, and again on a new one if that has ended.
    async fn send_on_idle(
        &self,
        idle: Connection,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result {
        let started = Instant::now();
        match idle.exchange(request.clone(), ANSWER_MAX_BYTES, limit).await {
            Err(Error::Unsent | Error::Transfer(_)) => {
                self.send_on_new(request, limit.saturating_sub(started.elapsed())).await
            }
            result => result,
        }
    }
}

fn answered_outcome(
    run: &RunRequest,
    fetched: &FetchedResponse,
    connection: Connection,
) -> EndpointOutcome {
    let completion = completion(run, fetched);
    let reusable = matches!(completion, Completion::Answered(_));
    EndpointOutcome { completion, connection: reusable.then_some(connection) }
}

fn build_request(
    run: &RunRequest,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("/{}/{}", run.service, run.kind))
        .header(hyper::header::HOST, "endpoint")
        .header(CONTENT_TYPE, "application/json")
        .header(headers::REQUEST_ID, run.request.as_str())
        .header(headers::TEAM, run.team.as_str())
        .header(headers::DEADLINE, run.timeout_millis);
    if let Some(key) = &run.key {
        request = request.header(headers::KEY, key);
    }
    request.body(Full::new(body))
}

/// Converts an answer to a completion. An answer with the id of another request is never passed on.
fn completion(run: &RunRequest, fetched: &FetchedResponse) -> Completion {
    let header = |name| fetched.headers().get(name).and_then(|v| v.to_str().ok());
    if header(headers::REQUEST_ID).is_some_and(|id| id != run.request) {
        event::EndpointAnswerMismatched { request: run.request.as_str().to_owned() }.emit();
        return Completion::Unknown(Code::AnswerShort);
    }
    let content_type = header(CONTENT_TYPE.as_str()).unwrap_or_default();
    Completion::Answered(Answer {
        status: fetched.status().as_u16(),
        content_type: content_type.into(),
        body: AnswerBody::Whole(fetched.body().as_ref().into()),
    })
}

const fn error_completion(error: &Error) -> Completion {
    match error {
        Error::Connect(_) | Error::Refused(_) | Error::Unsent | Error::Invalid(_) => {
            Completion::NotRun(Code::NoEndpoint)
        }
        Error::Timeout(_) => Completion::Unknown(Code::InProgress),
        Error::Body(ReadError::Large(_)) => Completion::Unknown(Code::AnswerTooLarge),
        Error::Transfer(_) | Error::Body(ReadError::Short) => {
            Completion::Unknown(Code::AnswerShort)
        }
    }
}
