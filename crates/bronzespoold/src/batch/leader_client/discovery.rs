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
const WHERE_TIME: Duration = Duration::from_millis(500);
/// Time without an answer after which control is asked whether another instance leads, longer
/// than a poll waits for orders.
const REPLACED_LOOK: Duration = Duration::from_millis(450);
/// Time between two looks at where control and the relays are.
const REFRESH: Duration = Duration::from_secs(2);
/// Time between two tries to reach control again.
const REACH: Duration = Duration::from_millis(250);

impl LeaderClient {
    /// Learns of members and relays from the leader, and whether control can be reached again, for
    /// as long as this process lives.
    pub async fn run_refresh(&self) {
        loop {
            let reached = self.refresh().await;
            sleep(if reached { REFRESH } else { REACH }).await;
        }
    }

    async fn refresh(&self) -> bool {
        if self.cut.get() {
            let found = self.ask_all().await;
            if let Some(leader) = found {
                event::ControlRegained { leader: leader.address, term: leader.term }.emit();
                self.leader.set(found);
                self.cut.set(false);
            }
            return found.is_some();
        }
        let Some(leader) = self.leader.get() else { return true };
        match exchange(&self.link(leader.address), &Call::LocateControl, WHERE_TIME).await {
            Ok(Ok(Reply::ControlMap(map))) => self.learn(map),
            Ok(other) => log::debug!(other:?; "the leader does not say where control is"),
            Err(error) => log::debug!(error:%; "the leader does not answer"),
        }
        true
    }

    fn learn(&self, map: ControlMap) {
        if !map.members.is_empty() {
            self.members.replace(map.members);
        }
        if !map.relays.is_empty() {
            self.relays.replace(map.relays.into());
        }
    }

    /// Waits until control says that another instance leads: a leader that is frozen or cut off
    /// would else hold up a call for its whole time.
    pub(super) async fn replaced(&self, leader: Leader) -> Leader {
        loop {
            sleep(REPLACED_LOOK).await;
            match self.ask_all().await {
                Some(next) if next.term > leader.term => return next,
                Some(_) | None => {}
            }
        }
    }

    pub(super) async fn locate(&self, time: Duration) -> Option<Leader> {
        if let Some(leader) = self.leader.get() {
            return Some(leader);
        }
        let found = timeout(time, self.ask_all()).await.ok()??;
        self.leader.set(Some(found));
        Some(found)
    }

    /// Asks all known control instances at once and takes the first that knows the leader.
    async fn ask_all(&self) -> Option<Leader> {
        let mut known = self.members.borrow().clone();
        known.extend(self.seeds.borrow().iter());
        known.sort_unstable();
        known.dedup();
        let asks = known.into_iter().map(|address| self.ask_one(address));
        let mut asks: FuturesUnordered<_> = asks.collect();
        while let Some(map) = asks.next().await {
            let Some(map) = map else { continue };
            let leader = map.leader.map(|address| Leader { address, term: map.term });
            self.learn(map);
            if leader.is_some() {
                return leader;
            }
        }
        None
    }

    async fn ask_one(&self, address: SocketAddr) -> Option<ControlMap> {
        match exchange(&self.link(address), &Call::LocateControl, WHERE_TIME).await {
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
