//! Stand-ins for endpoints and the platform, and a load generator, for tests.
