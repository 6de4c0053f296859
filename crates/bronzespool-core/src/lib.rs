//! Validated types, result codes, time and settings shared by all bronzespool packages.
//!
//! Raw input is validated once, by `TryFrom`; code that receives one of these types does not
//! validate it again.
//!
//! ```
//! use bronzespool_core::{name::Team, shape::{Level, Shape}};
//!
//! let team = Team::try_from("arima-flyers")?;
//! let shape = Shape::try_from("2 x worker").unwrap();
//! assert_eq!(shape, Shape::new(Level::Worker, 2));
//! assert_eq!(team.as_str(), "arima-flyers");
//! # Ok::<(), bronzespool_core::name::Error>(())
//! ```

pub mod bound;
pub mod code;
pub mod collections;
pub mod digest;
pub mod name;
pub mod place;
pub mod refusal;
pub mod settings;
pub mod shape;
pub mod spec;
pub mod time;
pub mod trailing;

pub use crate::{
    code::{Code, Outcome},
    collections::{HashMap, HashSet},
    digest::Digest,
    name::{Center, Cluster, Instance, Job, Key, Kind, Rack, Region, Service, Team},
    place::{Capacity, Place},
    refusal::Refusal,
    shape::{Level, Shape},
    spec::{Config, KindSpec, Mode, Need, ServiceSpec, Target, TeamSpec, Weights},
    time::Time,
};
