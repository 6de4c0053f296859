//! Reads the complete body and checks that it is JSON.

use {
    crate::{
        entry::{
            filter::{Filter, Result, caller::IdentifiedRequest},
            state::State,
        },
        http::{RequestRoom, read_request_body},
    },
    bronzespool::{
        core::{Code, Digest, Key, Kind, KindSpec, Refusal, Service, Team, Time},
        flow::view::View,
    },
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// A request whose path, headers and body are valid.
#[derive(Clone)]
pub(in crate::entry) struct CheckedRequest {
    pub(in crate::entry) id: String,
    pub(in crate::entry) arrived: Time,
    pub(in crate::entry) deadline: Time,
    pub(in crate::entry) view: Rc<View>,
    pub(in crate::entry) service: Service,
    pub(in crate::entry) kind: Kind,
    pub(in crate::entry) team: Team,
    pub(in crate::entry) key: Option<Key>,
    pub(in crate::entry) digest: Digest,
    pub(in crate::entry) body: Bytes,
    /// Room of the body, until the request is answered.
    #[expect(dead_code, reason = "it is held for its drop")]
    pub(in crate::entry) room: Rc<RequestRoom>,
}

impl CheckedRequest {
    /// The kind's declaration.
    pub(in crate::entry) fn spec(&self) -> Result<&KindSpec> {
        self.view.config.kind(&self.service, &self.kind).ok_or_else(|| Code::UnknownKind.into())
    }

    /// Time until the caller's deadline.
    pub(in crate::entry) const fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}

/// Filter that reads and checks the body.
pub(in crate::entry) struct BodyFilter(pub(in crate::entry) Rc<State>);

impl Filter<IdentifiedRequest> for BodyFilter {
    type Output = CheckedRequest;

    async fn apply(&self, identified: IdentifiedRequest) -> Result<CheckedRequest> {
        let limit = identified.routed.spec()?.body;
        let IdentifiedRequest { routed, team, deadline, key } = identified;
        let time = deadline.since(self.0.clock.now()).min(self.0.header_timeout);
        let reading = read_request_body(routed.raw.request.into_body(), limit);
        let body = match timeout(time, reading).await {
            Ok(body) => body?,
            Err(_) => return Err(Code::HeadersSlow.into()),
        };
        let (body, room) = body.into_parts();
        check_json(&body)?;
        Ok(CheckedRequest {
            id: routed.raw.id,
            arrived: routed.raw.arrived,
            deadline,
            view: routed.view,
            service: routed.service,
            kind: routed.kind,
            team,
            key,
            digest: Digest::of(&body),
            body,
            room: Rc::new(room),
        })
    }
}

fn check_json(body: &[u8]) -> Result<()> {
    if body.is_empty() {
        return Ok(());
    }
    let parsed: serde_json::Result<serde::de::IgnoredAny> = serde_json::from_slice(body);
    match parsed {
        Ok(_) => Ok(()),
        Err(error) => {
            Err(Refusal::new(Code::BodyInvalid, format!("the body is not JSON: {error}")))
        }
    }
}
