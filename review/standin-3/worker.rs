//! A worker as the platform's pages describe it. It behaves soundly: it carries out each call when it
//! arrives, and its lists are true.

use {
    crate::{
        http::{self, Answer, Request, Server},
        json::{self, Json, quote},
        record::Record,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Longest lease (`max_hold_ms`).
pub const LEASE_MAX_MS: u64 = 6_000;
/// Interval of the check-ins (`heartbeat_ms`).
pub const HEARTBEAT_MS: u64 = 1_500;
/// Time that a stop takes, less than `stop_timeout_ms` (400).
const STOP: Duration = Duration::from_millis(100);
/// Time after its start from which a run that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// Steps in which the worker looks at its runs.
const STEP: Duration = Duration::from_millis(5);

/// A work unit and the number of its run.
pub type RunKey = (String, u64);

/// What a run does.
#[derive(Clone, Debug)]
pub struct Run {
    pub started: Instant,
    /// Time that the work takes; none for a run that lasts.
    work: Option<Duration>,
    stopping: Option<Instant>,
}

impl Run {
    /// Whether a run that lasts is at work.
    pub fn is_at_work(&self) -> bool {
        self.started.elapsed() >= STARTUP
    }

    fn percent(&self) -> u64 {
        match self.work {
            None if self.is_at_work() => 100,
            None => 0,
            Some(work) => {
                (self.started.elapsed().as_millis() * 100 / work.as_millis().max(1)) as u64
            }
        }
    }
}

/// The end of a run.
#[derive(Clone, Debug)]
struct End {
    number: u64,
    key: RunKey,
    how: &'static str,
}

/// One life of a worker.
#[derive(Default)]
struct Life {
    id: String,
    born: u64,
    since: Option<Instant>,
    seq: u64,
    token: u64,
    lease_end: u64,
    runs: BTreeMap<RunKey, Run>,
    ends: Vec<End>,
    last_number: u64,
    /// Highest run of each work unit that was stopped or has ended here.
    barred: HashMap<String, u64>,
}

impl Life {
    fn clock(&self) -> u64 {
        self.since.map_or(0, |s| s.elapsed().as_millis() as u64) + 1
    }

    fn end(&mut self, key: &RunKey, how: &'static str) {
        self.runs.remove(key);
        self.bar(key);
        self.last_number += 1;
        self.ends.push(End { number: self.last_number, key: key.clone(), how });
    }

    fn bar(&mut self, key: &RunKey) {
        let highest = self.barred.entry(key.0.clone()).or_default();
        *highest = (*highest).max(key.1);
    }
}

/// What a stand-in tells of an end or a start.
pub type Watch = Arc<dyn Fn(&Worker, &RunKey, &str) + Send + Sync>;

/// A worker at one address.
pub struct Worker {
    /// The machine that it is on.
    pub machine: String,
    address: SocketAddr,
    /// Address at which it checks in.
    control: SocketAddr,
    service: String,
    labels: Vec<String>,
    life: Mutex<Life>,
    server: Mutex<Option<Server>>,
    boots: Mutex<u64>,
    record: Record,
    watch: Watch,
}

impl Worker {
    pub fn new(
        machine: &str,
        (address, control): (SocketAddr, SocketAddr),
        service: &str,
        labels: &[&str],
        record: &Record,
        watch: Watch,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            machine: machine.to_owned(),
            address,
            control,
            service: service.to_owned(),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            life: Mutex::default(),
            server: Mutex::default(),
            boots: Mutex::default(),
            record: record.clone(),
            watch,
        });
        let (ticking, beating) = (Arc::clone(&worker), Arc::clone(&worker));
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(STEP);
            }
        });
        thread::spawn(move || {
            loop {
                beating.check_in();
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        worker
    }

    /// The name of the current life; empty while the worker is down.
    pub fn id(&self) -> String {
        self.life.lock().unwrap().id.clone()
    }

    /// The current runs.
    pub fn runs(&self) -> BTreeMap<RunKey, Run> {
        self.life.lock().unwrap().runs.clone()
    }

    /// Starts a new life, under a new name.
    pub fn boot(self: &Arc<Self>) {
        let mut boots = self.boots.lock().unwrap();
        *boots += 1;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let id = format!("i-{}-{}", self.machine, *boots);
        *self.life.lock().unwrap() =
            Life { id: id.clone(), born, since: Some(Instant::now()), ..Life::default() };
        let worker = Arc::clone(self);
        let handler: http::Handler = Arc::new(move |request| worker.answer(request));
        for _ in 0..200 {
            match Server::start(self.address, Arc::clone(&handler)) {
                Ok(server) => {
                    *self.server.lock().unwrap() = Some(server);
                    self.record.line(&format!("worker {id} boots on {}", self.machine));
                    drop(boots);
                    self.check_in();
                    return;
                }
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
        self.record.line(&format!("worker {id} cannot listen at {}", self.address));
    }

    fn check_in(&self) {
        let body = {
            let mut life = self.life.lock().unwrap();
            if life.id.is_empty() {
                return;
            }
            life.seq += 1;
            let labels: Vec<String> = self.labels.iter().map(|l| quote(l)).collect();
            let body = format!(
                r#"{{"service":{},"address":"{}","zone":"z1","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":64000,"mem_mb":131072,"gpu":8}},"labels":[{}],"clock_ms":{},"seq":{},"born":{},"machine":{}}}"#,
                quote(&self.service),
                self.address,
                labels.join(","),
                life.clock(),
                life.seq,
                life.born,
                quote(&self.machine),
            );
            (life.id.clone(), body)
        };
        let path = format!("/-/Instances.Heartbeat/{}", body.0);
        http::call(self.control, "POST", &path, &[], &body.1, Duration::from_secs(1));
    }

    /// Ends the runs that are due.
    fn tick(&self) {
        let mut ended: Vec<(RunKey, &'static str)> = Vec::new();
        {
            let mut life = self.life.lock().unwrap();
            if life.id.is_empty() {
                return;
            }
            let has_lapsed = life.lease_end > 0 && life.clock() >= life.lease_end;
            for (key, run) in &life.runs {
                if run.stopping.is_some_and(|at| at.elapsed() >= STOP) {
                    ended.push((key.clone(), "stopped"));
                } else if run.work.is_some_and(|w| run.started.elapsed() >= w) {
                    ended.push((key.clone(), "done"));
                } else if has_lapsed {
                    ended.push((key.clone(), "lapsed"));
                }
            }
            for (key, how) in &ended {
                life.end(key, how);
                self.record.line(&format!("worker {}: {}#{} ends {how}", life.id, key.0, key.1));
            }
            if has_lapsed {
                life.lease_end = 0;
            }
        }
        for (key, how) in ended {
            (self.watch)(self, &key, how);
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let body = json::parse(&request.body);
        let target = request.header("x-target-instance");
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        let mut life = self.life.lock().unwrap();
        if life.id.is_empty() {
            return None;
        }
        if !target.is_empty() && target != life.id {
            return Some((421, "{}".to_owned()));
        }
        let token = body.get("fencing_token").number().unwrap_or(0);
        if token < life.token {
            return Some((409, verdict(&life, "fence")));
        }
        life.token = token;
        match request.path.as_str() {
            "/-/run-start" => {
                let (answer, started) = start(&mut life, &body);
                let key = key_of(&body);
                self.record.line(&format!(
                    "worker {}: start of {}#{} answered {}",
                    life.id, key.0, key.1, answer.0
                ));
                drop(life);
                if started {
                    (self.watch)(self, &key, "started");
                }
                Some(answer)
            }
            "/-/run-stop" => {
                let key = key_of(&body);
                life.bar(&key);
                let mut ordered = Vec::new();
                for (other, run) in &mut life.runs {
                    if other.0 == key.0 && other.1 <= key.1 && run.stopping.is_none() {
                        run.stopping = Some(Instant::now());
                        ordered.push(other.clone());
                    }
                }
                self.record.line(&format!("worker {}: stop of {}#{}", life.id, key.0, key.1));
                let answer = Some((200, verdict(&life, "")));
                drop(life);
                for key in ordered {
                    (self.watch)(self, &key, "stop ordered");
                }
                answer
            }
            "/-/pace" => Some((200, verdict(&life, ""))),
            "/-/hold" => {
                extend(&mut life, &body);
                let cursor = body.get("ack_cursor").number().unwrap_or(0);
                life.ends.retain(|e| e.number > cursor);
                let id = life.id.clone();
                drop(life);
                let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let life = self.life.lock().unwrap();
                    if life.id != id {
                        return None;
                    }
                    if !life.ends.is_empty() || Instant::now() >= until {
                        return Some((200, lists(&life)));
                    }
                    drop(life);
                    thread::sleep(STEP);
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

/// The advice service's ticket for a step on a worker.
pub fn ticket(step: &str, worker: &str) -> String {
    format!("ticket-{step}-{worker}")
}

fn key_of(body: &Json) -> RunKey {
    (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0))
}

fn verdict(life: &Life, reason: &str) -> String {
    if reason.is_empty() {
        return format!(r#"{{"clock_ms":{},"born":{}}}"#, life.clock(), life.born);
    }
    format!(r#"{{"clock_ms":{},"born":{},"reason":"{reason}"}}"#, life.clock(), life.born)
}

/// Extends the lease; false if the time has passed.
fn extend(life: &mut Life, body: &Json) -> bool {
    let Some(deadline) = body.get("deadline_ms").number() else { return true };
    let now = life.clock();
    if deadline <= now {
        return false;
    }
    life.lease_end = life.lease_end.max(deadline.min(now + LEASE_MAX_MS));
    true
}

fn start(life: &mut Life, body: &Json) -> ((u16, String), bool) {
    let key = key_of(body);
    if life.runs.contains_key(&key) {
        extend(life, body);
        return ((200, verdict(life, "")), false);
    }
    if life.barred.get(&key.0).is_some_and(|last| *last >= key.1) {
        extend(life, body);
        return ((409, verdict(life, "old")), false);
    }
    if !extend(life, body) {
        return ((409, verdict(life, "late")), false);
    }
    let text = body.get("spec").text();
    let step = key.0.rsplit_once('.').map_or("", |(step, _)| step);
    if text.starts_with("ticket ") && body.get("ticket").text() != ticket(step, &life.id) {
        return ((409, verdict(life, "ticket")), false);
    }
    let millis = text.split(' ').find_map(|w| w.strip_prefix("ms="));
    let work = millis.and_then(|m| m.parse().ok()).map(Duration::from_millis);
    life.runs.insert(key, Run { started: Instant::now(), work, stopping: None });
    ((200, verdict(life, "")), true)
}

fn lists(life: &Life) -> String {
    let running: Vec<String> = life
        .runs
        .iter()
        .map(|(k, r)| format!(r#"[{},{},"",{},500]"#, quote(&k.0), k.1, r.percent()))
        .collect();
    let finished: Vec<String> = life
        .ends
        .iter()
        .take(500)
        .map(|e| format!(r#"[{},{},{},"{}",""]"#, e.number, quote(&e.key.0), e.key.1, e.how))
        .collect();
    format!(
        r#"{{"clock_ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
        life.clock(),
        life.born,
        running.join(","),
        finished.join(",")
    )
}
