//! Free capacity, placement and fragmentation.

use bronzespool_bench::decisions::{
    Fit, FreeCapacity, Scale, Slot, fragmentation, fragmentation_floor,
};

#[test]
fn place_gang_within_one_rack() {
    let cluster = Scale::Cooperative.cluster();
    let mut capacity = FreeCapacity::new(&cluster);
    let history = &cluster.kinds[4];
    let slots = capacity.place(history, Fit::First, &[]).expect("an empty cluster holds a rack");
    assert!(capacity.is_gang(&slots, history));
    assert_eq!(slots.iter().map(|s| s.worker).collect::<Vec<_>>(), [0, 1, 2]);
}

#[test]
fn place_full_domain_returns_none() {
    let cluster = Scale::Cooperative.cluster();
    let mut capacity = FreeCapacity::new(&cluster);
    let single = &cluster.kinds[0];
    for worker in [0, 4, 7] {
        assert!(capacity.take(&[Slot { worker, mask: 1 }], single));
    }
    assert_eq!(capacity.place(&cluster.kinds[4], Fit::Best, &[]), None);
}

#[test]
fn take_held_slot_changes_nothing() {
    let cluster = Scale::Cooperative.cluster();
    let mut capacity = FreeCapacity::new(&cluster);
    let pair = &cluster.kinds[1];
    assert!(capacity.take(&[Slot { worker: 1, mask: 3 }], pair));
    let free = capacity.free();
    assert!(!capacity.take(&[Slot { worker: 0, mask: 3 }, Slot { worker: 1, mask: 3 }], pair));
    assert_eq!(capacity.free(), free);
}

#[test]
fn is_gang_rejects_part_and_misaligned() {
    let cluster = Scale::Cooperative.cluster();
    let capacity = FreeCapacity::new(&cluster);
    let history = &cluster.kinds[4];
    let slots = [Slot { worker: 0, mask: 255 }, Slot { worker: 1, mask: 255 }];
    assert!(!capacity.is_gang(&slots, history), "two members of three");
    let pair = &cluster.kinds[1];
    assert!(!capacity.is_gang(&[Slot { worker: 0, mask: 0b110 }], pair), "not aligned");
}

#[test]
fn best_fit_keeps_large_blocks() {
    let cluster = Scale::Cooperative.cluster();
    let mut capacity = FreeCapacity::new(&cluster);
    let single = &cluster.kinds[0];
    assert!(capacity.take(&[Slot { worker: 5, mask: 1 }], single));
    let slots = capacity.place(single, Fit::Best, &[]).expect("there is room");
    assert_eq!(slots, [Slot { worker: 5, mask: 2 }]);
}

#[test]
fn fragmentation_whole_racks_free_is_none() {
    let cluster = Scale::Cooperative.cluster();
    let capacity = FreeCapacity::packed(&cluster, 24);
    let mix = [0.2, 0.2, 0.2, 0.2, 0.2];
    assert_eq!(fragmentation(&capacity, &cluster, &mix), 0.0);
}

#[test]
fn fragmentation_one_accelerator_each_serves_singles_only() {
    let cluster = Scale::Cooperative.cluster();
    let mut capacity = FreeCapacity::packed(&cluster, 0);
    for worker in 0..10 {
        capacity.release(&[Slot { worker, mask: 1 }], &cluster.kinds[0]);
    }
    let mix = [0.25, 0.25, 0.25, 0.25, 0.0];
    assert_eq!(fragmentation(&capacity, &cluster, &mix), 7.5);
    assert_eq!(
        fragmentation_floor(&cluster, &mix, 10),
        1.0,
        "one whole worker and 2 accelerators that two kinds cannot use"
    );
}
