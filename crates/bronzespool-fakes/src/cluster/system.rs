//! Starts and stops the processes of a cluster and gives access to them.

use {
    crate::{
        call::{Answer, Call},
        cluster::{
            plan::Plan,
            process::{Process, Signal, free_address, program},
            relays::Relays,
            settings::{self, AgentAddresses, Location},
        },
        relay::{Mode, Traffic},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        error::Error,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

/// Result of an operation on the cluster.
pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Lines of each log in the error for a cluster that does not become ready.
const LOG_TAIL_LINES: usize = 3;
/// Longest wait for a condition; much longer than a cluster usually needs.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// One endpoint with its agent.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of the instance.
    pub instance: String,
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Address of the fake endpoint.
    pub endpoint: SocketAddr,
    /// Address of the fake worker interface.
    pub worker: SocketAddr,
}

/// A running cluster. Its processes are killed when it is dropped.
pub struct Cluster {
    plan: Plan,
    folder: TempDir,
    processes: BTreeMap<String, Process>,
    controls: Vec<(String, SocketAddr)>,
    entries: Vec<(String, SocketAddr)>,
    workers: Vec<Worker>,
    relays: Relays,
}

impl Cluster {
    /// Starts all processes and waits until every entry is ready, every agent has a session and every
    /// fake worker answers.
    pub async fn start(plan: Plan) -> Result<Self> {
        let folder = TempDir::with_prefix("bronzespool-")?;
        let mut cluster = Self {
            plan,
            folder,
            processes: BTreeMap::new(),
            controls: Vec::new(),
            entries: Vec::new(),
            workers: Vec::new(),
            relays: Relays::default(),
        };
        cluster.start_controls().await?;
        cluster.start_workers()?;
        cluster.start_entries()?;
        cluster.wait_ready().await?;
        cluster.wait_workers().await?;
        Ok(cluster)
    }

    /// Temporary folder with settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Data folder of a control instance.
    pub fn data(&self, name: &str) -> PathBuf {
        self.folder().join(format!("{name}.data"))
    }

    /// Names and addresses of the control instances; the addresses bypass relays.
    pub fn controls(&self) -> &[(String, SocketAddr)] {
        &self.controls
    }

    /// Names and addresses of the entries.
    pub fn entries(&self) -> &[(String, SocketAddr)] {
        &self.entries
    }

    /// Address of an entry by its index.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.entries[number].1
    }

    /// Endpoints with their agents.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// A process by its name: `control-N`, `entry-N`, `agent-N` or `endpoint-N`.
    ///
    /// # Panics
    ///
    /// If there is no process of that name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Id of a process, named as for [`Cluster::process`].
    ///
    /// # Panics
    ///
    /// If there is no process of that name.
    pub fn id(&self, name: &str) -> u32 {
        self.processes.get(name).unwrap_or_else(|| panic!("no process {name}")).id()
    }

    /// Names and ids of all processes.
    pub fn ids(&self) -> Vec<(String, u32)> {
        self.processes.iter().map(|(name, p)| (name.clone(), p.id())).collect()
    }

    /// Publishes the plan's service files and waits until all instances use them.
    pub async fn publish(&self, operation: &str) -> Result<Answer> {
        let (_, sources) = bronzespool::core::settings::read_services(&self.plan.files)?;
        let body = json!({ "base": null, "op": operation, "files": sources, "wait": true });
        Call::post("/v1/config", &body).send(self.entry(0)).await
    }

    /// Status of the cluster as reported by an entry.
    pub async fn status(&self, entry: usize) -> Result<Value> {
        let answer = Call::get("/v1/status").send(self.entry(entry)).await?;
        if answer.status.is_success() {
            Ok(answer.json())
        } else {
            Err(format!("status: {} {}", answer.status, answer.json()).into())
        }
    }

    /// Name of the control instance that leads, as reported by an entry; empty if there is none.
    pub async fn leader(&self, entry: usize) -> Result<String> {
        let status = self.status(entry).await?;
        Ok(status["leader"].as_str().unwrap_or_default().to_owned())
    }

    /// Record of a worker's fake endpoint.
    pub async fn record(&self, worker: usize) -> Result<crate::endpoint::Record> {
        let answer = Call::get("/record").send(self.workers[worker].endpoint).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Record of a worker's fake worker interface.
    pub async fn tasks(&self, worker: usize) -> Result<crate::worker::Record> {
        let answer = Call::get("/record").send(self.workers[worker].worker).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Number of starts with an idempotency key, over all endpoints.
    pub async fn starts(&self, key: &str) -> Result<usize> {
        let mut starts = 0;
        for worker in 0..self.workers.len() {
            starts += self.record(worker).await?.keys.get(key).map_or(0, Vec::len);
        }
        Ok(starts)
    }

    /// Stops all processes gracefully, entries first, and returns the names of those that did not
    /// exit successfully.
    pub async fn stop(&mut self) -> Result<Vec<String>> {
        let mut failed = Vec::new();
        for prefix in ["entry", "agent", "endpoint", "control"] {
            let names: Vec<_> =
                self.processes.keys().filter(|n| n.starts_with(prefix)).cloned().collect();
            for name in &names {
                self.process(name).signal(Signal::TERM)?;
            }
            for name in names {
                if !self.exited_successfully(&name).await? {
                    failed.push(name);
                }
            }
        }
        Ok(failed)
    }

    async fn exited_successfully(&mut self, name: &str) -> Result<bool> {
        let end = Instant::now() + WAIT_MAX;
        while Instant::now() < end {
            if let Some(status) = self.process(name).ended()? {
                return Ok(status.success());
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(false)
    }

    /// Waits until every entry is ready and every agent has a session.
    pub async fn wait_ready(&self) -> Result<()> {
        let expected = self.workers.len();
        let end = Instant::now() + WAIT_MAX;
        loop {
            if self.entries_ready().await
                && self.endpoints_up().await.unwrap_or_default() == expected
            {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(
                    format!("the cluster was not ready in time:\n{}", self.log_tails()).into()
                );
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every fake worker answers: an agent has its session whether it does or not.
    async fn wait_workers(&self) -> Result<()> {
        let end = Instant::now() + WAIT_MAX;
        for worker in &self.workers {
            while let Err(error) = Call::get("/record").send(worker.worker).await {
                if Instant::now() > end {
                    let name = &worker.instance;
                    return Err(format!("{name}: {error}\n{}", self.log_tails()).into());
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// The last lines of all logs, for an error message: the folder is deleted with the cluster.
    fn log_tails(&self) -> String {
        let tail = |name: &String| {
            let text = fs::read_to_string(self.folder().join(format!("{name}.log")));
            let text = text.unwrap_or_default();
            let lines: Vec<_> = text.lines().rev().take(LOG_TAIL_LINES).collect();
            format!("{name}: {}", lines.join(" / "))
        };
        self.processes.keys().map(tail).collect::<Vec<_>>().join("\n")
    }

    async fn entries_ready(&self) -> bool {
        for (_, address) in &self.entries {
            match Call::get("/readyz").send(*address).await {
                Ok(answer) if answer.status.is_success() => {}
                _ => return false,
            }
        }
        true
    }

    /// Number of endpoints that are up.
    pub async fn endpoints_up(&self) -> Result<usize> {
        let status = self.status(0).await?;
        let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
        Ok(endpoints.iter().filter(|e| e["presence"] == "up").count())
    }

    /// Sets the mode of every relay between a control instance and all other processes.
    ///
    /// # Panics
    ///
    /// If the plan has no relays.
    pub fn isolate(&self, control: &str, mode: Mode) {
        assert!(self.plan.relayed, "the plan has no relays");
        self.relays.set(control, mode);
    }

    /// Sets the mode of the relays between a control instance and the other control instances;
    /// entries and agents still reach it.
    ///
    /// # Panics
    ///
    /// If the plan has no relays.
    pub fn isolate_peers(&self, control: &str, mode: Mode) {
        assert!(self.plan.relayed, "the plan has no relays");
        self.relays.set_peers(control, mode);
    }

    /// Traffic through the relays between a control instance and all other processes.
    pub fn traffic(&self, control: &str) -> Traffic {
        self.relays.traffic(control)
    }

    /// Address at which entries and agents reach a control instance: that of a relay, if the plan
    /// has relays.
    ///
    /// # Panics
    ///
    /// If there is no control instance of that name.
    pub fn hub(&self, control: &str) -> SocketAddr {
        let found = self.controls.iter().find(|(name, _)| name == control);
        let (name, address) = found.unwrap_or_else(|| panic!("no control instance {control}"));
        self.relays.client_address(name).unwrap_or(*address)
    }

    /// Addresses of all control instances for entries and agents, rotated to begin with the one at
    /// index `first`.
    fn hubs(&self, first: usize) -> Vec<SocketAddr> {
        let count = self.controls.len();
        let hubs = (0..count).map(|i| &self.controls[(first + i) % count]);
        hubs.map(|(name, _)| self.hub(name)).collect()
    }

    /// Writes a settings file and returns the command-line arguments that name it.
    fn write_settings(&self, name: &str, text: &str) -> Result<Vec<String>> {
        let file = self.folder().join(format!("{name}.ini"));
        fs::write(&file, text)?;
        Ok(vec!["--settings".to_owned(), file.display().to_string()])
    }

    fn launch(&mut self, name: &str, program: &Path, arguments: &[String]) -> Result<()> {
        let log = self.folder().join(format!("{name}.log"));
        self.processes.insert(name.to_owned(), Process::start(program, arguments, &log)?);
        Ok(())
    }

    async fn start_controls(&mut self) -> Result<()> {
        let daemon = program("bronzespoold");
        let names = (1..=self.plan.control).map(|n| format!("control-{n}"));
        self.controls = names.map(|name| (name, free_address())).collect();
        if self.plan.relayed {
            self.relays = Relays::start(&self.controls).await?;
        }
        let centers = self.plan.centers.clone();
        for (number, (name, listen)) in self.controls.clone().into_iter().enumerate() {
            let (center, region, _) = &centers[number % centers.len()];
            let location = Location { instance: &name, region, center, rack: "control" };
            let data = self.data(&name);
            let data = data.display().to_string();
            let peers = self.relays.peers(&name, &self.controls);
            let text = settings::control(&self.plan, &location, &data, listen, &peers);
            let arguments = self.write_settings(&name, &text)?;
            self.launch(&name, &daemon, &arguments)?;
        }
        Ok(())
    }

    fn start_entries(&mut self) -> Result<()> {
        let daemon = program("bronzespoold");
        let centers = self.plan.centers.clone();
        for number in 0..self.plan.entries as usize {
            let name = format!("entry-{}", number + 1);
            let listen = free_address();
            let (center, region, _) = &centers[number % centers.len()];
            let location = Location { instance: &name, region, center, rack: "entry" };
            let text = settings::entry(&self.plan, &location, listen, &self.hubs(number));
            let arguments = self.write_settings(&name, &text)?;
            self.launch(&name, &daemon, &arguments)?;
            self.entries.push((name, listen));
        }
        Ok(())
    }

    fn start_workers(&mut self) -> Result<()> {
        let centers = self.plan.centers.clone();
        for (center, region, racks) in &centers {
            for (rack, count) in racks.iter().enumerate() {
                for _ in 0..*count {
                    let rack = format!("{center}-r{}", rack + 1);
                    self.start_worker(region, center, &rack)?;
                }
            }
        }
        Ok(())
    }

    fn start_worker(&mut self, region: &str, center: &str, rack: &str) -> Result<()> {
        let number = self.workers.len() + 1;
        let instance = format!("worker-{number}");
        let addresses = AgentAddresses {
            listen: free_address(),
            endpoint: free_address(),
            worker: free_address(),
        };
        let arguments = [
            ("--name", instance.clone()),
            ("--listen", addresses.endpoint.to_string()),
            ("--worker", addresses.worker.to_string()),
            ("--millis", self.plan.millis.to_string()),
            ("--speed", self.plan.speed.to_string()),
        ];
        let arguments: Vec<_> =
            arguments.into_iter().flat_map(|(n, v)| [n.to_owned(), v]).collect();
        self.launch(&format!("endpoint-{number}"), &program("fake-endpoint"), &arguments)?;
        let location = Location { instance: &instance, region, center, rack };
        let text = settings::agent(&self.plan, &location, &addresses, &self.hubs(number));
        let name = format!("agent-{number}");
        let arguments = self.write_settings(&name, &text)?;
        self.launch(&name, &program("bronzespoold"), &arguments)?;
        let AgentAddresses { listen, endpoint, worker } = addresses;
        self.workers.push(Worker { instance, agent: listen, endpoint, worker });
        Ok(())
    }
}
