//! Submission, lookup and cancellation of jobs over HTTP.

use {
    crate::entry::{
        filter::{CheckedRequest, Result},
        state::State,
    },
    bronzespool::{
        core::{Code, Digest, Job, Refusal},
        schedule::JobSpec,
        wire::message::{Call, JobView, Reply},
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Pause between two polls of a job that a caller waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a reply from control.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a caller may retry a submission that control did not answer.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time for which a caller may wait for a job.
pub(super) const WAIT_MAX: Duration = Duration::from_secs(60);

/// Submits a job. Its name is derived from the idempotency key, so a resend finds the first job.
pub(super) async fn submit(state: &State, request: &CheckedRequest) -> Result<JobView> {
    let spec = request.spec()?;
    let job = job_name(request)?;
    let (team, service, kind) =
        (request.team.clone(), request.service.clone(), request.kind.clone());
    let job_spec = JobSpec::new(job, team, service, kind)
        .members(spec.gang)
        .need(spec.need)
        .adjacent(spec.adjacent)
        .declared_runtime(spec.runtime)
        .checkpoint_interval(spec.checkpoint)
        .restartable(spec.restart)
        .protected(spec.protected);
    let left = request.time_left(state.clock.now());
    let digest = request.key.as_ref().map(|_| request.digest);
    let submit = Call::Submit { spec: Box::new(job_spec), digest };
    let reply = call_control(state, &submit, left).await;
    job_reply(reply.map_err(|refusal| unsettled_key(request, refusal))?)
}

/// Turns a refusal without a reply from control into [`Code::KeyUnsettled`] if the request has a
/// key: control may have accepted an earlier submission with that key.
fn unsettled_key(request: &CheckedRequest, refusal: Refusal) -> Refusal {
    let silent = matches!(refusal.code, Code::NoLeader | Code::NoSession);
    if silent && request.key.is_some() {
        return Refusal::from(Code::KeyUnsettled).retry_after(RETRY_AFTER);
    }
    refusal
}

/// Derives the job's name from the idempotency key. Without a key each submission is a separate
/// job.
fn job_name(request: &CheckedRequest) -> Result<Job> {
    let text = match &request.key {
        Some(key) => {
            let (team, service, kind) = (&request.team, &request.service, &request.kind);
            format!("{team}\0{service}\0{kind}\0{key}")
        }
        None => format!("{}\0{}", request.id, fastrand::u64(..)),
    };
    let digest = Digest::of(text.as_bytes());
    let hex: String = digest.bytes()[..10].iter().map(|b| format!("{b:02x}")).collect();
    Job::try_from(format!("j-{hex}")).map_err(|e| Refusal::new(Code::Internal, e.to_string()))
}

/// Returns a job, after waiting at most `wait` for its end.
pub(super) async fn show(state: &State, job: &Job, wait: Duration) -> Result<JobView> {
    let end = state.clock.now() + wait;
    loop {
        let view = job_reply(call_control(state, &Call::Job(job.clone()), CALL_TIMEOUT).await?)?;
        if view.ended() || state.clock.now() >= end || state.stopping.get() {
            return Ok(view);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Cancels a job and returns it.
pub(super) async fn cancel(state: &State, job: &Job) -> Result<JobView> {
    call_control(state, &Call::Cancel(vec![job.clone()]), CALL_TIMEOUT).await?;
    show(state, job, Duration::ZERO).await
}

/// Parses a job's name.
pub(super) fn parse_job(text: &str) -> Result<Job> {
    Job::try_from(text).map_err(|e| Refusal::new(Code::UnknownJob, format!("{text:?}: {e}")))
}

/// Calls control and waits at most `time` for the reply.
pub(super) async fn call_control(state: &State, call: &Call, time: Duration) -> Result<Reply> {
    let session_client = state.session_client().ok_or(Code::NoSession)?;
    session_client.call(call, time).await
}

fn job_reply(reply: Reply) -> Result<JobView> {
    match reply {
        Reply::Job(view) => Ok(*view),
        _ => Err(Code::Internal.into()),
    }
}
