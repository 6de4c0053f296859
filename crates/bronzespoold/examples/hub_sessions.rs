//! Measures the cost of a hub and of the leader by the number of sessions, over loopback.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p bronzespoold --example
//! hub_sessions -- --sizes 10,100,300,890 --teams 1`
//!
//! Starts three control instances and an entry as processes, with relays that count payload
//! bytes, and opens the sessions of fake agents in this process at one follower. Prints for each
//! size the CPU time in milliseconds per second and the payload bytes and segments per second,
//! while idle and during a burst of 50 changes, and the time from accepting a change to having it
//! in force.

use {
    bronzespool::{
        core::{
            Capacity, Center, Instance, Place, Rack, Region, Service, Time,
            name::Cluster as ClusterName,
        },
        flow::view::{self, View},
        wire::message::{Announce, Role, SessionGrant, SessionRequest, Update},
    },
    bronzespool_fakes::{
        call::Call,
        cluster::{Cluster, Plan, Result},
        relay::Traffic,
    },
    bronzespoold::{
        client::{SessionClient, Subscriber, Timing},
        clock::Clock,
    },
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        fs,
        path::Path,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::LocalSet, time::sleep},
};

/// Number of changes in a burst.
const BURST_CHANGES: u32 = 50;
/// Number of single changes whose time until in force is measured.
const SINGLE_CHANGES: u32 = 11;
/// Duration of the measurement while idle.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Pause before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Ticks per second in which `/proc` reports CPU time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of agents in a rack.
const AGENTS_PER_RACK: u32 = 16;

/// A fake agent that applies the updates of the hub.
struct FakeAgent {
    place: Place,
    nonce: u64,
    view: RefCell<View>,
    until: Cell<Time>,
}

impl FakeAgent {
    fn new(number: u32) -> Self {
        let place = Place {
            region: Region::try_from("r1").expect("a name"),
            center: Center::try_from("c1").expect("a name"),
            rack: Rack::try_from(format!("k{}", number / AGENTS_PER_RACK).as_str())
                .expect("a name"),
            instance: Instance::try_from(format!("fake-{number}").as_str()).expect("a name"),
        };
        let nonce = u64::from(number) + 1;
        Self { place, nonce, view: RefCell::default(), until: Cell::new(Time::ZERO) }
    }
}

impl Subscriber for FakeAgent {
    fn session_request(&self) -> SessionRequest {
        let capacity =
            Capacity { slots: 8, connections: 64, cores: 64, memory: 131_072, accels: 2 };
        let announce = Announce {
            place: self.place.clone(),
            nonce: self.nonce,
            address: "127.0.0.1:9".parse().expect("an address"),
            services: vec![Service::try_from("desk").expect("a name")],
            capacity,
            leaving: false,
        };
        let instance = self.place.instance.clone();
        SessionRequest {
            cluster: cluster_name(),
            role: Role::Agent,
            instance,
            seen: self.view_index(),
            announce: Some(announce),
        }
    }

    fn apply_grant(&self, grant: SessionGrant) -> bool {
        self.view.borrow_mut().replace(grant.view)
    }

    fn apply_update(&self, update: Update) -> view::Result<()> {
        match update {
            Update::Delta(delta) => self.view.borrow_mut().apply(delta),
            Update::Tasks { .. } => Ok(()),
        }
    }

    fn view_index(&self) -> u64 {
        self.view.borrow().index
    }

    fn set_expiry(&self, until: Time) {
        self.until.set(until);
    }
}

/// CPU time and traffic of one process up to a point in time.
#[derive(Clone, Copy)]
struct ProcessCost {
    at: Instant,
    ticks: f64,
    traffic: Traffic,
}

impl ProcessCost {
    fn of(cluster: &Cluster, name: &str) -> Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", cluster.id(name)))?;
        let rest = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<_> = rest.split_whitespace().collect();
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(Self { at: Instant::now(), ticks, traffic: cluster.traffic(name) })
    }

    /// CPU milliseconds, payload bytes and segments per second from this sample to `later`.
    fn rates(self, later: Self) -> String {
        let secs = later.at.duration_since(self.at).as_secs_f64();
        let cpu = (later.ticks - self.ticks) / TICKS_PER_SECOND * 1_000.0 / secs;
        let bytes = (later.traffic.bytes - self.traffic.bytes) as f64 / secs;
        let chunks = (later.traffic.chunks - self.traffic.chunks) as f64 / secs;
        format!("{cpu:.1} ms/s, {bytes:.0} B/s, {chunks:.0} segments/s")
    }
}

fn main() -> Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let sizes: String = args.value_from_str("--sizes")?;
    let teams: u32 = args.value_from_str("--teams")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    for size in sizes.split(',') {
        runtime.block_on(LocalSet::new().run_until(measure(size.parse()?, teams)))?;
    }
    Ok(())
}

async fn measure(size: u32, teams: u32) -> Result<()> {
    let mut plan = Plan::small("desk", Path::new("."), 0).relayed();
    plan.entries = 1;
    plan.log = "warn".to_owned();
    let cluster = Cluster::start(plan).await?;
    let leader = cluster.leader(0).await?;
    let names = cluster.controls().iter().map(|(name, _)| name.clone());
    let hub = names.into_iter().rfind(|name| *name != leader).expect("a follower");
    let agents = open_sessions(&cluster, &hub, size).await;
    publish(&cluster, "op-0", teams, true).await?;
    sleep(SETTLE_TIME).await;
    println!("\n{size} sessions, {teams} teams");
    measure_idle(&cluster, &hub, &leader).await?;
    measure_singles(&cluster, teams).await?;
    measure_burst(&cluster, &hub, &leader, teams).await?;
    let status = cluster.status(0).await?;
    let valid = agents.iter().filter(|a| a.is_valid()).count();
    println!("  valid sessions at the end: {valid}, leader {}", status["leader"]);
    for name in [&hub, &leader] {
        let text = fs::read_to_string(format!("/proc/{}/status", cluster.id(name)))?;
        let memory = text.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default();
        println!("  {name} {memory}");
    }
    Ok(())
}

async fn open_sessions(
    cluster: &Cluster,
    hub: &str,
    size: u32,
) -> Vec<Rc<SessionClient<FakeAgent>>> {
    let clock = Clock::start();
    let timing =
        Timing { renew_interval: Duration::from_secs(1), reply_timeout: Duration::from_secs(1) };
    let hubs = [cluster.hub(hub)];
    let started = Instant::now();
    let mut clients = Vec::new();
    for number in 0..size {
        let agent = Rc::new(FakeAgent::new(number));
        let session_client = SessionClient::new(clock, timing, &hubs, agent);
        tokio::task::spawn_local(Rc::clone(&session_client).run());
        clients.push(session_client);
        // Spreads the renewals over the interval.
        sleep(timing.renew_interval / size).await;
    }
    while !clients.iter().all(|k| k.is_valid()) {
        sleep(Duration::from_millis(20)).await;
    }
    println!("\n{size} sessions were open after {:?}", started.elapsed());
    clients
}

async fn measure_idle(cluster: &Cluster, hub: &str, leader: &str) -> Result<()> {
    let before = [ProcessCost::of(cluster, hub)?, ProcessCost::of(cluster, leader)?];
    sleep(IDLE_TIME).await;
    println!("  idle   hub    {}", before[0].rates(ProcessCost::of(cluster, hub)?));
    println!("  idle   leader {}", before[1].rates(ProcessCost::of(cluster, leader)?));
    Ok(())
}

async fn measure_singles(cluster: &Cluster, teams: u32) -> Result<()> {
    let mut times = Vec::new();
    for number in 0..SINGLE_CHANGES {
        let op = format!("single-{number}");
        publish(cluster, &op, teams, false).await?;
        let accepted = Instant::now();
        publish(cluster, &op, teams, true).await?;
        times.push(accepted.elapsed());
        sleep(Duration::from_millis(200)).await;
    }
    times.sort();
    let (median, most) = (times[times.len() / 2].as_millis(), times[times.len() - 1].as_millis());
    println!("  accept to in force: median {median} ms, most {most} ms of {SINGLE_CHANGES}");
    Ok(())
}

async fn measure_burst(cluster: &Cluster, hub: &str, leader: &str, teams: u32) -> Result<()> {
    let before = [ProcessCost::of(cluster, hub)?, ProcessCost::of(cluster, leader)?];
    let started = Instant::now();
    for number in 0..BURST_CHANGES {
        publish(cluster, &format!("burst-{number}"), teams, false).await?;
    }
    let accepted = Instant::now();
    publish(cluster, &format!("burst-{}", BURST_CHANGES - 1), teams, true).await?;
    let in_force = accepted.elapsed();
    let total = started.elapsed();
    let (in_force, accepted) = (in_force.as_millis(), (total - in_force).as_millis());
    println!("  burst of {BURST_CHANGES}: accepted in {accepted} ms, in force {in_force} ms later");
    println!("  burst  hub    {}", before[0].rates(ProcessCost::of(cluster, hub)?));
    println!("  burst  leader {}", before[1].rates(ProcessCost::of(cluster, leader)?));
    Ok(())
}

async fn publish(cluster: &Cluster, op: &str, teams: u32, wait: bool) -> Result<()> {
    let body = json!({ "base": null, "op": op, "files": service_files(teams), "wait": wait });
    let answer = Call::post("/v1/config", &body).send(cluster.entry(0)).await?;
    if !answer.status.is_success() {
        return Err(format!("{op}: {}", answer.json()).into());
    }
    Ok(())
}

fn service_files(teams: u32) -> Value {
    let mut text = String::from("[service]\nname = desk\n[kind check]\nmode = request\n");
    text += "deadline = 10s\n";
    for number in 0..teams {
        text += &format!("[team team-{number}]\nrate = 100\ninflight = 8\n");
    }
    json!([{ "path": "desk/service.ini", "text": text }])
}

/// Default cluster name of the settings.
fn cluster_name() -> ClusterName {
    ClusterName::try_from("bronzespool").expect("a valid name")
}
