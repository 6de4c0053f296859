//! A small deployment: the project's programs as separate processes on loopback addresses, with the
//! commands of the deploy file, and workers beside the agents.

use {
    crate::{
        http::{Answer, Request, Server, call},
        json::{Json, quote},
        proxy::{self, Cut},
        record::Record,
        worker::{Host, LEASE_MAX, Late, Worker, ticket},
    },
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

pub const SERVICE: &str = "desk";
pub const HOST: &str = "desk.example";
const INTERNAL_PORT: u16 = 7_000;
const FRONT_PORT: u16 = 8_000;
const READY_PORT: u16 = 8_001;
const CONTROL_PORT: u16 = 8_002;
const APP_PORT: u16 = 8_003;
const SERVICES_PORT: u16 = 8_004;
const SERVICES_OCTET: u8 = 200;
/// Distance of the address at which others reach a control instance from its own.
const PROXY_OCTET: u8 = 100;
/// Time after which a case gives up; it ends within two minutes then.
const CASE_TIME: Duration = Duration::from_secs(95);
/// Time that a caller waits for an answer, and until it tries again.
const CALL_TIME: Duration = Duration::from_millis(3_000);
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A process of the project.
pub struct Process {
    settings: PathBuf,
    log: PathBuf,
    command: Vec<String>,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("BRONZESPOOL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => cannot_run(&format!("{}: {error}", self.command[0])),
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the case as one that could not run. All processes end with the deployment, which is dropped.
pub fn cannot_run(reason: &str) -> ! {
    panic!("the case could not run: {reason}");
}

/// A queue of the config.
#[derive(Clone, Debug)]
pub struct Route {
    pub prefix: &'static str,
    pub priority: u32,
    pub attempts: u32,
    /// Whether an advice service allows only some workers.
    pub advice: bool,
}

/// A team of the config, with its key and the GPUs that it is guaranteed.
#[derive(Clone, Debug)]
pub struct Team {
    pub key: &'static str,
    pub gpu: u64,
}

/// The deployment.
pub struct Cluster {
    base: String,
    folder: PathBuf,
    pub controls: Vec<Process>,
    pub front: Process,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    pub record: Record,
    /// The cut of the first worker's machine from control.
    pub cut: Arc<Cut>,
    /// Number of coming starts that workers leave without an answer.
    pub late: Late,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.workers.iter_mut().for_each(Worker::end);
        self.agents.iter_mut().for_each(Process::kill);
        self.front.kill();
        self.controls.iter_mut().for_each(Process::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    /// Starts three control instances, an entry, and one agent and worker for each list of labels.
    pub fn start(root: &Path, record: Record, labels: &[&[&str]]) -> Self {
        let base = free_base();
        let folder =
            std::env::temp_dir().join(format!("bronzespool-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let commands = Commands::read(root);
        let cut = Arc::new(Cut::default());
        for i in 1..=3 {
            let at = |octet| address(&base, octet, INTERNAL_PORT);
            let (cut, tag) = (Arc::clone(&cut), node_name("side", 21));
            proxy::start(at(PROXY_OCTET + i), at(i), tag, cut, record.clone());
        }
        let starter = Starter { base: &base, folder: &folder, commands: &commands, root };
        let controls = (1..=3).map(|i| starter.process("core", i, "control_plane")).collect();
        let front = starter.process("front", 11, "front");
        let (mut agents, mut workers, late) = (Vec::new(), Vec::new(), Late::default());
        for (i, labels) in labels.iter().enumerate() {
            let octet = 21 + i as u8;
            agents.push(starter.process("side", octet, "side"));
            let host = Host {
                id: format!("w-{:02}", i + 1),
                service: SERVICE.into(),
                address: address(&base, octet, APP_PORT),
                control: address(&base, octet, CONTROL_PORT),
                labels: labels.iter().map(|l| (*l).to_owned()).collect(),
                cpu: 64_000,
                memory: 128_000,
                gpu: 8,
                ahead: 0,
            };
            let mut worker = Worker::new(host, record.clone(), Late::clone(&late));
            worker.start();
            workers.push(worker);
        }
        Self { base, folder, controls, front, agents, workers, record, cut, late }
    }

    /// Sends a config until it is acknowledged.
    pub fn configure(&self, version: u64, routes: &[Route], teams: &[Team]) {
        let route = |r: &Route| {
            let advice = match r.advice {
                true => ",\"advice\":{\"decision_ms\":20,\"per_worker_ms\":1,\"validity_ms\":5000}",
                false => "",
            };
            format!(
                "{{\"name\":\"r-{0}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{0}/\",\"kind\":\
                 \"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":{1},\
                 \"service\":\"{SERVICE}\",\"attempts\":{2},\"slack_factor\":3.0,\"public\":false{advice}}}",
                r.prefix, r.priority, r.attempts
            )
        };
        let team = |t: &Team| {
            format!(
                "{{\"name\":\"team-{0}\",\"api_keys\":[\"{0}\"],\"priority\":1,\"guaranteed\":\
                 {{\"gpu\":{1}}}}}",
                t.key, t.gpu
            )
        };
        let body = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"rejects_overload\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{}]}}",
            routes.iter().map(route).collect::<Vec<_>>().join(","),
            teams.iter().map(team).collect::<Vec<_>>().join(",")
        );
        let is_acked = || {
            (1..=3).any(|i| {
                let to = address(&self.base, i, CONTROL_PORT);
                let time = Duration::from_secs(1);
                let answer = call(to, "POST", "/-/Config.Replace", &[], &body, time);
                answer.is_some_and(|(status, _)| status == 200)
            })
        };
        self.wait("an acknowledged config", Duration::from_secs(20), is_acked);
        self.record.line(&format!("operator: config {version} is acknowledged"));
        let ready = address(&self.base, 11, READY_PORT);
        let is_ready = || {
            let answer = call(ready, "GET", "/-/ready", &[], "", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        self.wait("a ready entry", Duration::from_secs(10), is_ready);
    }

    fn call(&self, key: &str, method: &str, path: &str, body: &str) -> Option<Answer> {
        let bearer = format!("Bearer {key}");
        let headers = [("Host", HOST), ("Authorization", &*bearer), ("X-Deadline-Ms", "3000")];
        call(address(&self.base, 11, FRONT_PORT), method, path, &headers, body, CALL_TIME)
    }

    /// Submits a job as a client that tries again until it is accepted.
    pub fn submit(&self, key: &str, prefix: &str, job: u64, text: &str, steps: &str) {
        let body = format!("{{\"spec\":{},\"steps\":{steps}}}", quote(text));
        let path = format!("/{prefix}/{job:016x}");
        let is_accepted = || {
            let answer = self.call(key, "POST", &path, &body);
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.record.line(&format!("client: POST {path} {body} is answered with {status}"));
            status == 200
        };
        self.wait("an accepted job", Duration::from_secs(10), is_accepted);
    }

    /// Returns the state of a job as a client reads it; empty without an answer.
    pub fn state(&self, key: &str, prefix: &str, job: u64) -> String {
        let path = format!("/{prefix}/{job:016x}");
        let answer = self.call(key, "GET", &path, "");
        let body = answer.as_ref().and_then(|(_, body)| Json::parse(body));
        let state = body.as_ref().and_then(|b| b.text("state")).unwrap_or("").to_owned();
        let status = answer.map_or(0, |(status, _)| status);
        self.record.line(&format!("client: GET {path} is answered with {status} {state}"));
        state
    }

    /// Starts the advice service, which allows the workers that `allows` names. It handles one call at
    /// a time.
    pub fn start_advice(&self, allows: fn(&str) -> bool) -> Server {
        let record = self.record.clone();
        let turn = Mutex::new(());
        let handle = move |request: &Request| {
            let body = Json::parse(&request.body)?;
            let Some(Json::List(workers)) = body.get("workers") else { return None };
            let step = body.text("step")?.to_owned();
            let _turn = turn.lock().unwrap();
            thread::sleep(Duration::from_millis(20 + workers.len() as u64));
            let mut rows = Vec::new();
            for worker in workers {
                let Json::Text(worker) = worker else { return None };
                if allows(worker) {
                    rows.push(format!("[{},{}]", quote(worker), quote(&ticket(&step, worker))));
                }
            }
            let text =
                format!("advice: {step} on {} workers, {} allowed", workers.len(), rows.len());
            record.line(&text);
            Some((200, format!("{{\"allowed\":[{}],\"validity_ms\":5000}}", rows.join(","))))
        };
        Server::start(address(&self.base, SERVICES_OCTET, SERVICES_PORT), handle)
            .unwrap_or_else(|error| cannot_run(&error.to_string()))
    }

    /// Returns where the tasks of a job run: worker, task, run and percentage.
    pub fn running(&self, job: u64) -> Vec<(usize, String, u32, u64)> {
        let name = format!("{job:016x}.");
        let of_worker = |(i, w): (usize, &Worker)| {
            let held = w.running().into_iter().filter(|(task, ..)| task.starts_with(&name));
            held.map(|(task, run, percent)| (i, task, run, percent)).collect::<Vec<_>>()
        };
        self.workers.iter().enumerate().flat_map(of_worker).collect()
    }

    /// Waits for what must come if the deployment is sound; without it the case cannot run.
    pub fn wait(&self, what: &str, time: Duration, mut holds: impl FnMut() -> bool) {
        if !self.comes(time, &mut holds) {
            cannot_run(&format!("{what} did not come in time"));
        }
    }

    /// Whether something comes within a time.
    pub fn comes(&self, time: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let end = Instant::now() + time;
        loop {
            if self.record.age() > CASE_TIME {
                cannot_run("the case takes too long");
            }
            if holds() {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(RETRY_PAUSE / 6);
        }
    }
}

/// Commands of the roles in the deploy file, by machine class.
struct Commands(Vec<(String, Vec<String>)>);

impl Commands {
    fn read(root: &Path) -> Self {
        let text = fs::read_to_string(root.join("deploy/system.toml")).unwrap_or_default();
        let value = |line: &str, name: &str| {
            let (key, value) = line.split_once('=')?;
            (key.trim() == name).then(|| value.trim().trim_matches('"').to_owned())
        };
        let roles = text.split("[roles.").skip(1).filter_map(|role| {
            let class = role.lines().find_map(|line| value(line, "on"))?;
            let run = role.lines().find_map(|line| value(line, "run"))?;
            Some((class, run.split(' ').map(str::to_owned).collect()))
        });
        Self(roles.collect())
    }

    fn of(&self, class: &str) -> Vec<String> {
        let found = self.0.iter().find(|(c, _)| c == class);
        found.map(|(_, run)| run.clone()).unwrap_or_else(|| cannot_run("no such role"))
    }
}

struct Starter<'a> {
    base: &'a str,
    folder: &'a Path,
    commands: &'a Commands,
    root: &'a Path,
}

impl Starter<'_> {
    fn process(&self, class: &str, octet: u8, serves: &str) -> Process {
        let node = node_name(class, octet);
        let at = |port| address(self.base, octet, port);
        let seeds: Vec<String> = (1..=3)
            .map(|i| address(self.base, PROXY_OCTET + i, CONTROL_PORT).to_string())
            .map(|seed| quote(&seed))
            .collect();
        let advertised = if class == "core" { PROXY_OCTET + octet } else { octet };
        let data = self.folder.join(&node);
        let data_dir = match class {
            "core" => {
                fs::create_dir_all(&data).expect("a data folder");
                quote(&data.to_string_lossy())
            }
            _ => "null".into(),
        };
        let services = address(self.base, SERVICES_OCTET, SERVICES_PORT);
        let settings = format!(
            "{{\"node\":\"{node}\",\"role\":\"{class}\",\"machine_class\":\"{class}\",\"serves\":\
             [\"{serves}\"],\"ip\":\"{}\",\"zone\":\"z1\",\"region\":\"r1\",\"zones\":{{\"z1\":\"r1\"}},\
             \"listen\":{{\"front\":\"{}\",\"ready\":\"{}\",\"control\":\"{}\"}},\"internal_ports\":\
             [{INTERNAL_PORT},{}],\"seeds\":[{}],\"bootstrap\":true,\"in_tolerance\":false,\
             \"data_dir\":{data_dir},\"app\":\"{}\",\"service\":\"{SERVICE}\",\"heartbeat_ms\":1500,\
             \"config_mode\":\"highest\",\"command_mode\":\"invoke\",\"advice\":\"{services}\",\"cloud\":\
             {{\"address\":\"{services}\",\"rate_per_s\":60.0,\"duties\":[],\"duty_per_s\":60.0}},\
             \"bounds\":{{\"max_hold_ms\":{LEASE_MAX},\"grace_s\":6,\"stop_timeout_ms\":900,\
             \"contact_ms\":3000,\"visible_ms\":3000,\"cancel_ms\":3000,\"finish_s\":14,\
             \"reclaim_ms\":3400,\"notice_ms\":4500,\"lease_ms\":3000}}}}",
            address(self.base, advertised, INTERNAL_PORT).ip(),
            at(FRONT_PORT),
            at(READY_PORT),
            at(CONTROL_PORT),
            INTERNAL_PORT + 15,
            seeds.join(","),
            at(APP_PORT),
        );
        let path = self.folder.join(format!("{node}.json"));
        fs::write(&path, settings).expect("a settings file");
        let mut command = self.commands.of(class);
        command[0] = self.root.join(&command[0]).to_string_lossy().into_owned();
        let log = self.folder.join(format!("{node}.log"));
        let mut process = Process { settings: path, log, command, child: None };
        process.start();
        process
    }
}

fn node_name(class: &str, octet: u8) -> String {
    format!("{class}-z1-{octet}")
}

fn address(base: &str, octet: u8, port: u16) -> SocketAddr {
    format!("{base}.{octet}:{port}").parse().expect("an address")
}

/// Returns the first three parts of loopback addresses that nobody uses.
fn free_base() -> String {
    let pid = std::process::id();
    let bases = (0..200).map(|i| {
        let n = pid.wrapping_mul(7).wrapping_add(i * 131);
        format!("127.{}.{}", 20 + n % 200, n / 200 % 250)
    });
    let is_free = |base: &String| {
        [(1, INTERNAL_PORT), (1, CONTROL_PORT), (11, FRONT_PORT), (21, APP_PORT)]
            .into_iter()
            .all(|(octet, port)| TcpListener::bind(address(base, octet, port)).is_ok())
    };
    let mut free = bases.into_iter().filter(is_free);
    free.next().unwrap_or_else(|| cannot_run("no free addresses"))
}
