//! Request path logic, free of I/O: claims, admission, limits, retries, routing, sessions, the
//! configuration and burn rates.
//!
//! Every function takes the time as a parameter; nothing in this crate reads a clock or a socket.
//!
//! ```
//! use {
//!     bronzespool_core::{Digest, Instance, Key, Kind, Service, Team, Time},
//!     bronzespool_flow::claim::{
//!         ClaimId, ClaimOutcome, ClaimRequest, Claims, Decision, Incarnation, Retention,
//!     },
//! };
//!
//! let id = ClaimId {
//!     team: Team::try_from("arima")?,
//!     service: Service::try_from("flight-desk")?,
//!     kind: Kind::try_from("logbook")?,
//!     key: Key::try_from("7f3a")?,
//! };
//! let target = Incarnation { instance: Instance::try_from("w1")?, number: 1 };
//! let digest = Digest::of(b"{}");
//! let request = ClaimRequest { id, digest, target, expires: Time::from_secs(60) };
//! let mut claims = Claims::default();
//! let Decision::New(record) = claims.decide(&Retention::default(), Time::ZERO, &request) else {
//!     unreachable!("the key is new");
//! };
//! assert_eq!(claims.apply(&record), ClaimOutcome::Claimed { attempt: 1 });
//! let second = claims.decide(&Retention::default(), Time::ZERO, &request);
//! assert!(matches!(second, Decision::Existing(_)));
//! # Ok::<(), bronzespool_core::name::Error>(())
//! ```

pub mod admit;
pub mod burn;
pub mod claim;
pub mod config;
pub mod drain;
pub mod limit;
pub mod outlier;
pub mod retry;
pub mod route;
pub mod session;
pub mod view;
