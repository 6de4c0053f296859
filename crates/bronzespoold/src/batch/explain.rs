//! Explanations of jobs for operators, beside the interface of an adapter.

use {
    crate::{
        batch::{CallError, LeaderClient},
        http::{FullResponse, Handler, json_response, refusal_response},
    },
    bronzespool::{
        batch::{
            JobId,
            message::{Call, Reply},
        },
        core::{Code, Job, Refusal},
        wire::message::ExplainView,
    },
    hyper::{Method, Request, body::Incoming},
    std::{rc::Rc, time::Duration},
};

/// Longest wait for the leader's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves `GET /v1/jobs/JOB/explain`, and leaves all other requests to another handler.
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
            Err(CallError::Refused(refusal)) => Err(refusal),
            Err(error) => Err(Refusal::new(error.code(), error.to_string())),
        }
    }
}

impl<H: Handler> Handler for WithExplain<H> {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> FullResponse {
        let path = request.uri().path().to_owned();
        let job = path.strip_prefix("/v1/jobs/").and_then(|p| p.strip_suffix("/explain"));
        match job.filter(|_| request.method() == Method::GET) {
            Some(job) => match self.explain(job).await {
                Ok(view) => json_response(Code::Done, &view),
                Err(refusal) => refusal_response(&refusal, ""),
            },
            None => Rc::clone(&self.others).handle(request).await,
        }
    }
}
