//! Capacity planning: bytes of each operation as a linear function of its size, measured with the
//! production encoders.
//!
//! Every slope is deterministic. A page is generated from the results, and a test compares both.

mod page;
mod rpc;
mod samples;
mod slopes;

use serde::{Deserialize, Serialize};

pub use self::{
    page::{TABLE_BEGIN, TABLE_END, insert, table},
    slopes::measure,
};

/// A measured slope, and the load that follows from it at the two-year size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Operation that is measured.
    pub name: String,
    /// Unit of size that the bytes grow with.
    pub by: String,
    /// Pairs of size and bytes, at least three sizes.
    pub points: Vec<(f64, f64)>,
    /// Bytes for each unit of size, by a least-squares fit.
    pub slope: f64,
    /// Bytes at size zero.
    pub base: f64,
    /// Largest relative distance of a point from the fitted line.
    pub error: f64,
    /// Size for which the load is computed.
    pub size: f64,
    /// Operations a second on the busiest instance, multiplied by the receivers of each.
    pub rate: f64,
    /// Derivation of the rate.
    pub reason: String,
    /// Bytes a second on the busiest instance.
    pub load: f64,
    /// Limit of the load in bytes a second.
    pub bound: f64,
    /// Mechanism that carries the load, or one that would.
    pub mechanism: String,
}

impl Slope {
    /// Whether the load is within its limit.
    pub fn fits(&self) -> bool {
        self.load <= self.bound
    }
}

/// Results of the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// All slopes, in the order of the table.
    pub slopes: Vec<Slope>,
}

/// Least-squares line through `points`: its slope, its value at zero and the largest relative
/// distance of a point from it.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let x_mean = points.iter().map(|p| p.0).sum::<f64>() / count;
    let y_mean = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.0 - x_mean) * (p.1 - y_mean)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x_mean).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let base = y_mean - slope * x_mean;
    let distance = |p: &(f64, f64)| ((base + slope * p.0 - p.1) / p.1).abs();
    (slope, base, points.iter().map(distance).fold(0.0, f64::max))
}
