//! Measurements of bronzespool in virtual time.
//!
//! [`decisions`] feeds seeded job streams to scheduling policies at their decision interface and
//! takes completion times, fragmentation, utilisation and broken guarantees. No network, process
//! or clock takes part, so one seed gives one set of figures.
//!
//! ```
//! use bronzespool_bench::{
//!     decisions::{Scale, Simulator, Stream},
//!     policies::Fifo,
//! };
//!
//! let scenario = Stream::Steady.scenario(Scale::Registry, 7, 2);
//! let figures = Simulator::new(&scenario).run(&mut Fifo::new(&scenario.cluster));
//! assert_eq!(figures.gang_violations, 0);
//! ```

pub mod capacity;
pub mod decision_time;
pub mod decisions;
pub mod policies;
pub mod report;
pub mod suite;
