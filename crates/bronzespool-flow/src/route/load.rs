//! Load of each endpoint as this entry knows it.

use {
    bronzespool_core::{HashMap, Instance, Time},
    std::time::Duration,
};

/// Time over which what an agent said fades: the requests of other entries that it counted end,
/// and an endpoint believed full for longer would be left idle.
const STALE: Duration = Duration::from_secs(1);

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Slots in use, as the agent last said.
    used: u32,
    /// Slots of this entry's requests in flight.
    own: u32,
    /// Slots of this entry's requests in flight when the agent last said.
    then: u32,
    heard: Time,
}

impl EndpointLoad {
    /// Slots believed in use: the own ones, and those of others as the agent last said, fewer with
    /// the time since.
    pub fn used_slots(&self, now: Time) -> u32 {
        let others = self.used.saturating_sub(self.then);
        let left = STALE.saturating_sub(now.since(self.heard));
        let fresh = left.as_secs_f64() / STALE.as_secs_f64();
        let faded = (f64::from(others) * fresh).round();
        self.own + faded as u32
    }
}

/// Loads of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoads {
    loads: HashMap<Instance, EndpointLoad>,
}

impl EndpointLoads {
    /// The agent of `instance` said that `used` slots are in use.
    pub fn record_report(&mut self, now: Time, instance: &Instance, used: u32) {
        let load = self.load(instance);
        *load = EndpointLoad { used, own: load.own, then: load.own, heard: now };
    }

    /// A request that takes `slots` goes to `instance`.
    pub fn request_sent(&mut self, instance: &Instance, slots: u32) {
        self.load(instance).own += slots;
    }

    /// A request that took `slots` at `instance` has ended.
    pub fn request_ended(&mut self, instance: &Instance, slots: u32) {
        let load = self.load(instance);
        load.own = load.own.saturating_sub(slots);
    }

    /// Slots of `instance` believed in use.
    pub fn used_slots(&self, now: Time, instance: &Instance) -> u32 {
        self.loads.get(instance).map_or(0, |load| load.used_slots(now))
    }

    /// Forgets idle endpoints for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.loads.retain(|instance, load| load.own > 0 || keep(instance));
    }

    fn load(&mut self, instance: &Instance) -> &mut EndpointLoad {
        if !self.loads.contains_key(instance) {
            self.loads.insert(instance.clone(), EndpointLoad::default());
        }
        self.loads.entry(instance.clone()).or_default()
    }
}
