//! HTTP interface of the operators.

use {
    crate::{
        entry::{
            filter::Result,
            jobs::{self, call_control},
            state::State,
        },
        http::{FullResponse, json_response, read_request_body},
    },
    bronzespool::{
        core::{
            Center, Code, Digest, Instance, Key, Refusal, Service,
            settings::{ServiceFile, merge_services},
        },
        flow::drain::CenterChange,
        wire::message::{Call, CenterView, Reply},
    },
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::sleep,
};

/// Maximum size of a publication.
const PUBLISH_MAX_BYTES: u64 = 4 << 20;
/// Maximum size of an order about a data centre.
const ORDER_MAX_BYTES: u64 = 1 << 10;
/// Longest wait for a reply from control.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a revision to be in force on all entries and agents.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks whether a revision is in force.
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

/// Order to drain or restore a data centre.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct CenterOrder {
    /// Revision that the order is based on; if absent, the one that this entry reads first.
    base: Option<u64>,
}

#[derive(Serialize)]
struct CenterBody {
    code: u16,
    #[serde(flatten)]
    view: CenterView,
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

/// Publishes service files as a new revision of the configuration.
pub(super) async fn publish(state: &State, body: Incoming) -> Result<FullResponse> {
    let bytes = read_request_body(body, PUBLISH_MAX_BYTES).await?;
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

/// Digest of a publication. It covers the base revision too, since a resend repeats it.
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

/// Waits until an accepted revision is in force. A check that fails is repeated: the change has
/// been accepted, so the publication may no longer be refused.
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

/// Returns the configuration that this entry applies. Refuses without a session, since the
/// configuration may then be outdated or missing.
pub(super) fn config(state: &State) -> Result<FullResponse> {
    if !state.is_open() {
        return Err(Code::NoSession.into());
    }
    Ok(json_response(Code::Done, &state.view().config))
}

/// Returns the status of the cluster.
pub(super) async fn status(state: &State) -> Result<FullResponse> {
    match call_control(state, &Call::Status, CALL_TIMEOUT).await? {
        Reply::Status(status) => Ok(json_response(Code::Done, &status)),
        _ => Err(Code::Internal.into()),
    }
}

/// Returns the burn rates of the service-level objectives in the whole cluster. Requests that other
/// entries answered are included up to the last report of each entry.
pub(super) async fn report(state: &State) -> Result<FullResponse> {
    state.report_answers().await;
    match call_control(state, &Call::Burn, CALL_TIMEOUT).await? {
        Reply::Burn(rows) => Ok(json_response(Code::Done, &rows)),
        _ => Err(Code::Internal.into()),
    }
}

/// Lists all jobs.
pub(super) async fn list_jobs(state: &State) -> Result<FullResponse> {
    match call_control(state, &Call::Jobs, CALL_TIMEOUT).await? {
        Reply::Jobs(list) => Ok(json_response(Code::Done, &list)),
        _ => Err(Code::Internal.into()),
    }
}

/// Explains why a job waits.
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

/// Returns the drain of a data centre.
pub(super) async fn center(state: &State, center: &str) -> Result<FullResponse> {
    let view = call_center(state, &Call::Center(parse_center(center)?)).await?;
    Ok(center_response(view))
}

/// Drains or restores a data centre. An order without a base is based on the revision that is read
/// here, so that no copy of the call to control changes anything once another order was carried
/// out.
pub(super) async fn change_center(
    state: &State,
    center: &str,
    drained: bool,
    body: Incoming,
) -> Result<FullResponse> {
    let center = parse_center(center)?;
    let bytes = read_request_body(body, ORDER_MAX_BYTES).await?;
    let order = match bytes.is_empty() {
        true => CenterOrder::default(),
        false => serde_json::from_slice(&bytes).map_err(|e| {
            Refusal::new(Code::BodyInvalid, format!("the body cannot be read: {e}"))
        })?,
    };
    let base = match order.base {
        Some(base) => base,
        None => call_center(state, &Call::Center(center.clone())).await?.revision,
    };
    let change = CenterChange { center, drained, base };
    let view = call_center(state, &Call::ChangeCenter(change)).await?;
    Ok(center_response(view))
}

fn parse_center(text: &str) -> Result<Center> {
    Center::try_from(text).map_err(|e| Refusal::new(Code::UnknownCenter, format!("{text:?}: {e}")))
}

async fn call_center(state: &State, call: &Call) -> Result<CenterView> {
    match call_control(state, call, CALL_TIMEOUT).await? {
        Reply::Center(view) => Ok(view),
        _ => Err(Code::Internal.into()),
    }
}

fn center_response(view: CenterView) -> FullResponse {
    json_response(Code::Done, &CenterBody { code: Code::Done.number(), view })
}
