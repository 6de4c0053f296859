//! Addresses of control instances, also of those that no setting names.

use {
    bronzespool::core::{HashMap, Instance},
    std::{
        net::{Ipv4Addr, SocketAddr},
        str::FromStr,
    },
};

/// Start of a name that holds its instance's address.
const NAME_PREFIX: &str = "at-";

/// The name of a control instance that is found by its address alone.
pub fn name_from_address(address: SocketAddr) -> Option<Instance> {
    let text = format!("{NAME_PREFIX}{}", address.to_string().replace(['.', ':'], "-"));
    Instance::try_from(text.as_str()).ok()
}

/// Addresses by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Addresses {
    configured: HashMap<Instance, SocketAddr>,
}

impl Addresses {
    pub(super) fn new(peers: &[(Instance, SocketAddr)]) -> Self {
        Self { configured: peers.iter().cloned().collect() }
    }

    /// The address of an instance: as set, else as its name tells.
    pub(super) fn get(&self, name: &Instance) -> Option<SocketAddr> {
        self.configured.get(name).copied().or_else(|| parse_name(name.as_str()))
    }
}

fn parse_name(name: &str) -> Option<SocketAddr> {
    let (ip, port) = name.strip_prefix(NAME_PREFIX)?.rsplit_once('-')?;
    let ip = Ipv4Addr::from_str(&ip.replace('-', ".")).ok()?;
    Some(SocketAddr::from((ip, port.parse().ok()?)))
}
