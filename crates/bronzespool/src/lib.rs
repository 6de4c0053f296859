//! Coordination parts for multi-accelerator jobs under team guarantees.
//!
//! Each part is a package of its own and free of I/O; this one gathers them.
//!
//! | module | holds |
//! |---|---|
//! | [`core`] | checked types, result codes, time, settings |
//! | [`consensus`] | replicated log |
//! | [`batch`] | jobs of steps of tasks |
//! | [`schedule`] | guarantees, placement, queues, gangs |
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
    bronzespool_flow as flow, bronzespool_schedule as schedule, bronzespool_wire as wire,
};

/// The types that most programs need.
pub mod prelude {
    pub use bronzespool_core::{
        Capacity, Center, Code, Config, Digest, HashMap, HashSet, Instance, Job, Key, Kind,
        KindSpec, Level, Need, Outcome, Place, Rack, Refusal, Region, Service, ServiceSpec, Shape,
        Team, Time,
    };
}
