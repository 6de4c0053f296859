//! Load of the host that runs the measurement.

use {serde::Serialize, std::fs};

/// Size and load of the host at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HostLoad {
    /// Number of processor cores.
    pub cores: usize,
    /// Load average over the last minute: mean number of runnable threads.
    pub load: f64,
}

impl HostLoad {
    /// Reads the current load; it is 0 if `/proc/loadavg` cannot be read.
    pub fn read() -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let load = text.split_whitespace().next().and_then(|t| t.parse().ok());
        Self { cores, load: load.unwrap_or_default() }
    }
}
