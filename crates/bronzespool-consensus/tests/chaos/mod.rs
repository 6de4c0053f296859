//! Random fault injection with an oracle that checks the replicas after every step.

pub mod injected;
mod late;
mod losses;
mod oracle;
mod simulation;

pub use self::simulation::{Faults, Simulation};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};

/// Bytes of randomness per case. Once they are used up, the faults end and the cluster must
/// recover.
const CASE_BYTES: u64 = 600;

fn env_number(name: &str, default: u32) -> u32 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Runs cases with fixed seeds. A failure prints the number of the case and arbtest's seed.
///
/// `BRONZESPOOL_FIRST` and `BRONZESPOOL_CASES` select other cases, for example for a longer run.
pub fn cases(faults: Faults) {
    cases_by_default(faults, 2_000);
}

/// Like [`cases`], with another number of cases by default.
pub fn cases_by_default(faults: Faults, default: u32) {
    let first = env_number("BRONZESPOOL_FIRST", 1);
    let count = env_number("BRONZESPOOL_CASES", default);
    (first..first + count).for_each(|case| run_case(faults, case));
}

/// Runs one case.
pub fn run_case(faults: Faults, case: u32) {
    let seed = u64::from(case.wrapping_mul(0x9e37_79b9));
    let property = |u: &mut Unstructured<'_>| run(faults, u);
    let guard = FailurePrinter(case);
    arbtest(property).seed(seed << 32 | CASE_BYTES).run();
    std::mem::forget(guard);
}

/// Prints how to repeat the case if a check fails.
struct FailurePrinter(u32);

impl Drop for FailurePrinter {
    fn drop(&mut self) {
        eprintln!("failed: BRONZESPOOL_FIRST={} BRONZESPOOL_CASES=1", self.0);
    }
}

fn run(faults: Faults, u: &mut Unstructured<'_>) -> Result<()> {
    let mut simulation = Simulation::new(faults, u)?;
    while !u.is_empty() {
        simulation.inject_fault(u)?;
        simulation.check();
    }
    simulation.recover();
    Ok(())
}
