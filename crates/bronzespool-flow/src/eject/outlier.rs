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
pub struct Rules {
    /// Span over which failures are counted.
    pub window: Duration,
    /// Samples needed for a verdict.
    pub samples: u32,
    /// Share of failures from which an endpoint is ejected.
    pub failures: f64,
    /// Multiple of the median latency of all endpoints from which an endpoint is ejected.
    pub slowness: f64,
    /// Share of endpoints that may be ejected at once, rounded down.
    pub share: f64,
    /// Span of the first ejection; doubled for each one that follows at once.
    pub span: Duration,
    /// Probes that must succeed in a row.
    pub probes: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            samples: 5,
            failures: 0.5,
            slowness: 4.0,
            share: 0.34,
            span: Duration::from_secs(5),
            probes: 3,
        }
    }
}

/// Whether an endpoint may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Like any other.
    Open,
    /// For one request at a time, which may be repeated.
    Probe,
    /// Not now.
    Closed,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    stats: Stats,
    rolled: Time,
    phase: Phase,
    /// Ejections in a row.
    ejections: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Open,
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
pub struct Ejector {
    rules: Rules,
    peers: BTreeMap<Instance, Peer>,
}

impl Ejector {
    /// An ejector without evidence.
    pub const fn new(rules: Rules) -> Self {
        Self { rules, peers: BTreeMap::new() }
    }

    /// Adds an endpoint. Without it the share of ejected endpoints counts only those sampled.
    pub fn add(&mut self, instance: &Instance) {
        if !self.peers.contains_key(instance) {
            self.peers.insert(instance.clone(), Peer::default());
        }
    }

    /// Forgets an endpoint that has left or restarted.
    pub fn remove(&mut self, instance: &Instance) {
        self.peers.remove(instance);
    }

    /// Forgets all endpoints but those for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.peers.retain(|instance, _| keep(instance));
    }

    /// Endpoints that are ejected or under probes.
    pub fn ejected(&self) -> usize {
        self.peers.values().filter(|p| p.phase != Phase::Open).count()
    }

    /// Whether `instance` may be chosen at `now`.
    pub fn usable(&self, now: Time, instance: &Instance) -> Use {
        match self.peers.get(instance).map(|p| p.phase) {
            None | Some(Phase::Open) => Use::Open,
            Some(Phase::Ejected { until }) if now < until => Use::Closed,
            Some(Phase::Ejected { .. } | Phase::Probing { sent: None, .. }) => Use::Probe,
            Some(Phase::Probing { sent: Some(at), .. }) => {
                if now.since(at) > self.rules.window {
                    Use::Probe
                } else {
                    Use::Closed
                }
            }
        }
    }

    /// A request goes to `instance`; if that was closed for all but probes, it is one.
    pub fn sent(&mut self, now: Time, instance: &Instance) {
        let Some(peer) = self.peers.get_mut(instance) else {
            return;
        };
        let passed = match peer.phase {
            Phase::Open => return,
            Phase::Ejected { .. } => 0,
            Phase::Probing { passed, .. } => passed,
        };
        peer.phase = Phase::Probing { passed, sent: Some(now) };
    }

    /// Notes how a request to `instance` ended. Returns whether the endpoint was ejected by it.
    pub fn sample(&mut self, now: Time, instance: &Instance, sample: Sample) -> bool {
        self.add(instance);
        let median = self.median();
        let room = self.room();
        let rules = self.rules;
        let Some(peer) = self.peers.get_mut(instance) else {
            return false;
        };
        peer.add(now, &rules, sample);
        match peer.phase {
            Phase::Open if peer.is_outlier(&rules, median) && room => {
                peer.eject(now, &rules);
                true
            }
            Phase::Probing { passed, .. } => peer.probed(now, &rules, passed, sample, median),
            Phase::Open | Phase::Ejected { .. } => false,
        }
    }

    /// Whether one more endpoint may be ejected.
    fn room(&self) -> bool {
        let allowed = self.peers.len() as f64 * self.rules.share;
        (self.ejected() + 1) as f64 <= allowed
    }

    /// Median of the mean latencies in seconds.
    fn median(&self) -> f64 {
        let known = self.peers.values().map(|p| p.stats.latency()).filter(|&secs| secs > 0.0);
        let mut all: Vec<_> = known.collect();
        all.sort_by(f64::total_cmp);
        all.get((all.len().max(1) - 1) / 2).copied().unwrap_or(0.0)
    }
}

impl Peer {
    fn add(&mut self, now: Time, rules: &Rules, sample: Sample) {
        if now.since(self.rolled) >= rules.window {
            self.stats.roll();
            self.rolled = now;
        }
        self.stats.add(sample);
    }

    fn is_outlier(&self, rules: &Rules, median: f64) -> bool {
        if self.stats.count() < rules.samples {
            return false;
        }
        self.stats.failures() >= rules.failures || self.is_slow(rules, median)
    }

    fn is_slow(&self, rules: &Rules, median: f64) -> bool {
        median > 0.0 && self.stats.latency() >= median * rules.slowness
    }

    fn eject(&mut self, now: Time, rules: &Rules) {
        let factor = (1 << self.ejections.min(16)).min(BACKOFF_MAX);
        self.ejections += 1;
        self.phase = Phase::Ejected { until: now + rules.span * factor };
        self.stats = Stats::default();
    }

    /// A probe ended. Returns whether the endpoint is ejected again.
    fn probed(
        &mut self,
        now: Time,
        rules: &Rules,
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
            self.phase = Phase::Open;
            self.ejections = 0;
        }
        false
    }
}
