//! Decides which endpoints are ejected, for how long, and when they return.

use {
    super::stats::{Sample, Stats},
    bronzespool_core::{Instance, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Longest ejection, as a multiple of the first one.
const EJECTION_FACTOR_MAX: u32 = 16;

/// Rules by which an endpoint counts as an outlier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierRules {
    /// Window over which failures are counted; also the time after which a probe without a result
    /// is given up.
    pub window: Duration,
    /// Minimum number of samples in the window for a decision.
    pub samples_min: u32,
    /// Share of failures at which an endpoint is ejected.
    pub failure_share: f64,
    /// Multiple of the median latency of all endpoints at which an endpoint is ejected.
    pub latency_factor: f64,
    /// Share of endpoints that may be ejected at the same time, rounded down.
    pub ejected_share: f64,
    /// Duration of the first ejection, doubled for each further one until the endpoint has
    /// recovered.
    pub ejection_time: Duration,
    /// Consecutive probes that must succeed before the endpoint has recovered.
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
    /// For any request.
    Normal,
    /// For one repeatable request at a time, which serves as a probe.
    ProbeOnly,
    /// For no request at the moment.
    Ejected,
}

#[derive(Clone, Copy, Debug, Default)]
struct EndpointState {
    stats: Stats,
    window_start: Time,
    phase: Phase,
    /// Ejections since the endpoint last recovered.
    ejections: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Normal,
    Ejected {
        until: Time,
    },
    /// Being probed: how many probes have succeeded, and when the one in flight was sent.
    Probing {
        passed: u32,
        sent_at: Option<Time>,
    },
}

/// Statistics of the endpoints of one service, and which of them are ejected.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    rules: OutlierRules,
    endpoints: BTreeMap<Instance, EndpointState>,
}

impl OutlierDetector {
    /// A detector without samples.
    pub const fn new(rules: OutlierRules) -> Self {
        Self { rules, endpoints: BTreeMap::new() }
    }

    /// Adds an endpoint. Endpoints that are neither added nor sampled do not count towards the
    /// share that may be ejected.
    pub fn add(&mut self, instance: &Instance) {
        if !self.endpoints.contains_key(instance) {
            self.endpoints.insert(instance.clone(), EndpointState::default());
        }
    }

    /// Drops the statistics of an endpoint that has left or restarted.
    pub fn remove(&mut self, instance: &Instance) {
        self.endpoints.remove(instance);
    }

    /// Drops all endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.endpoints.retain(|instance, _| keep(instance));
    }

    /// Number of endpoints that are ejected or being probed.
    pub fn ejected(&self) -> usize {
        self.endpoints.values().filter(|e| e.phase != Phase::Normal).count()
    }

    /// For which requests `instance` may be chosen at `now`.
    pub fn eligibility(&self, now: Time, instance: &Instance) -> Eligibility {
        match self.endpoints.get(instance).map(|e| e.phase) {
            None | Some(Phase::Normal) => Eligibility::Normal,
            Some(Phase::Ejected { until }) if now < until => Eligibility::Ejected,
            Some(Phase::Ejected { .. } | Phase::Probing { sent_at: None, .. }) => {
                Eligibility::ProbeOnly
            }
            Some(Phase::Probing { sent_at: Some(at), .. }) => {
                if now.since(at) > self.rules.window {
                    Eligibility::ProbeOnly
                } else {
                    Eligibility::Ejected
                }
            }
        }
    }

    /// Records that a request goes to `instance`. It counts as a probe unless the endpoint is in
    /// normal use.
    pub fn record_request(&mut self, now: Time, instance: &Instance) {
        let Some(endpoint) = self.endpoints.get_mut(instance) else {
            return;
        };
        let passed = match endpoint.phase {
            Phase::Normal => return,
            Phase::Ejected { .. } => 0,
            Phase::Probing { passed, .. } => passed,
        };
        endpoint.phase = Phase::Probing { passed, sent_at: Some(now) };
    }

    /// Records how a request to `instance` ended. Returns whether that ejected the endpoint.
    pub fn record_sample(&mut self, now: Time, instance: &Instance, sample: Sample) -> bool {
        self.add(instance);
        let median = self.median_latency();
        let can_eject = self.can_eject();
        let rules = self.rules;
        let Some(endpoint) = self.endpoints.get_mut(instance) else {
            return false;
        };
        endpoint.add(now, &rules, sample);
        match endpoint.phase {
            Phase::Normal if endpoint.is_outlier(&rules, median) && can_eject => {
                endpoint.eject(now, &rules);
                true
            }
            Phase::Probing { passed, .. } => {
                endpoint.finish_probe(now, &rules, passed, sample, median)
            }
            Phase::Normal | Phase::Ejected { .. } => false,
        }
    }

    /// Whether the rules allow one more ejected endpoint.
    fn can_eject(&self) -> bool {
        let allowed = self.endpoints.len() as f64 * self.rules.ejected_share;
        (self.ejected() + 1) as f64 <= allowed
    }

    /// Median of the latencies of all endpoints in seconds; zero before the first answer.
    fn median_latency(&self) -> f64 {
        let known = self.endpoints.values().map(|e| e.stats.latency()).filter(|&secs| secs > 0.0);
        let mut all: Vec<_> = known.collect();
        all.sort_by(f64::total_cmp);
        all.get((all.len().max(1) - 1) / 2).copied().unwrap_or(0.0)
    }
}

impl EndpointState {
    fn add(&mut self, now: Time, rules: &OutlierRules, sample: Sample) {
        if now.since(self.window_start) >= rules.window {
            self.stats.start_window();
            self.window_start = now;
        }
        self.stats.add(sample);
    }

    fn is_outlier(&self, rules: &OutlierRules, median: f64) -> bool {
        if self.stats.count() < rules.samples_min {
            return false;
        }
        self.stats.failure_share() >= rules.failure_share || self.is_slow(rules, median)
    }

    fn is_slow(&self, rules: &OutlierRules, median: f64) -> bool {
        median > 0.0 && self.stats.latency() >= median * rules.latency_factor
    }

    fn eject(&mut self, now: Time, rules: &OutlierRules) {
        let factor = (1 << self.ejections.min(16)).min(EJECTION_FACTOR_MAX);
        self.ejections += 1;
        self.phase = Phase::Ejected { until: now + rules.ejection_time * factor };
        self.stats = Stats::default();
    }

    /// Records the result of a probe. Returns whether the endpoint is ejected again.
    fn finish_probe(
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
        self.phase = Phase::Probing { passed, sent_at: None };
        if passed >= rules.probes {
            self.phase = Phase::Normal;
            self.ejections = 0;
        }
        false
    }
}
