//! Measures how a burst of one team affects the others under steady load.

use {
    crate::{
        Result,
        generate::{Counts, LoadPhase, Quantiles, RequestStats, Target, drive},
        service::{Options, RunningDeployment},
    },
    serde::Serialize,
    std::rc::Rc,
};

/// Steady load of all teams as a share of capacity.
const STEADY_SHARE: f64 = 0.5;
/// Load that the bursting team adds as a share of capacity.
const BURST_SHARE: f64 = 1.5;
/// Number of rounds; each runs a phase without and one with the burst.
const ROUNDS: u64 = 2;

/// Effect of a burst of one team on the others.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Burst {
    /// Whether the system was measured; the baseline otherwise.
    pub(super) system: bool,
    /// The bursting team.
    pub(super) team: String,
    /// Response times of the other teams without the burst, in milliseconds.
    pub(super) without: Quantiles,
    /// Response times of the other teams during the burst, in milliseconds.
    pub(super) during: Quantiles,
    /// Results of the other teams during the burst.
    pub(super) others: Counts,
    /// Results of the burst itself.
    pub(super) own: Counts,
}

/// Measures the system, then the baseline.
pub(super) async fn measure(
    deployment: &mut RunningDeployment,
    options: &Options,
) -> Result<Vec<Burst>> {
    let system = deployment.entries();
    let first = measure_target(deployment, options, &system, true).await;
    let baseline = deployment.baseline();
    let second = measure_target(deployment, options, &baseline, false).await;
    baseline.close();
    Ok(vec![first, second])
}

async fn measure_target<T: Target>(
    deployment: &RunningDeployment,
    options: &Options,
    target: &Rc<T>,
    system: bool,
) -> Burst {
    let team = deployment.smallest_team().to_owned();
    let burst_mix = deployment.mix().for_team(&team);
    let (mut without, mut during, mut own) =
        (RequestStats::default(), RequestStats::default(), RequestStats::default());
    for round in 0..ROUNDS {
        let steady = deployment.load_phase(deployment.capacity() * STEADY_SHARE, options);
        let steady = LoadPhase { seed: steady.seed + round, ..steady };
        without.merge(&drive(target, deployment.mix(), &steady).await);
        let burst = LoadPhase {
            rate: deployment.capacity() * BURST_SHARE,
            // Differs from the seeds of the steady load in all rounds.
            seed: steady.seed + 100,
            ..steady
        };
        let (others, bursting) = tokio::join!(
            drive(target, deployment.mix(), &steady),
            drive(target, &burst_mix, &burst)
        );
        during.merge(&others);
        own.merge(&bursting);
    }
    let (_, times_without) = without.select(|_, t| t != team);
    let (others, times_during) = during.select(|_, t| t != team);
    let own = own.totals().0;
    Burst { system, team, without: times_without, during: times_during, others, own }
}
