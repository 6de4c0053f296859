//! The view and how deltas are applied to it.

use {
    crate::view::{Delta, EndpointRecord, Presence, ViewUpdate},
    bronzespool_core::{Center, Code, Config, Instance, Service},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Result of applying a delta.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a delta cannot be applied.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the delta starts at index {from}, the view is at {index}: the whole view is needed
    Gap {
        /// Index that the delta starts from.
        from: u64,
        /// Index of the view.
        index: u64,
    },
}

impl std::error::Error for Error {}

/// The configuration and the endpoints as of one log index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Index of the last log entry that the view contains.
    pub index: u64,
    /// The configuration.
    pub config: Config,
    /// Endpoints by instance; empty at an agent.
    pub endpoints: BTreeMap<Instance, EndpointRecord>,
    /// Data centres that are drained. Messages carry them after the view's other fields, where
    /// former versions end.
    #[serde(skip)]
    pub drained: BTreeSet<Center>,
}

impl View {
    /// Replaces the view unless `other` is older. Returns whether it was replaced.
    pub fn replace(&mut self, other: Self) -> bool {
        if other.index < self.index || other.config.revision < self.config.revision {
            return false;
        }
        *self = other;
        true
    }

    /// Applies a delta. Ignores a delta that ends at or before the index of the view, and refuses
    /// one that starts after it, because updates would be missing.
    pub fn apply(&mut self, delta: Delta) -> Result<()> {
        if delta.to <= self.index {
            return Ok(());
        }
        if delta.from > self.index {
            return Err(Error::Gap { from: delta.from, index: self.index });
        }
        for update in delta.updates {
            self.apply_update(update);
        }
        self.index = delta.to;
        Ok(())
    }

    /// The endpoints outside of drained data centres.
    pub fn open_endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values().filter(|e| !self.drained.contains(&e.place.center))
    }

    /// Checks that some endpoint may get new requests for a service.
    ///
    /// # Errors
    ///
    /// [`Code::CenterDrained`] if all endpoints that are up are in drained data centres,
    /// [`Code::NoEndpoint`] if none is up.
    pub fn check_service(&self, service: &Service) -> std::result::Result<(), Code> {
        let serves =
            |e: &EndpointRecord| e.presence == Presence::Up && e.services.contains(service);
        if self.open_endpoints().any(serves) {
            return Ok(());
        }
        let drained = self.endpoints.values().any(serves);
        Err(if drained { Code::CenterDrained } else { Code::NoEndpoint })
    }

    fn apply_update(&mut self, update: ViewUpdate) {
        match update {
            ViewUpdate::Config { revision, services, removed } => {
                if revision <= self.config.revision {
                    return;
                }
                for name in &removed {
                    self.config.services.remove(name);
                }
                for service in services {
                    self.config.services.insert(service.name.clone(), service);
                }
                self.config.revision = revision;
            }
            ViewUpdate::Endpoint(endpoint) => {
                self.endpoints.insert(endpoint.place.instance.clone(), *endpoint);
            }
            ViewUpdate::EndpointRemoved(instance) => {
                self.endpoints.remove(&instance);
            }
            ViewUpdate::CenterChanged { center, drained: true } => {
                self.drained.insert(center);
            }
            ViewUpdate::CenterChanged { center, drained: false } => {
                self.drained.remove(&center);
            }
        }
    }
}
