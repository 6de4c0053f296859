//! How busy the machine was.

use {serde::Serialize, std::fs};

/// The machine at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Machine {
    /// Processor cores.
    pub cores: usize,
    /// Mean number of runnable threads over the last minute.
    pub load: f64,
}

impl Machine {
    /// The machine now.
    pub fn now() -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let load = text.split_whitespace().next().and_then(|t| t.parse().ok());
        Self { cores, load: load.unwrap_or_default() }
    }
}
