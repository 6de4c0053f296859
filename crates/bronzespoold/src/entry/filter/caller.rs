//! Reads the team, the deadline and the idempotency key from the headers.

use {
    crate::{
        entry::filter::{Filter, Result, route::RoutedRequest},
        http::headers,
    },
    bronzespool::core::{Code, Key, Refusal, Team, Time},
    hyper::HeaderMap,
    std::time::Duration,
};

/// Time after which a caller may retry when this entry accepts no work.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest deadline that a caller may set.
const DEADLINE_MAX: Duration = Duration::from_secs(300);

/// A request whose team, deadline and key are known.
pub(in crate::entry) struct IdentifiedRequest {
    pub(in crate::entry) routed: RoutedRequest,
    pub(in crate::entry) team: Team,
    pub(in crate::entry) deadline: Time,
    pub(in crate::entry) key: Option<Key>,
}

/// Filter that reads the headers of the caller.
pub(in crate::entry) struct CallerFilter;

impl Filter<RoutedRequest> for CallerFilter {
    type Output = IdentifiedRequest;

    async fn apply(&self, routed: RoutedRequest) -> Result<IdentifiedRequest> {
        let headers = routed.raw.request.headers();
        let team = team(headers)?;
        if !routed.service_spec()?.teams.contains_key(&team) {
            let message = format!("team {team} may not call service {}", routed.service);
            return Err(Refusal::new(Code::UnknownTeam, message));
        }
        let spec = routed.spec()?;
        let key = key(headers)?;
        if spec.protected && key.is_none() {
            return Err(Code::KeyMissing.into());
        }
        let time = deadline(headers)?.unwrap_or(spec.deadline);
        let deadline = routed.raw.arrived + time;
        Ok(IdentifiedRequest { routed, team, deadline, key })
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let fault = |_| Refusal::new(Code::HeaderInvalid, format!("header {name} is not ASCII text"));
    value.to_str().map(Some).map_err(fault)
}

fn team(headers: &HeaderMap) -> Result<Team> {
    let Some(text) = header_text(headers, headers::TEAM)? else {
        return Err(Refusal::new(Code::HeaderInvalid, "header Team is missing: name your team"));
    };
    Team::try_from(text)
        .map_err(|e| Refusal::new(Code::UnknownTeam, format!("header Team {text:?}: {e}")))
}

fn key(headers: &HeaderMap) -> Result<Option<Key>> {
    let Some(text) = header_text(headers, headers::KEY)? else {
        return Ok(None);
    };
    let fault = |e| Refusal::new(Code::KeyInvalid, format!("header Idempotency-Key: {e}"));
    Key::try_from(text).map(Some).map_err(fault)
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let Some(text) = header_text(headers, headers::DEADLINE)? else {
        return Ok(None);
    };
    let time = text.parse().ok().map(Duration::from_millis);
    match time.filter(|s| !s.is_zero() && *s <= DEADLINE_MAX) {
        Some(time) => Ok(Some(time)),
        None => {
            let max = DEADLINE_MAX.as_millis();
            let message = format!("header Deadline-Ms {text:?} is not a number from 1 to {max}");
            Err(Refusal::new(Code::HeaderInvalid, message))
        }
    }
}
