//! The operators' interface.

use {
    crate::{
        entry::{
            filter::Result,
            jobs::{self, call_control},
            state::State,
        },
        http::{FullResponse, json_response, read_body},
    },
    bronzespool::{
        core::{
            Code, Digest, Instance, Key, Refusal, Service,
            settings::{ServiceFile, merge_services},
        },
        wire::message::{Call, Reply},
    },
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::sleep,
};

/// Largest publication in bytes.
const PUBLISH_MAX_BYTES: u64 = 4 << 20;
/// Longest wait for control.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a revision to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two questions whether it is.
const IN_FORCE_PAUSE: Duration = Duration::from_millis(20);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Publication {
    base: Option<u64>,
    op: String,
    files: Vec<ServiceFile>,
    #[serde(default)]
    removed: Vec<Service>,
    #[serde(default)]
    wait: bool,
}

#[derive(Serialize)]
struct PublishedBody {
    code: u16,
    revision: u64,
    in_force: bool,
    op: String,
}

#[derive(Serialize)]
struct CodeBody {
    code: u16,
}

/// Publishes service files.
pub(super) async fn publish(state: &State, body: Incoming) -> Result<FullResponse> {
    let bytes = read_body(body, PUBLISH_MAX_BYTES)
        .await
        .map_err(|e| Refusal::new(Code::BodyTooLarge, e.to_string()))?;
    let publication: Publication = serde_json::from_slice(&bytes)
        .map_err(|e| Refusal::new(Code::BodyInvalid, format!("the body cannot be read: {e}")))?;
    let operation = Key::try_from(publication.op.as_str())
        .map_err(|e| Refusal::new(Code::KeyInvalid, format!("op: {e}")))?;
    let config = merge_services(&publication.files)
        .map_err(|faults| Refusal::new(Code::ConfigInvalid, faults.to_string()))?;
    let publish = Call::Publish {
        base: publication.base,
        operation,
        digest: digest(&publication),
        services: config.services.into_values().collect(),
        removed: publication.removed.clone(),
    };
    let revision = match call_control(state, &publish, CALL_TIMEOUT).await? {
        Reply::Published(published) => published.revision,
        _ => return Err(Code::Internal.into()),
    };
    let in_force = publication.wait && wait_in_force(state, revision).await;
    let body = PublishedBody { code: Code::Done.number(), revision, in_force, op: publication.op };
    Ok(json_response(Code::Done, &body))
}

/// Digest of what was published, the base revision included: a resend repeats both.
fn digest(publication: &Publication) -> Digest {
    let mut text = format!("{:?}", publication.base);
    for name in &publication.removed {
        text.push('\0');
        text.push_str(name.as_str());
    }
    for file in &publication.files {
        text.push('\0');
        text.push_str(&file.path);
        text.push('\0');
        text.push_str(&file.text);
    }
    Digest::of(text.as_bytes())
}

/// Waits until an accepted revision is in force. A question without an answer is asked again: the
/// change is accepted, so no refusal may follow.
async fn wait_in_force(state: &State, revision: u64) -> bool {
    let end = state.clock.now() + IN_FORCE_TIMEOUT;
    while state.clock.now() < end {
        if let Ok(Reply::InForce(true)) =
            call_control(state, &Call::InForce(revision), CALL_TIMEOUT).await
        {
            return true;
        }
        sleep(IN_FORCE_PAUSE).await;
    }
    false
}

/// Shows the configuration that this entry applies. Without a session it may be an old one, or
/// none yet.
pub(super) fn config(state: &State) -> Result<FullResponse> {
    if !state.is_open() {
        return Err(Code::NoSession.into());
    }
    Ok(json_response(Code::Done, &state.view().config))
}

/// Shows the system.
pub(super) async fn status(state: &State) -> Result<FullResponse> {
    match call_control(state, &Call::Status, CALL_TIMEOUT).await? {
        Reply::Status(status) => Ok(json_response(Code::Done, &status)),
        _ => Err(Code::Internal.into()),
    }
}

/// Shows the service-level burn of the whole system. Other entries' latest answers are in it as
/// of their last report.
pub(super) async fn report(state: &State) -> Result<FullResponse> {
    state.report_answers().await;
    match call_control(state, &Call::Burn, CALL_TIMEOUT).await? {
        Reply::Burn(rows) => Ok(json_response(Code::Done, &rows)),
        _ => Err(Code::Internal.into()),
    }
}

/// Shows all jobs.
pub(super) async fn list_jobs(state: &State) -> Result<FullResponse> {
    match call_control(state, &Call::Jobs, CALL_TIMEOUT).await? {
        Reply::Jobs(list) => Ok(json_response(Code::Done, &list)),
        _ => Err(Code::Internal.into()),
    }
}

/// Tells why a job waits.
pub(super) async fn explain(state: &State, job: &str) -> Result<FullResponse> {
    match call_control(state, &Call::Explain(jobs::parse_job(job)?), CALL_TIMEOUT).await? {
        Reply::Explained(lines) => Ok(json_response(Code::Done, &lines)),
        _ => Err(Code::Internal.into()),
    }
}

/// Starts the drain of an endpoint.
pub(super) async fn drain(state: &State, instance: &str) -> Result<FullResponse> {
    let name = Instance::try_from(instance)
        .map_err(|e| Refusal::new(Code::UnknownInstance, format!("{instance:?}: {e}")))?;
    call_control(state, &Call::Drain { instance: name, leaving: true }, CALL_TIMEOUT).await?;
    Ok(json_response(Code::Done, &CodeBody { code: Code::Done.number() }))
}
