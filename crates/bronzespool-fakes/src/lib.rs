//! Stand-ins for endpoints and the platform, for tests and for trying out. Not shipped.

pub mod call;
pub mod cluster;
pub mod endpoint;
pub mod http;
pub mod relay;
pub mod worker;
