//! A running deployment that is measured.

use {
    crate::{
        Result,
        generate::{
            BaselineTarget, EntryTarget, LoadPhase, RequestMix, RequestStats, Target, drive,
        },
        service::{Fault, Options},
        usage::{UsageSample, sample_usage},
    },
    bronzespool::core::settings::{read_deployment, read_services},
    bronzespool_fakes::{
        call::Call,
        cluster::{Cluster, Plan},
    },
    serde_json::json,
    std::{path::PathBuf, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Time at the start of a phase that is not counted.
const WARMUP: Duration = Duration::from_secs(2);
/// Longest wait of a caller.
const DEADLINE_MAX: Duration = Duration::from_secs(2);
/// Factor by which a slow endpoint takes longer than the others.
const SLOW_FACTOR: u64 = 10;
/// Time between the start of the system and the first phase.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Request kinds with their weights.
const KIND_WEIGHTS: [(&str, u32); 7] = [
    ("quota-check", 60),
    ("seasonal-approval", 15),
    ("depot-reconciliation", 15),
    ("permit-issue", 10),
    ("log-upload", 60),
    ("airworthiness-check", 25),
    ("logbook-entry", 15),
];

/// A running deployment with its mix of requests.
pub(super) struct RunningDeployment {
    cluster: Cluster,
    mix: RequestMix,
    team_rates: Vec<(String, u32)>,
    slots: u32,
    request_millis: u64,
}

impl RunningDeployment {
    /// Starts the deployment `name` of the folder `examples` and publishes its service files.
    pub(super) async fn start(name: &str, options: &Options) -> Result<Self> {
        let folder = PathBuf::from("examples").join(name);
        let (config, _) = read_services(std::slice::from_ref(&folder))?;
        let deployment = read_deployment(&folder.join("deployment.ini"))?;
        let services = config.services.keys().map(ToString::to_string).collect();
        let mut plan = Plan::of(&deployment, services, &folder).millis(options.request_millis);
        limit_workers(&mut plan, options.worker_count);
        let slots = plan.capacity.slots;
        let cluster = Cluster::start(plan).await?;
        let published = cluster.publish("load-service").await?;
        if !published.status.is_success() {
            return Err(format!("publishing failed: {}", published.json()).into());
        }
        let (service, spec) = config.services.iter().next().ok_or("there is no service")?;
        let mix = RequestMix::from_config(&config, service, &KIND_WEIGHTS, DEADLINE_MAX);
        let team_rates =
            spec.teams.iter().map(|(name, team)| (name.to_string(), team.rate)).collect();
        sleep(SETTLE_TIME).await;
        Ok(Self { cluster, mix, team_rates, slots, request_millis: options.request_millis })
    }

    /// Requests per second that all slots together can serve.
    pub(super) fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * self.cluster.workers().len() as f64;
        slots * 1_000.0 / self.request_millis.max(1) as f64
    }

    /// Parameters of a phase at `rate` requests per second.
    pub(super) const fn load_phase(&self, rate: f64, options: &Options) -> LoadPhase {
        LoadPhase { rate, warmup: WARMUP, duration: options.phase_duration, seed: options.seed }
    }

    /// The mix of all request kinds and teams.
    pub(super) const fn mix(&self) -> &RequestMix {
        &self.mix
    }

    /// Name of the team with the smallest declared rate.
    pub(super) fn smallest_team(&self) -> &str {
        let team = self.team_rates.iter().min_by_key(|(_, rate)| *rate);
        team.map_or("", |(name, _)| name)
    }

    /// The entry instances as a target.
    pub(super) fn entries(&self) -> Rc<EntryTarget> {
        let addresses: Vec<_> = self.cluster.entries().iter().map(|(_, a)| *a).collect();
        EntryTarget::new(&addresses)
    }

    /// The endpoints as a target, without the system.
    pub(super) fn baseline(&self) -> Rc<BaselineTarget> {
        let addresses: Vec<_> = self.cluster.workers().iter().map(|w| w.endpoint).collect();
        BaselineTarget::new(&addresses, self.slots)
    }

    /// Runs a phase with a fault at the first endpoint. The fault is removed afterwards.
    pub(super) async fn run_with_fault<T: Target>(
        &mut self,
        fault: Fault,
        target: &Rc<T>,
        load: &LoadPhase,
    ) -> Result<RequestStats> {
        match fault {
            Fault::None => Ok(drive(target, &self.mix, load).await),
            Fault::Bad | Fault::Slow => {
                let millis = if fault == Fault::Slow {
                    self.request_millis * SLOW_FACTOR
                } else {
                    self.request_millis
                };
                let name = if fault == Fault::Bad { "fail" } else { "none" };
                self.set_behaviour(millis, name).await?;
                let stats = drive(target, &self.mix, load).await;
                self.set_behaviour(self.request_millis, "none").await?;
                Ok(stats)
            }
            Fault::Killed => self.run_with_kill(target, load).await,
        }
    }

    /// Sets the service time and the fault of the first endpoint.
    async fn set_behaviour(&self, millis: u64, fault: &str) -> Result<()> {
        let body = json!({ "millis": millis, "fault": fault });
        Call::put("/manner", &body).send(self.cluster.workers()[0].endpoint).await?;
        Ok(())
    }

    /// Kills the first endpoint and its agent in the middle of the counted window, and restarts
    /// them after the phase.
    async fn run_with_kill<T: Target>(
        &mut self,
        target: &Rc<T>,
        load: &LoadPhase,
    ) -> Result<RequestStats> {
        let middle = load.warmup + load.duration / 2;
        let (cluster, mix) = (&mut self.cluster, &self.mix);
        let kill = async {
            sleep(middle).await;
            cluster.process("agent-1").kill()?;
            cluster.process("endpoint-1").kill()
        };
        let (stats, killed) = tokio::join!(drive(target, mix, load), kill);
        killed?;
        self.cluster.process("endpoint-1").restart()?;
        self.cluster.process("agent-1").restart()?;
        self.cluster.wait_ready().await?;
        Ok(stats)
    }

    /// Usage of all processes.
    pub(super) fn sample_usage(&self) -> UsageSample {
        sample_usage(&self.cluster.ids())
    }

    /// Number of control instances.
    pub(super) fn control_count(&self) -> usize {
        self.cluster.controls().len()
    }

    /// Stops the system.
    pub(super) async fn stop(mut self) -> Result<()> {
        let failed = self.cluster.stop().await?;
        if failed.is_empty() {
            Ok(())
        } else {
            Err(format!("{failed:?} did not exit cleanly").into())
        }
    }
}

/// Reduces the plan to its first `workers` endpoints.
fn limit_workers(plan: &mut Plan, workers: u32) {
    let mut left = workers;
    for rack in plan.centers.iter_mut().flat_map(|(_, _, racks)| racks) {
        *rack = left.min(*rack);
        left -= *rack;
    }
}
