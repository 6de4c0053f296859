//! A burst of one team beside the others' steady load.

use {
    crate::{
        Result,
        generate::{Counts, Load, Quantiles, Tally, Target, drive},
        service::{Options, Rig},
    },
    serde::Serialize,
    std::rc::Rc,
};

/// Steady load of all teams as a share of capacity.
const STEADY: f64 = 0.5;
/// Load that one team adds as a share of capacity.
const BURST: f64 = 1.5;
/// Rounds of both phases.
const ROUNDS: u64 = 2;

/// What a burst did to the others.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Burst {
    /// The system, else the baseline.
    pub(super) system: bool,
    /// The team that bursts.
    pub(super) team: String,
    /// The others' times without the burst, in milliseconds.
    pub(super) without: Quantiles,
    /// The others' times with it.
    pub(super) during: Quantiles,
    /// What the others got during the burst.
    pub(super) others: Counts,
    /// What the bursting team got.
    pub(super) own: Counts,
}

/// Measures the system, then the baseline.
pub(super) async fn measure(rig: &mut Rig, options: &Options) -> Result<Vec<Burst>> {
    let system = rig.entries();
    let first = one(rig, options, &system, true).await;
    let baseline = rig.baseline();
    let second = one(rig, options, &baseline, false).await;
    baseline.close();
    Ok(vec![first, second])
}

async fn one<T: Target>(rig: &Rig, options: &Options, target: &Rc<T>, system: bool) -> Burst {
    let team = rig.smallest_team().to_owned();
    let burst_mix = rig.mix().team(&team);
    let (mut without, mut during, mut own) = (Tally::default(), Tally::default(), Tally::default());
    for round in 0..ROUNDS {
        let steady = rig.load(rig.capacity() * STEADY, options);
        let steady = Load { seed: steady.seed + round, ..steady };
        without.add(&drive(target, rig.mix(), &steady).await);
        let burst = Load { rate: rig.capacity() * BURST, seed: steady.seed + 100, ..steady };
        let (others, bursting) =
            tokio::join!(drive(target, rig.mix(), &steady), drive(target, &burst_mix, &burst));
        during.add(&others);
        own.add(&bursting);
    }
    let (_, quiet) = without.select(|_, t| t != team);
    let (others, loud) = during.select(|_, t| t != team);
    let own = own.whole().0;
    Burst { system, team, without: quiet, during: loud, others, own }
}
