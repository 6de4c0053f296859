//! Simulates all policies on many scenarios in parallel.

use {
    crate::{
        decisions::{Figures, Scale, Scenario, Simulator, Stream},
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
/// Number of scenarios simulated in parallel.
const THREADS: usize = 4;

/// Names of all policies, in the order of their figures; the project's scheduler is last.
pub const POLICIES: [&str; 4] = ["fifo-quota", "count-backfill", "oracle", "bronzespool"];

/// Figures of all policies on one scenario, in the order of [`POLICIES`]; those of policies not
/// named in `wanted` are left empty.
pub fn run_scenario(scenario: &Scenario, wanted: &[&str]) -> Vec<Figures> {
    let cluster = &scenario.cluster;
    let simulate = |name: &str| match name {
        _ if !wanted.contains(&name) => Figures::default(),
        "fifo-quota" => Simulator::new(scenario).run(&mut Fifo::new(cluster)),
        "count-backfill" => Simulator::new(scenario).run(&mut Backfill::new(cluster)),
        "oracle" => Simulator::new(scenario).run(&mut Oracle::new(cluster)),
        _ => Simulator::new(scenario).run(&mut Scheduler::new(cluster)),
    };
    POLICIES.into_iter().map(simulate).collect()
}

/// Figures of all policies on all given deployments and streams, ordered by deployment, then
/// stream.
pub fn run(scales: &[Scale], streams: &[Stream], seed: u64, hours: u64) -> Vec<Vec<Figures>> {
    let pairs: Vec<_> = scales.iter().flat_map(|&a| streams.iter().map(move |&b| (a, b))).collect();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Vec::new(); pairs.len()]);
    let run_next = || {
        while let Some((i, (scale, stream))) = next_item(&next, &pairs) {
            let figures = run_scenario(&stream.scenario(scale, seed, hours), &POLICIES);
            results.lock().expect("no run has panicked")[i] = figures;
        }
    };
    thread::scope(|scope| (0..THREADS).for_each(|_| _ = scope.spawn(run_next)));
    results.into_inner().expect("no run has panicked")
}

fn next_item<T: Copy>(next: &AtomicUsize, items: &[T]) -> Option<(usize, T)> {
    let i = next.fetch_add(1, Ordering::Relaxed);
    items.get(i).map(|&item| (i, item))
}
