//! Replicas under drawn faults, checked against an oracle after every step.

mod oracle;
mod world;

pub use self::world::{Faults, World};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};

/// Bytes of randomness of one case; the case goes on calmly when they are used up.
const CASE_BYTES: u64 = 600;

fn variable(name: &str, default: u32) -> u32 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Runs cases with fixed seeds; a failure prints the case and arbtest's seed.
///
/// `BRONZESPOOL_CASES` and `BRONZESPOOL_FIRST` choose other cases for a longer run.
pub fn cases(faults: Faults) {
    let first = variable("BRONZESPOOL_FIRST", 1);
    let count = variable("BRONZESPOOL_CASES", 2_000);
    for case in first..first + count {
        let seed = u64::from(case.wrapping_mul(0x9e37_79b9));
        let property = |u: &mut Unstructured<'_>| run(faults, u);
        let guard = Printer(case);
        arbtest(property).seed(seed << 32 | CASE_BYTES).run();
        std::mem::forget(guard);
    }
}

/// Prints the case when a check fails.
struct Printer(u32);

impl Drop for Printer {
    fn drop(&mut self) {
        eprintln!("failed: BRONZESPOOL_FIRST={} BRONZESPOOL_CASES=1", self.0);
    }
}

fn run(faults: Faults, u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = World::new(faults, u)?;
    while !u.is_empty() {
        world.act(u)?;
        world.check();
    }
    world.settle();
    Ok(())
}
