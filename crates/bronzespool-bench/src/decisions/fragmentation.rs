//! Fragmentation: free accelerators that the declared mix of job kinds cannot use.
//!
//! The definition follows *Beware of Fragmentation* (USENIX ATC 2023): the sum, over all kinds of
//! the mix, of the free accelerators on which no member of a whole gang of that kind can run,
//! weighted by the kind's share of the declared accelerators.

use crate::decisions::{Cluster, FreeCapacity, KindPlan};

/// Expected number of free accelerators that a job drawn from the mix cannot use.
pub fn fragmentation(capacity: &FreeCapacity, cluster: &Cluster, mix: &[f64]) -> f64 {
    let free = capacity.free();
    let unusable = |(kind, share): (&KindPlan, &f64)| {
        let usable = usable(capacity, kind);
        share * f64::from(free - usable)
    };
    cluster.kinds.iter().zip(mix).filter(|(k, s)| k.accels > 0 && **s > 0.0).map(unusable).sum()
}

/// Fragmentation if the `free` accelerators were adjacent, on the largest workers and rack by rack.
pub fn fragmentation_floor(cluster: &Cluster, mix: &[f64], free: u32) -> f64 {
    let capacity = FreeCapacity::packed(cluster, free);
    fragmentation(&capacity, cluster, mix)
}

/// Number of free accelerators on which members of whole gangs of `kind` can run.
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
