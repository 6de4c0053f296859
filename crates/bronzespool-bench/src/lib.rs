//! Benchmarks of bronzespool: simulated scheduling decisions, decision times and capacity figures.
//!
//! [`decisions`] feeds seeded job streams to scheduling policies in virtual time and measures
//! completion times, fragmentation, utilisation and broken guarantees. It uses no network, process
//! or wall clock, so equal seeds give equal figures.
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
pub mod run_times;
pub mod size;
pub mod suite;
