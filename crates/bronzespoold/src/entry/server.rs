//! Routes HTTP requests by method and path.

use {
    crate::{
        entry::{
            dispatch::{DispatchFilter, EndpointResponse, settle_refusal},
            filter::{
                BodyFilter, CallerFilter, Chain, CheckedRequest, Filter, RawRequest, Result,
                RouteFilter,
            },
            jobs, operators,
            state::State,
            traffic::AdmitFilter,
        },
        http::{
            FullResponse, Handler, body_response, headers, json_response, refusal_response,
            set_code_headers, text_response,
        },
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

/// Maximum length of a request id that is taken over from a caller.
const ID_BYTES_MAX: usize = 64;

/// The users that a listen address serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Audience {
    /// Callers and operators.
    Both,
    /// Callers only.
    Callers,
    /// Operators only.
    Operators,
}

/// HTTP handler of one listen address.
pub(super) struct Server {
    pub(super) state: Rc<State>,
    pub(super) audience: Audience,
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> FullResponse {
        let id = self.id(&request);
        let mut answer =
            self.route(request, &id).await.unwrap_or_else(|r| refusal_response(&r, &id));
        if let Ok(value) = HeaderValue::from_str(&id) {
            answer.headers_mut().insert(headers::REQUEST_ID, value);
        }
        answer
    }
}

impl Server {
    /// Returns the caller's request id if it can be logged safely, otherwise a new one.
    fn id(&self, request: &Request<Incoming>) -> String {
        let caller_id = request.headers().get(headers::REQUEST_ID).and_then(|v| v.to_str().ok());
        let is_loggable = |t: &&str| {
            !t.is_empty() && t.len() <= ID_BYTES_MAX && t.bytes().all(|b| b.is_ascii_graphic())
        };
        caller_id.filter(is_loggable).map_or_else(|| self.state.request_id(), ToOwned::to_owned)
    }

    async fn route(&self, request: Request<Incoming>, id: &str) -> Result<FullResponse> {
        let path = request.uri().path().to_owned();
        let segments: Vec<_> = path.trim_matches('/').split('/').collect();
        let method = request.method().clone();
        match (&method, segments.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(text_response(200, "ok\n".to_owned())),
            (&Method::GET, ["readyz"]) => Ok(self.ready()),
            (&Method::GET, ["metrics"]) => Ok(text_response(200, telemetry::render())),
            (_, ["v1", rest @ ..]) => self.api(&method, rest, request, id).await,
            _ => Err(unknown_path(&method, &path)),
        }
    }

    async fn api(
        &self,
        method: &Method,
        segments: &[&str],
        request: Request<Incoming>,
        id: &str,
    ) -> Result<FullResponse> {
        let callers = self.audience != Audience::Operators;
        let operators = self.audience != Audience::Callers;
        let state = &self.state;
        match (method, segments) {
            (&Method::POST, ["services", service, kind]) if callers => {
                self.serve(service, kind, request, id).await
            }
            (&Method::GET, ["jobs", job]) => {
                let wait = parse_wait(request.uri().query())?;
                let view = jobs::show(state, &jobs::parse_job(job)?, wait).await?;
                Ok(json_response(Code::Done, &view))
            }
            (&Method::DELETE, ["jobs", job]) => {
                let view = jobs::cancel(state, &jobs::parse_job(job)?).await?;
                Ok(json_response(Code::Done, &view))
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
            (&Method::GET, ["centers", name]) if operators => operators::center(state, name).await,
            (&Method::POST, ["centers", name, order @ ("drain" | "restore")]) if operators => {
                let drained = *order == "drain";
                operators::change_center(state, name, drained, request.into_body()).await
            }
            (&Method::GET, ["report"]) if operators => operators::report(state).await,
            _ => Err(unknown_path(method, request.uri().path())),
        }
    }

    fn ready(&self) -> FullResponse {
        if self.state.is_open() {
            return text_response(200, "ready\n".to_owned());
        }
        text_response(503, "not ready\n".to_owned())
    }

    /// Checks a caller's request with the filter chain, then dispatches it or submits it as a job.
    async fn serve(
        &self,
        service: &str,
        kind: &str,
        request: Request<Incoming>,
        id: &str,
    ) -> Result<FullResponse> {
        let raw = RawRequest {
            id: id.to_owned(),
            arrived: self.state.clock.now(),
            service: service.to_owned(),
            kind: kind.to_owned(),
            request,
        };
        let state = &self.state;
        let checks =
            Chain(RouteFilter(Rc::clone(state)), Chain(CallerFilter, BodyFilter(Rc::clone(state))));
        let checked = checks.apply(raw).await?;
        let result = match checked.spec()?.mode {
            Mode::Job => self.submit(&checked).await,
            Mode::Request => self.dispatch(&checked).await,
        };
        self.record(&checked, &result);
        result
    }

    async fn dispatch(&self, request: &CheckedRequest) -> Result<FullResponse> {
        let state = &self.state;
        let result = match AdmitFilter(Rc::clone(state)).apply(request.clone()).await {
            Ok(admitted) => DispatchFilter(Rc::clone(state)).apply(admitted).await,
            Err(refusal) => settle_refusal(state, request, refusal).await,
        };
        result.map(|s| endpoint_answer(&s))
    }

    async fn submit(&self, request: &CheckedRequest) -> Result<FullResponse> {
        let view = jobs::submit(&self.state, request).await?;
        let mut answer = json_response(Code::Accepted, &view);
        if let Ok(location) = HeaderValue::from_str(&format!("/v1/jobs/{}", view.job)) {
            answer.headers_mut().insert(LOCATION, location);
        }
        Ok(answer)
    }

    /// Logs a request and counts it in the metrics and the report.
    fn record(&self, request: &CheckedRequest, result: &Result<FullResponse>) {
        let now = self.state.clock.now();
        let elapsed = now.since(request.arrived);
        let code = result.as_ref().map_or_else(|r| r.code, |_| Code::Done);
        self.state.reporter.record(now, request, elapsed, code);
        telemetry::record_request(&request.service, &request.kind, code, elapsed);
        event::RequestAnswered {
            request: request.id.as_str().to_owned(),
            service: request.service.to_string(),
            kind: request.kind.to_string(),
            team: request.team.to_string(),
            code: code.number(),
            outcome: code.outcome().to_string(),
            took_us: u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
        }
        .emit();
    }
}

fn endpoint_answer(response: &EndpointResponse) -> FullResponse {
    let mut answer = body_response(response.status, &response.content_type, response.body.clone());
    set_code_headers(answer.headers_mut(), Code::Done);
    answer
}

fn unknown_path(method: &Method, path: &str) -> Refusal {
    Refusal::new(Code::PathUnknown, format!("no {method} {path}"))
}

/// Parses `wait=MILLISECONDS` in a query; zero if it is absent.
fn parse_wait(query: Option<&str>) -> Result<Duration> {
    let pairs = query.unwrap_or_default().split('&');
    let Some(text) = pairs.filter_map(|p| p.strip_prefix("wait=")).next() else {
        return Ok(Duration::ZERO);
    };
    let fault =
        |_| Refusal::new(Code::HeaderInvalid, format!("wait={text:?} is not in milliseconds"));
    text.parse().map(|ms| Duration::from_millis(ms).min(jobs::WAIT_MAX)).map_err(fault)
}
