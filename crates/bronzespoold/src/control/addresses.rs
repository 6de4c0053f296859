//! Addresses of control instances, including instances that are not in the settings.

use {
    bronzespool::core::{HashMap, Instance},
    std::{
        net::{Ipv4Addr, SocketAddr},
        str::FromStr,
    },
};

/// Prefix of an instance name that contains the instance's address.
const NAME_PREFIX: &str = "at-";

/// The name of a control instance that is known by its address only. `None` if no instance name can
/// be made from the address.
pub fn name_from_address(address: SocketAddr) -> Option<Instance> {
    let text = format!("{NAME_PREFIX}{}", address.to_string().replace(['.', ':'], "-"));
    Instance::try_from(text.as_str()).ok()
}

/// Addresses by instance name.
#[derive(Clone, Debug, Default)]
pub(super) struct Addresses {
    configured: HashMap<Instance, SocketAddr>,
}

impl Addresses {
    pub(super) fn new(peers: &[(Instance, SocketAddr)]) -> Self {
        Self { configured: peers.iter().cloned().collect() }
    }

    /// The address of an instance: the configured one, otherwise the one that its name contains.
    pub(super) fn get(&self, name: &Instance) -> Option<SocketAddr> {
        self.configured.get(name).copied().or_else(|| parse_name(name.as_str()))
    }
}

fn parse_name(name: &str) -> Option<SocketAddr> {
    let (ip, port) = name.strip_prefix(NAME_PREFIX)?.rsplit_once('-')?;
    let ip = Ipv4Addr::from_str(&ip.replace('-', ".")).ok()?;
    Some(SocketAddr::from((ip, port.parse().ok()?)))
}
