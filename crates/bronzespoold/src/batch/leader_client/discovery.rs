//! Finds out which instance leads, and which others there are.

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

/// Longest wait for an instance's word on where control is.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer after which control is asked whether another instance leads, longer
/// than a poll waits for orders.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(450);
/// Time between two looks at where control and the relays are.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two tries to reach control again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);

impl LeaderClient {
    /// Learns of members and relays from the leader, and whether control can be reached again, for
    /// as long as this process lives.
    pub async fn run_refresh(&self) {
        loop {
            let reached = self.refresh().await;
            sleep(if reached { REFRESH_INTERVAL } else { RECONNECT_INTERVAL }).await;
        }
    }

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
            Ok(other) => log::debug!(other:?; "the leader does not say where control is"),
            Err(error) => log::debug!(error:%; "the leader does not answer"),
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
    }

    /// Waits until control says that another instance leads: a leader that is frozen or cut off
    /// would else hold up a call for its whole time.
    pub(super) async fn wait_replaced(&self, leader: Leader) -> Leader {
        loop {
            sleep(LEADER_CHECK_INTERVAL).await;
            match self.query_all().await {
                Some(next) if next.term > leader.term => return next,
                Some(_) | None => {}
            }
        }
    }

    pub(super) async fn locate(&self, limit: Duration) -> Option<Leader> {
        if let Some(leader) = self.leader.get() {
            return Some(leader);
        }
        let leader = timeout(limit, self.query_all()).await.ok()??;
        self.leader.set(Some(leader));
        Some(leader)
    }

    /// Asks all known control instances at once and takes the first that knows the leader.
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
                log::debug!(address:%, other:?; "an instance does not say where control is");
                None
            }
            Err(error) => {
                log::debug!(address:%, error:%; "a control instance does not answer");
                None
            }
        }
    }
}
