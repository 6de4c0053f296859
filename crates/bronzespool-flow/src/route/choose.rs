//! Chooses between candidate endpoints.

use {
    super::load::EndpointLoads,
    crate::{
        outlier::{Eligibility, OutlierDetector},
        view::{EndpointRecord, Presence},
    },
    bronzespool_core::{Center, Instance, Service, Time},
    std::time::Duration,
};

/// An endpoint that may take a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Instance of the endpoint.
    pub instance: Instance,
    /// Data centre of the endpoint.
    pub center: Center,
    /// Number of its slots.
    pub slots: u32,
    /// Whether it may only take requests that serve as probes.
    pub probe_only: bool,
}

/// Costs that decide whether a request leaves its data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteCosts {
    /// Extra time that a request to another data centre takes.
    pub remote_penalty: Duration,
    /// Mean time that an endpoint takes for a request.
    pub request_time: Duration,
}

/// Chooses the endpoints for the requests of one entry.
#[derive(Clone, Debug)]
pub struct Router {
    center: Center,
    random: fastrand::Rng,
}

impl Router {
    /// A router in `center`.
    pub fn new(center: Center, seed: u64) -> Self {
        Self { center, random: fastrand::Rng::with_seed(seed) }
    }

    /// The members of `endpoints` that serve `service`, accept new work and are not in `tried`.
    ///
    /// If all of them are ejected, all of them are candidates: when every endpoint looks bad, the
    /// fault is more likely on the side of the observer.
    pub fn candidates<'a>(
        now: Time,
        service: &Service,
        endpoints: impl Iterator<Item = &'a EndpointRecord>,
        detector: &OutlierDetector,
        tried: &[Instance],
    ) -> Vec<Candidate> {
        let accepts_work = |endpoint: &&EndpointRecord| {
            endpoint.presence == Presence::Up
                && endpoint.services.contains(service)
                && !tried.contains(&endpoint.place.instance)
        };
        let all: Vec<_> = endpoints
            .filter(accepts_work)
            .map(|endpoint| {
                (detector.eligibility(now, &endpoint.place.instance), Candidate::from(endpoint))
            })
            .collect();
        if all.iter().all(|(eligibility, _)| *eligibility == Eligibility::Ejected) {
            return all.into_iter().map(|(_, candidate)| candidate).collect();
        }
        all.into_iter()
            .filter(|(eligibility, _)| *eligibility != Eligibility::Ejected)
            .map(|(eligibility, candidate)| Candidate {
                probe_only: eligibility == Eligibility::ProbeOnly,
                ..candidate
            })
            .collect()
    }

    /// Chooses a candidate for a request that takes `slots` slots. A `repeatable` request may
    /// serve as a probe of an ejected endpoint.
    ///
    /// Returns `None` if all candidates seem to be full.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        candidates: &'a [Candidate],
        loads: &EndpointLoads,
        slots: u32,
        repeatable: bool,
        costs: RouteCosts,
    ) -> Option<&'a Candidate> {
        let free = |c: &&Candidate| loads.used_slots(now, &c.instance) + slots <= c.slots;
        if repeatable && let Some(probe) = candidates.iter().filter(free).find(|c| c.probe_only) {
            return Some(probe);
        }
        let open = candidates.iter().filter(free).filter(|c| !c.probe_only);
        let (near, far): (Vec<_>, Vec<_>) = open.partition(|c| c.center == self.center);
        let near = self.less_loaded(now, &near, loads);
        let far = self.less_loaded(now, &far, loads);
        match (near, far) {
            (Some(near), Some(far)) => {
                let near_cost = expected_cost(now, near, loads, Duration::ZERO, costs);
                let far_cost = expected_cost(now, far, loads, costs.remote_penalty, costs);
                Some(if far_cost < near_cost { far } else { near })
            }
            (near, far) => near.or(far),
        }
    }

    /// Draws two candidates at random and returns the less loaded one.
    fn less_loaded<'a>(
        &mut self,
        now: Time,
        candidates: &[&'a Candidate],
        loads: &EndpointLoads,
    ) -> Option<&'a Candidate> {
        let one = *self.random.choice(candidates)?;
        let two = *self.random.choice(candidates)?;
        Some(if load_share(now, two, loads) < load_share(now, one, loads) { two } else { one })
    }
}

impl From<&EndpointRecord> for Candidate {
    fn from(endpoint: &EndpointRecord) -> Self {
        Self {
            instance: endpoint.place.instance.clone(),
            center: endpoint.place.center.clone(),
            slots: endpoint.capacity.slots,
            probe_only: false,
        }
    }
}

/// Share of the candidate's slots that are in use.
fn load_share(now: Time, candidate: &Candidate, loads: &EndpointLoads) -> f64 {
    f64::from(loads.used_slots(now, &candidate.instance)) / f64::from(candidate.slots.max(1))
}

/// Expected extra time in seconds: `penalty` for the distance, plus the delay at a loaded endpoint.
/// A stale load may miss requests, so the probability of a refusal grows as the free slots run out.
fn expected_cost(
    now: Time,
    candidate: &Candidate,
    loads: &EndpointLoads,
    penalty: Duration,
    costs: RouteCosts,
) -> f64 {
    let load = load_share(now, candidate, loads);
    penalty.as_secs_f64() + costs.request_time.as_secs_f64() * load.powi(4)
}
