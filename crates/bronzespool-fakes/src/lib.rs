//! Fake endpoints and workers, a relay and a cluster of processes, for tests and for trying out a
//! deployment. Not part of a release.

pub mod call;
pub mod cluster;
pub mod endpoint;
pub mod http;
pub mod relay;
pub mod worker;
