//! Fragmentation: free accelerators that the declared mix of shapes cannot use.
//!
//! Defined as in *Beware of Fragmentation* (USENIX ATC 2023): for each kind of the mix, the free
//! accelerators on which no member of a whole gang of it can run, weighted by the kind's share of
//! the declared accelerators.

use crate::decisions::{Cluster, KindPlan, Space};

/// Mean number of free accelerators that a job drawn from the mix cannot use.
pub fn fragmentation(space: &Space, cluster: &Cluster, mix: &[f64]) -> f64 {
    let free = space.free();
    let unusable = |(kind, share): (&KindPlan, &f64)| {
        let usable = usable(space, kind);
        share * f64::from(free - usable)
    };
    cluster.kinds.iter().zip(mix).filter(|(k, s)| k.accels > 0 && **s > 0.0).map(unusable).sum()
}

/// The same if the `free` accelerators lay side by side: in the largest workers, rack by rack.
pub fn floor(cluster: &Cluster, mix: &[f64], free: u32) -> f64 {
    let space = Space::packed(cluster, free);
    fragmentation(&space, cluster, mix)
}

/// Free accelerators on which whole gangs of `kind` can run.
fn usable(space: &Space, kind: &KindPlan) -> u32 {
    let mut rooms: Vec<u32> = Vec::new();
    for worker in 0..space.workers() {
        let domain = space.domain(worker, kind.adjacent);
        if rooms.len() <= domain {
            rooms.resize(domain + 1, 0);
        }
        rooms[domain] += space.room(worker, kind);
    }
    rooms.iter().filter(|&&r| r >= kind.gang).map(|r| r * kind.accels).sum()
}
