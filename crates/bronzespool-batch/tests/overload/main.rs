//! Overload: detection, order of waiting work, preemption budget and admission under replayed loads.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod detection;
mod order;
mod preemption;
mod replay;
