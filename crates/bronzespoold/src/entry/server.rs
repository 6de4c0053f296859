//! Paths of the entry.

use {
    crate::{
        entry::{
            dispatch::{Dispatch, Served, settle},
            filter::{Caller, Checked, Filter, Raw, ReadBody, Result, Route, Then},
            jobs, operators,
            state::State,
            traffic::Admit,
        },
        http::{Answer, Handle, headers, json, mark, refusal, text, with_body},
        telemetry::{self, Event as _, event},
    },
    bronzespool::core::{Code, Mode, Refusal},
    hyper::{
        Method, Request,
        body::Incoming,
        header::{HeaderValue, LOCATION},
    },
    std::{rc::Rc, time::Duration},
};

/// Longest request id taken over from a caller.
const ID_MAX: usize = 64;

/// Whom an address serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// Callers and operators.
    Both,
    /// Callers only.
    Callers,
    /// Operators only.
    Operators,
}

/// Serves one address.
pub(super) struct Server {
    pub(super) state: Rc<State>,
    pub(super) audience: Audience,
}

impl Handle for Server {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let id = self.id(&request);
        let mut answer = self.route(request, &id).await.unwrap_or_else(|r| refusal(&r, &id));
        if let Ok(value) = HeaderValue::from_str(&id) {
            answer.headers_mut().insert(headers::REQUEST_ID, value);
        }
        answer
    }
}

impl Server {
    /// The caller's request id if it is fit to be logged, else a new one.
    fn id(&self, request: &Request<Incoming>) -> String {
        let given = request.headers().get(headers::REQUEST_ID).and_then(|v| v.to_str().ok());
        let fit = |t: &&str| {
            !t.is_empty() && t.len() <= ID_MAX && t.bytes().all(|b| b.is_ascii_graphic())
        };
        given.filter(fit).map_or_else(|| self.state.request_id(), ToOwned::to_owned)
    }

    async fn route(&self, request: Request<Incoming>, id: &str) -> Result<Answer> {
        let path = request.uri().path().to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        let method = request.method().clone();
        match (&method, parts.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(text(200, "ok\n".to_owned())),
            (&Method::GET, ["readyz"]) => Ok(self.ready()),
            (&Method::GET, ["metrics"]) => Ok(text(200, telemetry::render())),
            (_, ["v1", rest @ ..]) => self.api(&method, rest, request, id).await,
            _ => Err(unknown(&method, &path)),
        }
    }

    async fn api(
        &self,
        method: &Method,
        parts: &[&str],
        request: Request<Incoming>,
        id: &str,
    ) -> Result<Answer> {
        let callers = self.audience != Audience::Operators;
        let operators = self.audience != Audience::Callers;
        let state = &self.state;
        match (method, parts) {
            (&Method::POST, ["services", service, kind]) if callers => {
                self.serve(service, kind, request, id).await
            }
            (&Method::GET, ["jobs", job]) => {
                let wait = wait(request.uri().query())?;
                let view = jobs::show(state, &jobs::parse(job)?, wait).await?;
                Ok(json(Code::Done, &view))
            }
            (&Method::DELETE, ["jobs", job]) => {
                let view = jobs::cancel(state, &jobs::parse(job)?).await?;
                Ok(json(Code::Done, &view))
            }
            (&Method::GET, ["jobs"]) if operators => operators::list_jobs(state).await,
            (&Method::GET, ["jobs", job, "explain"]) if operators => {
                operators::explain(state, job).await
            }
            (&Method::GET, ["status"]) if operators => operators::status(state).await,
            (&Method::GET, ["config"]) if operators => operators::config(state),
            (&Method::POST, ["config"]) if operators => {
                operators::publish(state, request.into_body()).await
            }
            (&Method::POST, ["instances", name, "drain"]) if operators => {
                operators::drain(state, name).await
            }
            (&Method::GET, ["report"]) if operators => operators::report(state).await,
            _ => Err(unknown(method, request.uri().path())),
        }
    }

    fn ready(&self) -> Answer {
        if self.state.open() {
            return text(200, "ready\n".to_owned());
        }
        text(503, "not ready\n".to_owned())
    }

    /// A caller's request, through the filter chain.
    async fn serve(
        &self,
        service: &str,
        kind: &str,
        request: Request<Incoming>,
        id: &str,
    ) -> Result<Answer> {
        let raw = Raw {
            id: id.to_owned(),
            arrived: self.state.clock.now(),
            service: service.to_owned(),
            kind: kind.to_owned(),
            request,
        };
        let state = &self.state;
        let checks = Then(Route(Rc::clone(state)), Then(Caller, ReadBody(Rc::clone(state))));
        let checked = checks.apply(raw).await?;
        let result = match checked.spec()?.mode {
            Mode::Job => self.submit(&checked).await,
            Mode::Request => self.dispatch(&checked).await,
        };
        self.note(&checked, &result);
        result
    }

    async fn dispatch(&self, request: &Checked) -> Result<Answer> {
        let state = &self.state;
        let result = match Admit(Rc::clone(state)).apply(request.clone()).await {
            Ok(admitted) => Dispatch(Rc::clone(state)).apply(admitted).await,
            Err(refusal) => settle(state, request, refusal).await,
        };
        result.map(|s| served(&s))
    }

    async fn submit(&self, request: &Checked) -> Result<Answer> {
        let view = jobs::submit(&self.state, request).await?;
        let mut answer = json(Code::Accepted, &view);
        if let Ok(location) = HeaderValue::from_str(&format!("/v1/jobs/{}", view.job)) {
            answer.headers_mut().insert(LOCATION, location);
        }
        Ok(answer)
    }

    /// Logs and counts one request.
    fn note(&self, request: &Checked, result: &Result<Answer>) {
        let now = self.state.clock.now();
        let took = now.since(request.arrived);
        let code = result.as_ref().map_or_else(|r| r.code, |_| Code::Done);
        self.state.report.note(now, request, took, code);
        telemetry::record_request(&request.service, &request.kind, code, took);
        event::RequestAnswered {
            request: request.id.as_str().to_owned(),
            service: request.service.to_string(),
            kind: request.kind.to_string(),
            team: request.team.to_string(),
            code: code.number(),
            outcome: code.outcome().to_string(),
            took_us: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
        }
        .emit();
    }
}

fn served(served: &Served) -> Answer {
    let mut answer = with_body(served.status, &served.content, served.body.clone());
    mark(answer.headers_mut(), Code::Done);
    answer
}

fn unknown(method: &Method, path: &str) -> Refusal {
    Refusal::new(Code::PathUnknown, format!("no {method} {path}"))
}

/// Reads `wait=MILLISECONDS` of a query.
fn wait(query: Option<&str>) -> Result<Duration> {
    let pairs = query.unwrap_or_default().split('&');
    let Some(text) = pairs.filter_map(|p| p.strip_prefix("wait=")).next() else {
        return Ok(Duration::ZERO);
    };
    let fault =
        |_| Refusal::new(Code::HeaderInvalid, format!("wait={text:?} is not in milliseconds"));
    text.parse().map(|ms| Duration::from_millis(ms).min(jobs::WAIT_MAX)).map_err(fault)
}
