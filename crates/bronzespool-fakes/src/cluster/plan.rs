//! Processes of a cluster and their settings.

use {
    bronzespool::core::{Capacity, settings::Deployment},
    std::path::{Path, PathBuf},
};

/// One data centre: its name, its region and the number of workers in each rack.
pub type PlannedCenter = (String, String, Vec<u32>);

/// Processes to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of control instances.
    pub control: u32,
    /// Number of entry instances.
    pub entries: u32,
    /// Data centres.
    pub centers: Vec<PlannedCenter>,
    /// Capacity of each endpoint.
    pub capacity: Capacity,
    /// Names of the services that all endpoints serve.
    pub services: Vec<String>,
    /// Folders with the service files.
    pub files: Vec<PathBuf>,
    /// Work time of a request at an endpoint, in milliseconds.
    pub millis: u64,
    /// Factor by which tasks run faster than requested.
    pub speed: u64,
    /// Log level of the daemons.
    pub log: String,
    /// Lines of the settings section `[timing]`.
    pub timing: String,
    /// Capacity that guarantees must leave free: a shape, or `none`.
    pub reserve: String,
    /// Whether the links to and between control instances pass through relays.
    pub relayed: bool,
}

impl Plan {
    /// A small cluster with `workers` endpoints in one rack that serve `service`, with the service
    /// files in `folder`.
    pub fn small(service: &str, folder: &Path, workers: u32) -> Self {
        Self {
            control: 3,
            entries: 2,
            centers: vec![("c1".to_owned(), "r1".to_owned(), vec![workers])],
            capacity: Capacity { slots: 8, connections: 64, cores: 64, memory: 131_072, accels: 8 },
            services: vec![service.to_owned()],
            files: vec![folder.to_owned()],
            millis: 1,
            speed: 1,
            log: "info".to_owned(),
            timing: String::new(),
            reserve: "none".to_owned(),
            relayed: false,
        }
    }

    /// The cluster of a deployment whose endpoints serve all of `services`.
    pub fn of(deployment: &Deployment, services: Vec<String>, folder: &Path) -> Self {
        let centers = deployment.centers.iter();
        let centers = centers.map(|c| (c.name.to_string(), c.region.to_string(), c.racks.clone()));
        Self {
            control: deployment.control,
            entries: deployment.entries,
            centers: centers.collect(),
            capacity: deployment.capacity,
            services,
            files: vec![folder.to_owned()],
            reserve: deployment.reserve.map_or_else(|| "none".to_owned(), |s| s.to_string()),
            ..Self::small("", folder, 0)
        }
    }

    /// Sets the work time of a request at an endpoint, in milliseconds.
    #[must_use]
    pub const fn millis(mut self, millis: u64) -> Self {
        self.millis = millis;
        self
    }

    /// Sets the factor by which tasks run faster than requested.
    #[must_use]
    pub const fn speed(mut self, speed: u64) -> Self {
        self.speed = speed;
        self
    }

    /// Sets the lines of the settings section `[timing]`.
    #[must_use]
    pub fn timing(mut self, lines: &str) -> Self {
        lines.clone_into(&mut self.timing);
        self
    }

    /// Puts a relay into every link to a control instance; see
    /// [`Cluster::isolate`](crate::cluster::Cluster::isolate).
    #[must_use]
    pub const fn relayed(mut self) -> Self {
        self.relayed = true;
        self
    }
}
