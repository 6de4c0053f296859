//! Relays in the links to and between control instances.

use {
    crate::relay::{Mode, Relay, Traffic},
    std::{collections::BTreeMap, io, net::SocketAddr},
};

/// Source of the links that entries and agents share.
const CLIENTS: &str = "";

/// One relay for each direction between two control instances, and one in front of each control
/// instance for entries and agents. The keys are source and target.
#[derive(Debug, Default)]
pub(super) struct Relays {
    links: BTreeMap<(String, String), Relay>,
}

impl Relays {
    pub(super) async fn start(controls: &[(String, SocketAddr)]) -> io::Result<Self> {
        let mut links = BTreeMap::new();
        for (to, address) in controls {
            let from = controls.iter().map(|(name, _)| name.as_str()).filter(|n| n != to);
            for from in from.chain([CLIENTS]) {
                links.insert((from.to_owned(), to.clone()), Relay::start(*address).await?);
            }
        }
        Ok(Self { links })
    }

    /// Address at which entries and agents reach a control instance.
    pub(super) fn client_address(&self, to: &str) -> Option<SocketAddr> {
        self.address(CLIENTS, to)
    }

    /// Names of all control instances, with the addresses at which `from` reaches them.
    pub(super) fn peers(
        &self,
        from: &str,
        controls: &[(String, SocketAddr)],
    ) -> Vec<(String, SocketAddr)> {
        let reached = controls.iter().map(|(to, address)| {
            let address = self.address(from, to).unwrap_or(*address);
            (to.clone(), address)
        });
        reached.collect()
    }

    /// Sets the mode of every relay to and from a control instance.
    pub(super) fn set(&self, control: &str, mode: Mode) {
        let touches = |(from, to): &(String, String)| from == control || to == control;
        let relays = self.links.iter().filter(|(link, _)| touches(link));
        relays.for_each(|(_, relay)| relay.set(mode));
    }

    /// Sets the mode of the relays between a control instance and the other control instances.
    pub(super) fn set_peers(&self, control: &str, mode: Mode) {
        let touches =
            |(from, to): &(String, String)| from != CLIENTS && (from == control || to == control);
        let relays = self.links.iter().filter(|(link, _)| touches(link));
        relays.for_each(|(_, relay)| relay.set(mode));
    }

    /// Traffic through all relays to and from a control instance.
    pub(super) fn traffic(&self, control: &str) -> Traffic {
        let touches = |(from, to): &(String, String)| from == control || to == control;
        let relays = self.links.iter().filter(|(link, _)| touches(link));
        relays.map(|(_, relay)| relay.traffic()).fold(Traffic::default(), |sum, one| Traffic {
            bytes: sum.bytes + one.bytes,
            chunks: sum.chunks + one.chunks,
        })
    }

    fn address(&self, from: &str, to: &str) -> Option<SocketAddr> {
        self.links.get(&(from.to_owned(), to.to_owned())).map(Relay::address)
    }
}
