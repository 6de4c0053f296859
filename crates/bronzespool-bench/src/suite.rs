//! All policies on many scenarios.

use {
    crate::{
        decisions::{Driver, Figures, Scale, Scenario, Stream},
        policies::{Backfill, Fifo, Oracle, Scheduler},
    },
    std::{
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
    },
};

/// Seed of the published figures.
pub const SEED: u64 = 1;
/// Hours of submissions of the published figures.
pub const HOURS: u64 = 48;
/// Scenarios run side by side.
const THREADS: usize = 4;

/// Names of all policies, in the order of their figures: the scheduler last.
pub const POLICIES: [&str; 4] = ["fifo-quota", "count-backfill", "oracle", "bronzespool"];

/// Figures of the policies named in `wanted` on one scenario; the others' are empty.
pub fn run_one(scenario: &Scenario, wanted: &[&str]) -> Vec<Figures> {
    let cluster = &scenario.cluster;
    let one = |name: &str| match name {
        _ if !wanted.contains(&name) => Figures::default(),
        "fifo-quota" => Driver::new(scenario).run(&mut Fifo::new(cluster)),
        "count-backfill" => Driver::new(scenario).run(&mut Backfill::new(cluster)),
        "oracle" => Driver::new(scenario).run(&mut Oracle::new(cluster)),
        _ => Driver::new(scenario).run(&mut Scheduler::new(cluster)),
    };
    POLICIES.into_iter().map(one).collect()
}

/// Figures of all policies on the given deployments and streams, in that order.
pub fn run(scales: &[Scale], streams: &[Stream], seed: u64, hours: u64) -> Vec<Vec<Figures>> {
    let pairs: Vec<_> = scales.iter().flat_map(|&a| streams.iter().map(move |&b| (a, b))).collect();
    let next = AtomicUsize::new(0);
    let done = Mutex::new(vec![Vec::new(); pairs.len()]);
    let work = || {
        while let Some((i, (scale, stream))) = take(&next, &pairs) {
            let figures = run_one(&stream.scenario(scale, seed, hours), &POLICIES);
            done.lock().expect("no run has panicked")[i] = figures;
        }
    };
    thread::scope(|scope| (0..THREADS).for_each(|_| _ = scope.spawn(work)));
    done.into_inner().expect("no run has panicked")
}

fn take<T: Copy>(next: &AtomicUsize, items: &[T]) -> Option<(usize, T)> {
    let i = next.fetch_add(1, Ordering::Relaxed);
    items.get(i).map(|&item| (i, item))
}
