//! Location and capacity of an instance.

use {
    crate::name::{Center, Instance, Rack, Region},
    serde::{Deserialize, Serialize},
};

/// Location of an instance in the topology.
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

/// Capacity that an endpoint instance offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Requests that are served concurrently.
    pub slots: u32,
    /// Open connections allowed.
    pub connections: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators; those with consecutive numbers are adjacent.
    pub accels: u32,
}
