//! Fragmentation: free accelerators that the declared mix of shapes cannot use.
//!
//! Defined as in *Beware of Fragmentation* (USENIX ATC 2023): for each kind of the mix, the free
//! accelerators on which no member of a whole gang of it can run, weighted by the kind's share of
//! the declared accelerators.

use crate::decisions::{Cluster, FreeCapacity, KindPlan};

/// Mean number of free accelerators that a job drawn from the mix cannot use.
pub fn fragmentation(capacity: &FreeCapacity, cluster: &Cluster, mix: &[f64]) -> f64 {
    let free = capacity.free();
    let unusable = |(kind, share): (&KindPlan, &f64)| {
        let usable = usable(capacity, kind);
        share * f64::from(free - usable)
    };
    cluster.kinds.iter().zip(mix).filter(|(k, s)| k.accels > 0 && **s > 0.0).map(unusable).sum()
}

/// The same if the `free` accelerators lay side by side: in the largest workers, rack by rack.
pub fn fragmentation_floor(cluster: &Cluster, mix: &[f64], free: u32) -> f64 {
    let capacity = FreeCapacity::packed(cluster, free);
    fragmentation(&capacity, cluster, mix)
}

/// Free accelerators on which whole gangs of `kind` can run.
fn usable(capacity: &FreeCapacity, kind: &KindPlan) -> u32 {
    let mut members: Vec<u32> = Vec::new();
    for worker in 0..capacity.workers() {
        let domain = capacity.domain(worker, kind.adjacent);
        if members.len() <= domain {
            members.resize(domain + 1, 0);
        }
        members[domain] += capacity.members_fitting(worker, kind);
    }
    members.iter().filter(|&&m| m >= kind.gang).map(|m| m * kind.accels).sum()
}
