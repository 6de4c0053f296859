//! Which endpoints are ejected, for how long, and how they come back.

use {
    super::stats::{Sample, Stats},
    bronzespool_core::{Instance, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Longest ejection in terms of the first one.
const BACKOFF_MAX: u32 = 16;

/// When an endpoint counts as an outlier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierRules {
    /// Span over which failures are counted.
    pub window: Duration,
    /// Samples needed for a verdict.
    pub samples_min: u32,
    /// Share of failures from which an endpoint is ejected.
    pub failure_share: f64,
    /// Multiple of the median latency of all endpoints from which an endpoint is ejected.
    pub latency_factor: f64,
    /// Share of endpoints that may be ejected at once, rounded down.
    pub ejected_share: f64,
    /// Span of the first ejection; doubled for each one that follows at once.
    pub ejection_time: Duration,
    /// Probes that must succeed in a row.
    pub probes: u32,
}

impl Default for OutlierRules {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            samples_min: 5,
            failure_share: 0.5,
            latency_factor: 4.0,
            ejected_share: 0.34,
            ejection_time: Duration::from_secs(5),
            probes: 3,
        }
    }
}

/// Whether an endpoint may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Like any other.
    Normal,
    /// For one request at a time, which may be repeated.
    ProbeOnly,
    /// Not now.
    Ejected,
}

#[derive(Clone, Copy, Debug, Default)]
struct EndpointState {
    stats: Stats,
    rolled: Time,
    phase: Phase,
    /// Ejections in a row.
    ejections: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Normal,
    Ejected {
        until: Time,
    },
    /// Under probes: how many succeeded, and since when one is under way.
    Probing {
        passed: u32,
        sent: Option<Time>,
    },
}

/// Evidence about the endpoints of one service.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    rules: OutlierRules,
    endpoints: BTreeMap<Instance, EndpointState>,
}

impl OutlierDetector {
    /// An ejector without evidence.
    pub const fn new(rules: OutlierRules) -> Self {
        Self { rules, endpoints: BTreeMap::new() }
    }

    /// Adds an endpoint. Without it the share of ejected endpoints counts only those sampled.
    pub fn add(&mut self, instance: &Instance) {
        if !self.endpoints.contains_key(instance) {
            self.endpoints.insert(instance.clone(), EndpointState::default());
        }
    }

    /// Forgets an endpoint that has left or restarted.
    pub fn remove(&mut self, instance: &Instance) {
        self.endpoints.remove(instance);
    }

    /// Forgets all endpoints but those for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.endpoints.retain(|instance, _| keep(instance));
    }

    /// Endpoints that are ejected or under probes.
    pub fn ejected(&self) -> usize {
        self.endpoints.values().filter(|p| p.phase != Phase::Normal).count()
    }

    /// Whether `instance` may be chosen at `now`.
    pub fn eligibility(&self, now: Time, instance: &Instance) -> Eligibility {
        match self.endpoints.get(instance).map(|p| p.phase) {
            None | Some(Phase::Normal) => Eligibility::Normal,
            Some(Phase::Ejected { until }) if now < until => Eligibility::Ejected,
            Some(Phase::Ejected { .. } | Phase::Probing { sent: None, .. }) => {
                Eligibility::ProbeOnly
            }
            Some(Phase::Probing { sent: Some(at), .. }) => {
                if now.since(at) > self.rules.window {
                    Eligibility::ProbeOnly
                } else {
                    Eligibility::Ejected
                }
            }
        }
    }

    /// A request goes to `instance`; if that was closed for all but probes, it is one.
    pub fn record_request(&mut self, now: Time, instance: &Instance) {
        let Some(endpoint) = self.endpoints.get_mut(instance) else {
            return;
        };
        let passed = match endpoint.phase {
            Phase::Normal => return,
            Phase::Ejected { .. } => 0,
            Phase::Probing { passed, .. } => passed,
        };
        endpoint.phase = Phase::Probing { passed, sent: Some(now) };
    }

    /// Notes how a request to `instance` ended. Returns whether the endpoint was ejected by it.
    pub fn record_sample(&mut self, now: Time, instance: &Instance, sample: Sample) -> bool {
        self.add(instance);
        let median = self.median();
        let room = self.room();
        let rules = self.rules;
        let Some(endpoint) = self.endpoints.get_mut(instance) else {
            return false;
        };
        endpoint.add(now, &rules, sample);
        match endpoint.phase {
            Phase::Normal if endpoint.is_outlier(&rules, median) && room => {
                endpoint.eject(now, &rules);
                true
            }
            Phase::Probing { passed, .. } => endpoint.probed(now, &rules, passed, sample, median),
            Phase::Normal | Phase::Ejected { .. } => false,
        }
    }

    /// Whether one more endpoint may be ejected.
    fn room(&self) -> bool {
        let allowed = self.endpoints.len() as f64 * self.rules.ejected_share;
        (self.ejected() + 1) as f64 <= allowed
    }

    /// Median of the mean latencies in seconds.
    fn median(&self) -> f64 {
        let known = self.endpoints.values().map(|p| p.stats.latency()).filter(|&secs| secs > 0.0);
        let mut all: Vec<_> = known.collect();
        all.sort_by(f64::total_cmp);
        all.get((all.len().max(1) - 1) / 2).copied().unwrap_or(0.0)
    }
}

impl EndpointState {
    fn add(&mut self, now: Time, rules: &OutlierRules, sample: Sample) {
        if now.since(self.rolled) >= rules.window {
            self.stats.roll();
            self.rolled = now;
        }
        self.stats.add(sample);
    }

    fn is_outlier(&self, rules: &OutlierRules, median: f64) -> bool {
        if self.stats.count() < rules.samples_min {
            return false;
        }
        self.stats.failures() >= rules.failure_share || self.is_slow(rules, median)
    }

    fn is_slow(&self, rules: &OutlierRules, median: f64) -> bool {
        median > 0.0 && self.stats.latency() >= median * rules.latency_factor
    }

    fn eject(&mut self, now: Time, rules: &OutlierRules) {
        let factor = (1 << self.ejections.min(16)).min(BACKOFF_MAX);
        self.ejections += 1;
        self.phase = Phase::Ejected { until: now + rules.ejection_time * factor };
        self.stats = Stats::default();
    }

    /// A probe ended. Returns whether the endpoint is ejected again.
    fn probed(
        &mut self,
        now: Time,
        rules: &OutlierRules,
        passed: u32,
        sample: Sample,
        median: f64,
    ) -> bool {
        let failed = sample == Sample::Failed || self.is_slow(rules, median);
        if failed {
            self.eject(now, rules);
            return true;
        }
        let passed = passed + 1;
        self.phase = Phase::Probing { passed, sent: None };
        if passed >= rules.probes {
            self.phase = Phase::Normal;
            self.ejections = 0;
        }
        false
    }
}
