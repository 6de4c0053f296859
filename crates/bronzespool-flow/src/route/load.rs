//! Load of each endpoint, as estimated by this entry.

use {
    bronzespool_core::{HashMap, Instance, Time},
    std::time::Duration,
};

/// Time over which the weight of an agent's report falls to zero: the requests of other entries
/// that it counted end meanwhile, and an endpoint that is believed full for longer would stay
/// idle.
const STALE_TIME: Duration = Duration::from_secs(1);

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Slots in use according to the agent's last report.
    used: u32,
    /// Slots of this entry's requests in flight.
    own: u32,
    /// Slots of this entry's requests in flight when that report arrived.
    own_at_report: u32,
    reported_at: Time,
}

impl EndpointLoad {
    /// Estimate of the slots in use: those of this entry's requests, plus those of other entries
    /// from the agent's last report, weighted down with the time since.
    pub fn used_slots(&self, now: Time) -> u32 {
        let others = self.used.saturating_sub(self.own_at_report);
        let left = STALE_TIME.saturating_sub(now.since(self.reported_at));
        let freshness = left.as_secs_f64() / STALE_TIME.as_secs_f64();
        let remaining = (f64::from(others) * freshness).round();
        self.own + remaining as u32
    }
}

/// Estimated loads of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoads {
    loads: HashMap<Instance, EndpointLoad>,
}

impl EndpointLoads {
    /// Records a report by the agent of `instance` that `used` slots are in use.
    pub fn record_report(&mut self, now: Time, instance: &Instance, used: u32) {
        let load = self.load_mut(instance);
        *load = EndpointLoad { used, own: load.own, own_at_report: load.own, reported_at: now };
    }

    /// Counts a request to `instance` that takes `slots` slots.
    pub fn request_sent(&mut self, instance: &Instance, slots: u32) {
        self.load_mut(instance).own += slots;
    }

    /// Counts the end of a request to `instance` that took `slots` slots.
    pub fn request_ended(&mut self, instance: &Instance, slots: u32) {
        let load = self.load_mut(instance);
        load.own = load.own.saturating_sub(slots);
    }

    /// Estimate of the slots of `instance` in use.
    pub fn used_slots(&self, now: Time, instance: &Instance) -> u32 {
        self.loads.get(instance).map_or(0, |load| load.used_slots(now))
    }

    /// Drops endpoints for which `keep` returns false, unless this entry has requests in flight
    /// there.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.loads.retain(|instance, load| load.own > 0 || keep(instance));
    }

    fn load_mut(&mut self, instance: &Instance) -> &mut EndpointLoad {
        if !self.loads.contains_key(instance) {
            self.loads.insert(instance.clone(), EndpointLoad::default());
        }
        self.loads.entry(instance.clone()).or_default()
    }
}
