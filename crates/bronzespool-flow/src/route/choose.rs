//! The choice between candidates.

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
    /// The endpoint.
    pub instance: Instance,
    /// Its data centre.
    pub center: Center,
    /// Its slots.
    pub slots: u32,
    /// Whether it may be used for probes only.
    pub probe_only: bool,
}

/// When a request leaves its data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteCosts {
    /// Extra time of a request to another data centre.
    pub remote_penalty: Duration,
    /// Mean time of a request at an endpoint.
    pub request_time: Duration,
}

/// Chooses endpoints for one entry.
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

    /// The endpoints of `service` among `endpoints` that take new work and are not in `tried`.
    ///
    /// If every one is ejected, all of them are candidates: bad evidence about all says more
    /// about the observer.
    pub fn candidates<'a>(
        now: Time,
        service: &Service,
        endpoints: impl Iterator<Item = &'a EndpointRecord>,
        detector: &OutlierDetector,
        tried: &[Instance],
    ) -> Vec<Candidate> {
        let fit = |endpoint: &&EndpointRecord| {
            endpoint.presence == Presence::Up
                && endpoint.services.contains(service)
                && !tried.contains(&endpoint.place.instance)
        };
        let all: Vec<_> = endpoints
            .filter(fit)
            .map(|endpoint| {
                (detector.eligibility(now, &endpoint.place.instance), Candidate::from(endpoint))
            })
            .collect();
        if all.iter().all(|(usable, _)| *usable == Eligibility::Ejected) {
            return all.into_iter().map(|(_, candidate)| candidate).collect();
        }
        all.into_iter()
            .filter(|(usable, _)| *usable != Eligibility::Ejected)
            .map(|(usable, candidate)| Candidate {
                probe_only: usable == Eligibility::ProbeOnly,
                ..candidate
            })
            .collect()
    }

    /// Chooses among `candidates` for a request of `need` slots. `repeatable` says that the
    /// request may serve as a probe.
    ///
    /// Returns `None` if all of them are believed full.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        candidates: &'a [Candidate],
        loads: &EndpointLoads,
        need: u32,
        repeatable: bool,
        costs: RouteCosts,
    ) -> Option<&'a Candidate> {
        let free = |c: &&Candidate| loads.used_slots(now, &c.instance) + need <= c.slots;
        if repeatable && let Some(probe) = candidates.iter().filter(free).find(|c| c.probe_only) {
            return Some(probe);
        }
        let open = candidates.iter().filter(free).filter(|c| !c.probe_only);
        let (near, far): (Vec<_>, Vec<_>) = open.partition(|c| c.center == self.center);
        let near = self.lighter(now, &near, loads);
        let far = self.lighter(now, &far, loads);
        match (near, far) {
            (Some(near), Some(far)) => {
                let near_cost = cost(now, near, loads, Duration::ZERO, costs);
                let far_cost = cost(now, far, loads, costs.remote_penalty, costs);
                Some(if far_cost < near_cost { far } else { near })
            }
            (near, far) => near.or(far),
        }
    }

    /// The less loaded of two drawn at random.
    fn lighter<'a>(
        &mut self,
        now: Time,
        among: &[&'a Candidate],
        loads: &EndpointLoads,
    ) -> Option<&'a Candidate> {
        let one = *self.random.choice(among)?;
        let two = *self.random.choice(among)?;
        Some(if load(now, two, loads) < load(now, one, loads) { two } else { one })
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

/// Share of the candidate's slots in use.
fn load(now: Time, candidate: &Candidate, loads: &EndpointLoads) -> f64 {
    f64::from(loads.used_slots(now, &candidate.instance)) / f64::from(candidate.slots.max(1))
}

/// Expected extra time in seconds: the way there, and what a loaded endpoint adds. A stale load
/// may hide requests, so the chance of a refusal grows as the free slots run out.
fn cost(
    now: Time,
    candidate: &Candidate,
    loads: &EndpointLoads,
    way: Duration,
    costs: RouteCosts,
) -> f64 {
    let load = load(now, candidate, loads);
    way.as_secs_f64() + costs.request_time.as_secs_f64() * load.powi(4)
}
