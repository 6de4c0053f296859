//! Slopes for planning capacity: bytes and messages of each act, measured with the real encoders.
//!
//! Every slope is deterministic. A page is made from the results, and a check compares both.

mod page;
mod rpc;
mod samples;
mod slopes;

use serde::{Deserialize, Serialize};

pub use self::{
    page::{TABLE_BEGIN, TABLE_END, insert, table},
    slopes::measure,
};

/// One measured slope and what it comes to at the two-year size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What is counted.
    pub name: String,
    /// What the count grows with.
    pub by: String,
    /// Pairs of size and bytes, at least three sizes.
    pub points: Vec<(f64, f64)>,
    /// Bytes for each unit of size, by least squares.
    pub slope: f64,
    /// Bytes at size zero.
    pub base: f64,
    /// Largest distance of a point from the line, as a share of the point.
    pub error: f64,
    /// Size at which the load is worked out.
    pub size: f64,
    /// How often a second, and for how many receivers, on the busiest node.
    pub rate: f64,
    /// Where the rate comes from.
    pub reason: String,
    /// Bytes a second on the busiest node.
    pub load: f64,
    /// Bytes a second allowed to it.
    pub bound: f64,
    /// What carries it, or would.
    pub mechanism: String,
}

impl Slope {
    /// Whether the load is within its bound.
    pub fn fits(&self) -> bool {
        self.load <= self.bound
    }
}

/// Results of all slopes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// The slopes.
    pub slopes: Vec<Slope>,
}

/// Least squares through `points`: slope, base and largest relative distance.
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
