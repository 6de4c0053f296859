//! Common parts of the stand-ins: JSON, HTTP, the record, and the processes under test.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(map) => map.get(key),
            _ => None,
        }
    }

    pub fn str(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn num(&self, key: &str) -> Option<f64> {
        match self.get(key)? {
            Json::Num(value) => Some(*value),
            _ => None,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Obj(map));
                }
                let Json::Str(key) = parse_value(bytes, at)? else { return None };
                skip_space(bytes, at);
                if bytes.get(*at)? != &b':' {
                    return None;
                }
                *at += 1;
                map.insert(key, parse_value(bytes, at)?);
                skip_space(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::Arr(list));
                }
                list.push(parse_value(bytes, at)?);
                skip_space(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return String::from_utf8(text).ok().map(Json::Str);
                    }
                    b'\\' => {
                        let next = *bytes.get(*at + 1)?;
                        text.push(match next {
                            b'n' => b'\n',
                            b't' => b'\t',
                            other => other,
                        });
                        *at += 2;
                    }
                    other => {
                        text.push(*other);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let begin = *at;
            while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[begin..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Begins the record of what was sent, answered and run.
pub fn start_record(path: &str) {
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Adds a line to the record, with the seconds since its beginning.
pub fn note(line: impl AsRef<str>) {
    if let Some((file, begun)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", begun.elapsed().as_secs_f64(), line.as_ref());
    }
}

/// Seconds since the beginning of the record.
pub fn seconds() -> f64 {
    RECORD.get().map_or(0.0, |(_, begun)| begun.elapsed().as_secs_f64())
}

/// Milliseconds since 1970.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Reads one HTTP message; returns its first line, its headers in lower case, and its body.
pub fn read_message(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
) -> Option<(String, String, String)> {
    let mut chunk = [0; 16 * 1024];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        rest.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    let (first, headers) = head.split_once("\r\n").unwrap_or((&head, ""));
    let headers = headers.to_owned();
    let length = headers
        .lines()
        .filter_map(|l| l.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let end = head_end + 4 + length;
    while rest.len() < end {
        let count = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        rest.extend_from_slice(&chunk[..count]);
    }
    let body = String::from_utf8_lossy(&rest[head_end + 4..end]).into_owned();
    let first = first.to_owned();
    rest.drain(..end);
    Some((first, headers, body))
}

/// Returns a header of a message.
pub fn header<'a>(headers: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = headers.lines().filter_map(|l| l.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// Sends a request on a new connection; returns the status and the body, or none without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        let _ = write!(text, "Host: {address}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(
        text,
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}

/// Set once the script ends: no process is started any more.
static STOPPING: AtomicBool = AtomicBool::new(false);

/// A process under test, with its settings.
pub struct Process {
    pub name: String,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    pub fn start(&self) {
        let mut child = self.child.lock().unwrap();
        if STOPPING.load(Ordering::SeqCst) {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let started = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("BRONZESPOOL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file has been built");
        note(format!("platform: {} starts", self.name));
        *child = Some(started);
    }

    fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Freezes the process or wakes it, by the signal `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        if let Some(pid) = self.pid() {
            note(format!("platform: signal {signal} to {}", self.name));
            let _ = Command::new("sh").arg("-c").arg(format!("kill -{signal} {pid}")).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Resident memory in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) / 1024
    }
}

/// The bounds of `sites/caroni-skyfield.toml`.
pub const HEARTBEAT_MS: u64 = 1_500;
pub const LEASE_MAX_MS: u64 = 6_000;
pub const STOP_MS: u64 = 400;
pub const CANCEL_MS: u64 = 3_000;
pub const CONTACT_MS: u64 = 3_000;
pub const MEMORY_MB: u64 = 256;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-the-team-0001";

/// The deployment: processes, and the addresses at which they are met.
pub struct Deployment {
    pub folder: PathBuf,
    net: String,
    pub cores: Vec<Arc<Process>>,
    pub fronts: Vec<Arc<Process>>,
    pub sides: Vec<Arc<Process>>,
}

const INTERNAL: u16 = 7_000;
const FRONT: u16 = 8_521;
const READY: u16 = 8_523;
const CONTROL: u16 = 8_526;
const APP: u16 = 8_080;

/// Returns the command of a role in the deploy file.
fn command(role: &str) -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("run in the repository");
    let mut inside = false;
    for line in text.lines() {
        if line.starts_with('[') {
            inside = line.trim() == format!("[roles.{role}]");
        } else if let Some(run) = line.strip_prefix("run = ").filter(|_| inside) {
            return run.trim().trim_matches('"').split(' ').map(str::to_owned).collect();
        }
    }
    panic!("the deploy file has no role {role}");
}

impl Deployment {
    /// Prepares the folder and picks addresses of the loopback range that are free.
    pub fn new(cores: usize, fronts: usize, sides: usize) -> Deployment {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("bronzespool-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = (0..200)
            .map(|i| format!("127.{}.{}", 20 + (pid / 200 + i) % 200, 1 + pid % 200))
            .find(|net| TcpListener::bind(format!("{net}.10:{CONTROL}")).is_ok())
            .expect("free addresses");
        let mut this = Deployment { folder, net, cores: vec![], fronts: vec![], sides: vec![] };
        this.cores =
            (0..cores).map(|i| this.process("core", "control", "control_plane", i)).collect();
        this.fronts = (0..fronts).map(|i| this.process("front", "entry", "front", i)).collect();
        this.sides = (0..sides).map(|i| this.process("side", "agent", "side", i)).collect();
        this
    }

    fn ip(&self, class: &str, i: usize) -> String {
        let base = match class {
            "core" => 10,
            "front" => 40,
            _ => 70,
        };
        format!("{}.{}", self.net, base + i)
    }

    fn address(&self, class: &str, i: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(class, i)).parse().unwrap()
    }

    pub fn control(&self, i: usize) -> SocketAddr {
        self.address("core", i, CONTROL)
    }

    pub fn front(&self, i: usize) -> SocketAddr {
        self.address("front", i, FRONT)
    }

    pub fn side_control(&self, i: usize) -> SocketAddr {
        self.address("side", i, CONTROL)
    }

    pub fn app(&self, i: usize) -> SocketAddr {
        self.address("side", i, APP)
    }

    fn process(&self, class: &str, role: &str, serves: &str, i: usize) -> Arc<Process> {
        let zones = ["chaguanas", "arima", "couva"];
        let (zone, ip) = (zones[i % 3], self.ip(class, i));
        let name = format!("{class}-{zone}-{}", i / 3 + 1);
        let seeds: Vec<String> = (0..3).map(|k| format!("\"{}\"", self.control(k))).collect();
        let listen = match class {
            "front" => format!(r#""front":"{ip}:{FRONT}","ready":"{ip}:{READY}""#),
            _ => format!(r#""control":"{ip}:{CONTROL}""#),
        };
        let data = self.folder.join(format!("{name}.data"));
        let data = match class {
            "core" => format!("\"{}\"", data.display()),
            _ => "null".to_owned(),
        };
        let nowhere = self.address("front", 29, 8_524);
        let settings = format!(
            r#"{{"node":"{name}","role":"{role}","machine_class":"{class}","serves":["{serves}"],
"ip":"{ip}","zone":"{zone}","region":"trinidad",
"zones":{{"chaguanas":"trinidad","arima":"trinidad","couva":"trinidad"}},
"listen":{{{listen}}},"internal_ports":[{INTERNAL},{}],"seeds":[{}],"bootstrap":true,
"in_tolerance":{},"limits":{{"cpu_share":0.5,"cores":1,"memory_mb":{MEMORY_MB},"max_fds":4096}},
"data_dir":{data},"discovery":"local","entry":"vip","heartbeat_ms":{HEARTBEAT_MS},"app":"{}",
"contracts":["base","drain","config","cost","recover","sched","tenants","advice","upkeep","sharing"],
"tolerate":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"contact_ms":{CONTACT_MS},"ack_ms":4000,"drain_ms":2000,"grace_s":6,"max_hold_ms":{LEASE_MAX_MS},
"stop_timeout_ms":{STOP_MS},"cancel_ms":{CANCEL_MS},"visible_ms":3000,"finish_s":14,"status_s":120,
"gang_timeout_ms":3000,"config_apply_ms":2000,"enforce_fencing":true,"lease_ms":3000}},
"config_mode":"highest","command_mode":"invoke","advice":"{nowhere}",
"cloud":{{"address":"{nowhere}","rate_per_s":60.0,"duties":[],"duty_per_s":60.0}}}}"#,
            INTERNAL + 15,
            seeds.join(","),
            class == "core",
            self.address("side", i, APP),
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings");
        Arc::new(Process {
            log: self.folder.join(format!("{name}.log")),
            command: command(role),
            settings: path,
            child: Mutex::new(None),
            name,
        })
    }

    pub fn all(&self) -> impl Iterator<Item = &Arc<Process>> {
        self.cores.iter().chain(&self.fronts).chain(&self.sides)
    }

    pub fn start(&self) {
        self.all().for_each(|p| p.start());
    }

    /// Restarts processes that have ended, and kills those that are over the memory limit, as the
    /// platform does.
    pub fn watch(&self) {
        for process in self.all().cloned() {
            thread::spawn(move || {
                loop {
                    let memory = process.memory_mb();
                    let is_over = memory > MEMORY_MB;
                    if is_over {
                        note(format!("platform: {} uses {memory} MB, it is killed", process.name));
                        process.kill();
                    } else if process.has_ended() {
                        note(format!("platform: {} has ended", process.name));
                        process.kill();
                    } else {
                        sleep_ms(20);
                        continue;
                    }
                    sleep_ms(500);
                    process.start();
                }
            });
        }
    }

    /// Sends the configuration until it is acknowledged, and waits until the entries are ready.
    pub fn configure(&self) -> bool {
        let body = format!(
            r#"{{"version":1,"routes":[{{"name":"r-quota","host":"{HOST}","path_prefix":"/quota/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"desk","attempts":3,"slack_factor":3.0,"public":false}}],"services":[{{"name":"desk","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"rejects_overload":false,"standby":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"rangers","api_keys":["{KEY}"],"priority":1,"guaranteed":{{"gpu":16}}}}]}}"#
        );
        let wait = Duration::from_secs(1);
        let done = until(20_000, || {
            (0..self.cores.len()).any(|i| {
                let answer = call(self.control(i), "POST", "/-/Config.Replace", &[], &body, wait);
                matches!(answer, Some((200, _)))
            })
        });
        note(format!("operator: the configuration is acknowledged: {done}"));
        done && until(10_000, || {
            (0..self.fronts.len()).all(|i| {
                let ready = self.address("front", i, READY);
                matches!(call(ready, "GET", "/-/ready", &[], "", wait), Some((200, _)))
            })
        })
    }

    /// Sends a client's request to one of the entries.
    pub fn client(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        self.client_waiting(front, method, path, body, Duration::from_secs(3))
    }

    /// As [`Deployment::client`], for a client that waits for this long.
    pub fn client_waiting(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
        wait: Duration,
    ) -> Option<(u16, String)> {
        let key = format!("Bearer {KEY}");
        let headers = [("Host", HOST), ("Authorization", key.as_str()), ("X-Deadline-Ms", "3000")];
        let front = front % self.fronts.len();
        let answer = call(self.front(front), method, path, &headers, body, wait);
        let short: String = body.chars().take(200).collect();
        note(format!("client: {method} {path} {short} at entry {front} -> {answer:?}"));
        answer
    }

    /// Submits a job until it is accepted, as a client does that repeats an unanswered request.
    pub fn submit(&self, id: u64, body: &str) -> bool {
        (0..5).any(|i| {
            let answer = self.client(i, "POST", &format!("/quota/{id:016x}"), body);
            let accepted = matches!(answer, Some((200..=299, _)));
            if !accepted {
                sleep_ms(500);
            }
            accepted
        })
    }

    /// Reads the state of a job.
    pub fn state(&self, id: u64, front: usize) -> Option<String> {
        let (status, body) = self.client(front, "GET", &format!("/quota/{id:016x}"), "")?;
        if status != 200 {
            return None;
        }
        Json::parse(&body)?.str("state").map(str::to_owned)
    }

    /// Returns a path to an address through a stand-in for the network, which holds up what is sent
    /// until the path is open.
    pub fn held_path(&self, to: SocketAddr) -> HeldPath {
        let listener = TcpListener::bind(format!("{}.200:0", self.net)).expect("a free port");
        let address = listener.local_addr().unwrap();
        let open = Arc::new(AtomicBool::new(false));
        let path = HeldPath { address, open: Arc::clone(&open) };
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let open = Arc::clone(&open);
                thread::spawn(move || {
                    let mut bytes = Vec::new();
                    let request = read_message(&mut stream, &mut bytes);
                    let Some((first, headers, body)) = request else { return };
                    while !open.load(Ordering::SeqCst) {
                        sleep_ms(5);
                    }
                    let Ok(mut onward) = TcpStream::connect(to) else { return };
                    let text = format!("{first}\r\n{headers}\r\n\r\n{body}");
                    let _ = onward.write_all(text.as_bytes());
                    let answer = read_message(&mut onward, &mut Vec::new());
                    let status = answer.as_ref().map(|(first, ..)| first.clone());
                    note(format!("network: {first} {body} arrives -> {status:?}"));
                    if let Some((first, headers, body)) = answer {
                        let _ = stream
                            .write_all(format!("{first}\r\n{headers}\r\n\r\n{body}").as_bytes());
                    }
                });
            }
        });
        path
    }

    /// Ends all processes. Keeps the logs if the environment names a folder for them.
    pub fn stop(&self) {
        STOPPING.store(true, Ordering::SeqCst);
        self.all().for_each(|p| p.kill());
        if let Ok(keep) = std::env::var("KEEP_LOGS") {
            let _ = Command::new("cp").arg("-r").arg(&self.folder).arg(keep).status();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A path that holds up what is sent, as a partition does; see [`Deployment::held_path`].
pub struct HeldPath {
    pub address: SocketAddr,
    open: Arc<AtomicBool>,
}

impl HeldPath {
    /// Lets through what was sent, and what will be.
    pub fn open(&self) {
        self.open.store(true, Ordering::SeqCst);
    }
}

/// Waits until a condition holds, at most for `millis`.
pub fn until(millis: u64, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(millis);
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep_ms(50);
    }
}
