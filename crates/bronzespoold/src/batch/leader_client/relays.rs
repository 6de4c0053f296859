//! Calls through relays, for processes that cannot reach control themselves.
//!
//! A relay answers before its caller's wait is over. Otherwise the caller could not tell a relay
//! that has found no leader from one that has passed the call on, and would have to regard the
//! outcome as unknown.

use {
    super::{ANSWER_TIMEOUT, CallError, LeaderClient, exchange},
    bronzespool::{
        core::Code,
        wire::{
            link::Error,
            message::{Call, CallResult, Reply},
        },
    },
    std::time::Duration,
};

/// Share of the caller's wait that is left for the way to the relay and back.
const WAY_PERCENT: u32 = 25;
/// Least time for the way to the relay and back. It covers a busy relay that answers late.
const WAY_TIME_MIN: Duration = Duration::from_millis(150);

/// Time in which a relay has to answer if its caller waits for `wait`; `None` if more of it would
/// go to the way than to the call.
fn relay_time(wait: Duration) -> Option<Duration> {
    let way = (wait * WAY_PERCENT / 100).max(WAY_TIME_MIN);
    wait.checked_sub(way).filter(|time| *time >= way)
}

impl LeaderClient {
    /// Makes one attempt through a relay; `None` if its outcome is unknown. Without a relay, or if
    /// the time is too short for one, the call is refused as not carried out.
    pub(super) async fn call_relay(&self, call: &Call, wait: Duration) -> Option<CallResult> {
        let relay = self.relays.borrow().front().copied();
        let (Some(relay), Some(time), Call::Batch(passed)) = (relay, relay_time(wait), call) else {
            return Some(Err(Code::NoLeader.into()));
        };
        let within_millis = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let relayed = Call::Relayed { call: Box::new(passed.clone()), within_millis };
        let link = self.link(relay);
        let mut result = exchange(&link, &relayed, wait).await;
        if result.as_ref().is_err_and(Error::is_unread) {
            // A relay of a former version takes the call without the time.
            result = exchange(&link, call, wait).await;
        }
        match result {
            Ok(result) => Some(result),
            Err(error) => {
                log::debug!(relay:%, error:%; "a relay did not answer");
                self.relays.borrow_mut().rotate_left(1);
                error.is_unsent().then(|| Err(Code::NoLeader.into()))
            }
        }
    }

    /// Makes a call for another process that cannot reach control itself. It is refused if this
    /// process cannot reach control either.
    pub async fn relay(&self, call: Call) -> CallResult {
        let (call, time) = match call {
            Call::Relayed { call, within_millis } => {
                (*call, Duration::from_millis(within_millis.into()).min(ANSWER_TIMEOUT))
            }
            // A caller of a former version, which does not say how long it waits.
            Call::Batch(call) => (call, relay_time(ANSWER_TIMEOUT).unwrap_or(ANSWER_TIMEOUT)),
            _ => return Err(Code::Internal.into()),
        };
        if self.cut_off.get() {
            return Err(Code::NoLeader.into());
        }
        match self.call(call, time).await {
            Ok(reply) => Ok(Reply::Batch(reply)),
            Err(CallError::NoLeader) => Err(Code::NoLeader.into()),
            Err(CallError::Unknown) => Err(Code::CommitUnknown.into()),
            Err(CallError::Refused(refusal)) => Err(refusal),
        }
    }
}
