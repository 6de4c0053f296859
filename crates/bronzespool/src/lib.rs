//! Coordination library for multi-accelerator jobs under team guarantees.
//!
//! Each module re-exports a package. The logic of [`batch`], [`schedule`], [`flow`] and the node of
//! [`consensus`] is free of I/O; [`core`] also reads settings files, and [`wire`] uses the network.
//!
//! | module | contents |
//! |---|---|
//! | [`core`] | validated types, result codes, time, settings |
//! | [`consensus`] | replicated log |
//! | [`estimate`] | learned run times and worker speeds |
//! | [`batch`] | jobs that consist of steps of tasks |
//! | [`schedule`] | team guarantees, placement, queues, gang scheduling |
//! | [`flow`] | claims, limits, retries, routing, sessions |
//! | [`wire`] | messages and connections between processes |
//!
//! ```
//! use bronzespool::prelude::*;
//!
//! let shape = Shape::try_from("2 x worker").unwrap();
//! assert_eq!(shape.level, Level::Worker);
//! ```

pub use {
    bronzespool_batch as batch, bronzespool_consensus as consensus, bronzespool_core as core,
    bronzespool_estimate as estimate, bronzespool_flow as flow, bronzespool_schedule as schedule,
    bronzespool_wire as wire,
};

/// Types that most programs need.
pub mod prelude {
    pub use bronzespool_core::{
        Capacity, Center, Code, Config, Digest, HashMap, HashSet, Instance, Job, Key, Kind,
        KindSpec, Level, Need, Outcome, Place, Rack, Refusal, Region, Service, ServiceSpec, Shape,
        Team, Time,
    };
}
