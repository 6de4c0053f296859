//! Limits, queues, loads and outlier detection of an entry, per service.

use {
    crate::entry::traffic::reservation::{Permit, SlotReservation},
    bronzespool::{
        core::{Center, HashMap, Instance, Kind, Refusal, Service},
        flow::{
            limit::{FairQueue, QueueLimits, TeamBuckets},
            outlier::{OutlierDetector, OutlierRules},
            retry::{RetryBudget, RetryPolicy},
            route::{EndpointLoads, RouteCosts, Router},
            view::View,
        },
    },
    std::time::Duration,
    tokio::sync::oneshot,
};

/// Maximum number of requests that wait in this entry for one service.
const QUEUE_MAX: usize = 1_024;
/// Maximum number of requests of one team that wait in this entry for one service.
const QUEUE_TEAM_MAX: usize = 256;
/// Additional time of a request to another data centre.
const REMOTE_PENALTY: Duration = Duration::from_millis(1);
/// Mean request time assumed before the first answer.
const INITIAL_REQUEST_TIME: Duration = Duration::from_millis(20);
/// Weight of the latest answer in the moving average of the request time.
const MEAN_WEIGHT: f64 = 0.05;

/// A request that waits in the queue, with the channel that ends its wait.
pub(super) struct QueuedRequest {
    pub(super) slots: u32,
    pub(super) grant: oneshot::Sender<AdmitResult>,
}

/// Result of waiting in the queue.
pub(super) type AdmitResult = Result<(Permit, SlotReservation), Refusal>;

/// Limits, queue and retry budget of one service.
pub(super) struct ServiceTraffic {
    pub(super) buckets: TeamBuckets,
    pub(super) queue: FairQueue<QueuedRequest>,
    pub(super) budget: RetryBudget,
}

impl ServiceTraffic {
    fn new(seed: u64) -> Self {
        let limits = QueueLimits { total: QUEUE_MAX, team: QUEUE_TEAM_MAX };
        Self {
            buckets: TeamBuckets::default(),
            queue: FairQueue::new(limits, seed),
            budget: RetryBudget::default(),
        }
    }
}

/// Traffic state of the entry.
pub(in crate::entry) struct Traffic {
    pub(super) services: HashMap<Service, ServiceTraffic>,
    pub(super) detectors: HashMap<(Service, Kind), OutlierDetector>,
    pub(super) loads: EndpointLoads,
    pub(super) router: Router,
    pub(super) policy: RetryPolicy,
    pub(super) random: fastrand::Rng,
    mean_secs: f64,
}

impl Traffic {
    /// Creates the empty state for an entry in `center`.
    pub(in crate::entry) fn new(center: Center, seed: u64) -> Self {
        Self {
            services: HashMap::default(),
            detectors: HashMap::default(),
            loads: EndpointLoads::default(),
            router: Router::new(center, seed),
            policy: RetryPolicy::default(),
            random: fastrand::Rng::with_seed(seed),
            mean_secs: INITIAL_REQUEST_TIME.as_secs_f64(),
        }
    }

    /// Returns the state of a service, and creates it if there is none.
    pub(super) fn service(&mut self, service: &Service) -> &mut ServiceTraffic {
        let random = &mut self.random;
        let new = || ServiceTraffic::new(random.u64(..));
        self.services.entry(service.clone()).or_insert_with(new)
    }

    /// Returns the outlier detector for the endpoints of a kind.
    pub(super) fn detector(&mut self, service: &Service, kind: &Kind) -> &mut OutlierDetector {
        let key = (service.clone(), kind.clone());
        self.detectors.entry(key).or_insert_with(|| OutlierDetector::new(OutlierRules::default()))
    }

    /// Costs by which the router decides when a request goes to another data centre.
    pub(super) fn route_costs(&self) -> RouteCosts {
        RouteCosts { remote_penalty: REMOTE_PENALTY, request_time: self.mean_time() }
    }

    /// Moving average of the time that a request takes at an endpoint.
    pub(super) fn mean_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs)
    }

    /// Records the time of an answered request.
    pub(super) fn record_time(&mut self, time: Duration) {
        self.mean_secs += MEAN_WEIGHT * (time.as_secs_f64() - self.mean_secs);
    }

    /// Applies a new view: creates the buckets of teams before their first request, and removes
    /// teams and endpoints that have left the view.
    pub(in crate::entry) fn apply_view(&mut self, view: &View) {
        for (name, spec) in &view.config.services {
            let service = self.service(name);
            spec.teams.keys().for_each(|team| service.buckets.add_team(team));
            service.buckets.retain(|team| spec.teams.contains_key(team));
        }
        let is_present = |instance: &Instance| view.endpoints.contains_key(instance);
        self.loads.retain(is_present);
        self.detectors.values_mut().for_each(|d| d.retain(is_present));
    }
}
