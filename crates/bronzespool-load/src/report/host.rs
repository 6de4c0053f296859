//! How busy the machine was.

use {serde::Serialize, std::fs};

/// The machine at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HostLoad {
    /// Processor cores.
    pub cores: usize,
    /// Mean number of runnable threads over the last minute.
    pub load: f64,
}

impl HostLoad {
    /// The machine now.
    pub fn read() -> Self {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let load = text.split_whitespace().next().and_then(|t| t.parse().ok());
        Self { cores, load: load.unwrap_or_default() }
    }
}
