//! Discovery of the leader, the other control instances and the relays.

use {
    super::{Leader, LeaderClient, exchange},
    crate::telemetry::{Event as _, event},
    bronzespool::{
        batch::message::ControlMap,
        wire::message::{Call, Reply},
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Timeout of a request for the addresses of control.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer after which the control instances are asked whether another one leads.
/// Longer than the leader holds a poll open.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(450);
/// Interval at which the members of control and the relays are refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two attempts to reach control again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);

impl LeaderClient {
    /// Refreshes the members and relays from the leader, or tries to reach control again if it is
    /// cut off. Never returns.
    pub async fn run_refresh(&self) {
        loop {
            let reached = self.refresh().await;
            sleep(if reached { REFRESH_INTERVAL } else { RECONNECT_INTERVAL }).await;
        }
    }

    /// Refreshes the addresses once; returns whether control can be reached.
    async fn refresh(&self) -> bool {
        if self.cut_off.get() {
            let leader = self.query_all().await;
            if let Some(leader) = leader {
                event::ControlRegained { leader: leader.address, term: leader.term }.emit();
                self.leader.set(Some(leader));
                self.cut_off.set(false);
            }
            return leader.is_some();
        }
        let Some(leader) = self.leader.get() else { return true };
        match exchange(&self.link(leader.address), &Call::LocateControl, LOCATE_TIMEOUT).await {
            Ok(Ok(Reply::ControlMap(map))) => self.apply_map(map),
            Ok(other) => log::debug!(other:?; "the leader returned no address map"),
            Err(error) => log::debug!(error:%; "the leader did not answer"),
        }
        true
    }

    fn apply_map(&self, map: ControlMap) {
        if !map.members.is_empty() {
            self.members.replace(map.members);
        }
        if !map.relays.is_empty() {
            self.relays.replace(map.relays.into());
        }
        self.drop_unknown_links();
    }

    /// Waits until another instance leads in a later term. Otherwise a leader that hangs or is cut
    /// off would block a call until its timeout.
    pub(super) async fn wait_replaced(&self, leader: Leader) -> Leader {
        loop {
            sleep(LEADER_CHECK_INTERVAL).await;
            match self.query_all().await {
                Some(next) if next.term > leader.term => return next,
                Some(_) | None => {}
            }
        }
    }

    /// The current leader, found within `limit` if none is known.
    pub(super) async fn locate(&self, limit: Duration) -> Option<Leader> {
        if let Some(leader) = self.leader.get() {
            return Some(leader);
        }
        let leader = timeout(limit, self.query_all()).await.ok()??;
        self.leader.set(Some(leader));
        Some(leader)
    }

    /// Asks all known control instances in parallel; returns the leader from the first answer that
    /// names one.
    async fn query_all(&self) -> Option<Leader> {
        let mut addresses = self.members.borrow().clone();
        addresses.extend(self.seeds.borrow().iter());
        addresses.sort_unstable();
        addresses.dedup();
        let queries = addresses.into_iter().map(|address| self.query(address));
        let mut queries: FuturesUnordered<_> = queries.collect();
        while let Some(map) = queries.next().await {
            let Some(map) = map else { continue };
            let leader = map.leader.map(|address| Leader { address, term: map.term });
            self.apply_map(map);
            if leader.is_some() {
                return leader;
            }
        }
        None
    }

    async fn query(&self, address: SocketAddr) -> Option<ControlMap> {
        match exchange(&self.link(address), &Call::LocateControl, LOCATE_TIMEOUT).await {
            Ok(Ok(Reply::ControlMap(map))) => Some(map),
            Ok(other) => {
                log::debug!(address:%, other:?; "a control instance returned no address map");
                None
            }
            Err(error) => {
                log::debug!(address:%, error:%; "a control instance did not answer");
                None
            }
        }
    }
}
