//! Where an instance stands and what it has.

use {
    crate::name::{Center, Instance, Rack, Region},
    serde::{Deserialize, Serialize},
};

/// Path of an instance through the topology.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Region of the data centre.
    pub region: Region,
    /// Data centre of the rack.
    pub center: Center,
    /// Rack of the instance.
    pub rack: Rack,
    /// The instance.
    pub instance: Instance,
}

/// What an endpoint instance offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Requests served at once.
    pub slots: u32,
    /// Open connections allowed.
    pub connections: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators, adjacent in the order of their numbers.
    pub accels: u32,
}
