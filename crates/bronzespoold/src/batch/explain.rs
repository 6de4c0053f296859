//! Explanations of jobs and states of data centres for operators, beside the interface of an adapter.

use {
    crate::{
        batch::{CallError, LeaderClient},
        http::{FullResponse, Handler, json_response, refusal_response},
    },
    bronzespool::{
        batch::{
            JobId,
            ledger::CenterState,
            message::{Call, Reply},
        },
        core::{Code, Job, Refusal},
        wire::message::ExplainView,
    },
    hyper::{Method, Request, body::Incoming},
    serde::Serialize,
    std::{rc::Rc, time::Duration},
};

/// Longest wait for the leader's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a data centre, as an operator reads it.
#[derive(Serialize)]
struct CenterView {
    center: String,
    drained: bool,
    revision: u64,
}

/// Serves `GET /v1/jobs/JOB/explain` and `GET /v1/centers/NAME`, and leaves all other requests to
/// another handler.
pub(super) struct WithExplain<H> {
    others: Rc<H>,
    leader_client: Rc<LeaderClient>,
}

impl<H> WithExplain<H> {
    pub(super) fn new(others: H, leader_client: Rc<LeaderClient>) -> Self {
        Self { others: Rc::new(others), leader_client }
    }

    async fn explain(&self, name: &str) -> Result<ExplainView, Refusal> {
        let unknown = || Refusal::new(Code::UnknownJob, format!("no job {name}"));
        let (Ok(id), Ok(job)) = (name.parse::<JobId>(), Job::try_from(name)) else {
            return Err(unknown());
        };
        match self.leader_client.call(Call::Explain(id), CALL_TIMEOUT).await {
            Ok(Reply::Explained(reason)) => {
                Ok(ExplainView { job, reason, latest_ms: None, holders: Vec::new() })
            }
            Ok(_) => Err(unknown()),
            Err(error) => Err(refusal_of(error)),
        }
    }

    /// Reads the state of a data centre that a worker or a command has named.
    async fn read_center(&self, center: &str) -> Result<CenterView, Refusal> {
        match self.leader_client.call(Call::ReadCenter(center.into()), CALL_TIMEOUT).await {
            Ok(Reply::Center { state, known: true }) => {
                let CenterState { drained, revision } = state;
                Ok(CenterView { center: center.to_owned(), drained, revision })
            }
            Ok(_) => Err(Refusal::from(Code::UnknownCenter)),
            Err(error) => Err(refusal_of(error)),
        }
    }
}

fn refusal_of(error: CallError) -> Refusal {
    match error {
        CallError::Refused(refusal) => refusal,
        error => Refusal::new(error.code(), error.to_string()),
    }
}

fn response<T: Serialize>(result: Result<T, Refusal>) -> FullResponse {
    match result {
        Ok(view) => json_response(Code::Done, &view),
        Err(refusal) => refusal_response(&refusal, ""),
    }
}

impl<H: Handler> Handler for WithExplain<H> {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> FullResponse {
        let path = request.uri().path().to_owned();
        let job = path.strip_prefix("/v1/jobs/").and_then(|p| p.strip_suffix("/explain"));
        let center = path.strip_prefix("/v1/centers/");
        match (job, center) {
            _ if request.method() != Method::GET => Rc::clone(&self.others).handle(request).await,
            (Some(job), _) => response(self.explain(job).await),
            (_, Some(center)) => response(self.read_center(center).await),
            _ => Rc::clone(&self.others).handle(request).await,
        }
    }
}
