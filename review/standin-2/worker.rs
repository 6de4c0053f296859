//! A sound worker. What a task does stands in the job's text:
//!
//! - `ms=N`: it is done after N milliseconds.
//! - `fail=N`: it fails after N milliseconds.
//! - `long=N`: it lasts, and is at work N milliseconds after its start.
//! - `ticket`: its queue has an advice service, and a start needs that service's ticket.

use {
    crate::{
        http::{Answer, Request, Server, call},
        json::{Json, quote},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Longest lease, `max_hold_ms`.
pub const LEASE_MAX: u64 = 6_000;
/// Interval of check-ins, `heartbeat_ms`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time that a stop takes, below `stop_timeout_ms`.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Delay of a start that is carried out late.
const LATE: Duration = Duration::from_secs(4);
const TICK: Duration = Duration::from_millis(5);

/// What stays the same when the worker starts again.
#[derive(Clone, Debug)]
pub struct Host {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Where its agent takes check-ins.
    pub control: SocketAddr,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub memory: u64,
    pub gpu: u64,
    /// Milliseconds by which the time of day of the machine is ahead.
    pub ahead: u64,
}

/// Number of coming starts, on any worker, that get no answer and are carried out late.
pub type Late = Arc<AtomicUsize>;

/// Returns the advice service's ticket for the work units of a step on a worker.
pub fn ticket(step: &str, worker: &str) -> String {
    format!("ticket-{step}-{worker}")
}

#[derive(Clone, Debug)]
struct Run {
    run: u32,
    begun: Instant,
    spec: String,
    stop_at: Option<Instant>,
}

impl Run {
    fn word(&self, name: &str) -> Option<u64> {
        let word = self.spec.split(' ').find_map(|w| w.strip_prefix(name));
        word?.strip_prefix('=')?.parse().ok()
    }

    fn percent(&self) -> u64 {
        let passed = self.begun.elapsed().as_millis() as u64;
        let whole = self.word("long").or(self.word("ms")).or(self.word("fail")).unwrap_or(1);
        (passed * 100 / whole.max(1)).min(if self.word("long").is_some() { 100 } else { 99 })
    }
}

/// State of one boot.
#[derive(Debug, Default)]
struct State {
    born: u64,
    seq: u64,
    token: u64,
    lease_end: u64,
    ended: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u32, &'static str)>,
    /// Highest run of a task that was stopped or has ended here.
    over: BTreeMap<String, u32>,
}

/// One boot of a worker.
struct Boot {
    host: Host,
    begun: Instant,
    up: AtomicBool,
    state: Mutex<State>,
    record: Record,
    late: Late,
}

impl Boot {
    /// Takes one of the starts that get no answer and are carried out late.
    fn take_late(&self) -> bool {
        let take = |left: usize| left.checked_sub(1);
        self.late.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }

    fn clock(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64 + 1_000
    }

    fn rejection(&self, reason: &str) -> Answer {
        let body = format!("{{\"clock_ms\":{},\"reason\":{}}}", self.clock(), quote(reason));
        (409, body)
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.ended += 1;
        state.finished.push((state.ended, task.to_owned(), run.run, how));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.run);
        self.record.line(&format!("{}: {task} run {} ends {how}", self.host.id, run.run));
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let lapsed = self.clock() > state.lease_end;
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let passed = run.begun.elapsed().as_millis() as u64;
                let has_passed = |name| run.word(name).is_some_and(|ms| passed >= ms);
                let how = match () {
                    () if lapsed => "lapsed",
                    () if run.stop_at.is_some_and(|at| at <= Instant::now()) => "stopped",
                    () if has_passed("ms") => "done",
                    () if has_passed("fail") => "failed",
                    () => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end_run(&mut state, &task, how);
        }
    }

    fn answer(&self, request: &Request) -> Option<Answer> {
        let target = request.header("X-Target-Instance");
        if !target.is_empty() && target != self.host.id {
            return Some((421, "{}".into()));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let token = body.number("fencing_token").unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if token < state.token {
                return Some(self.rejection("fence"));
            }
            state.token = token;
        }
        match request.path.as_str() {
            "/-/hold" => Some(self.hold(&body)),
            "/-/run-start" if self.take_late() => {
                let task = body.text("task").unwrap_or("");
                self.record.line(&format!("{}: start of {task} gets no answer", self.host.id));
                thread::sleep(LATE);
                if self.up.load(Ordering::SeqCst) {
                    self.start(&body);
                }
                None
            }
            "/-/run-start" => Some(self.start(&body)),
            "/-/run-stop" => Some(self.stop(&body)),
            "/-/pace" => Some((200, format!("{{\"clock_ms\":{}}}", self.clock()))),
            _ => Some((404, "{}".into())),
        }
    }

    fn extend(&self, state: &mut State, body: &Json) {
        let end = body.number("deadline_ms").unwrap_or(0).min(self.clock() + LEASE_MAX);
        state.lease_end = state.lease_end.max(end);
    }

    fn start(&self, body: &Json) -> Answer {
        let (Some(task), Some(run), Some(deadline)) =
            (body.text("task"), body.number("run"), body.number("deadline_ms"))
        else {
            return (400, "{}".into());
        };
        let run = run as u32;
        let mut state = self.state.lock().unwrap();
        if deadline <= self.clock() {
            return self.rejection("late");
        }
        self.extend(&mut state, body);
        if state.running.get(task).is_some_and(|r| r.run == run) {
            return (200, format!("{{\"clock_ms\":{}}}", self.clock()));
        }
        if state.over.get(task).is_some_and(|over| run <= *over) {
            return self.rejection("old");
        }
        let spec = body.text("spec").unwrap_or("").to_owned();
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let needs_ticket = spec.split(' ').any(|word| word == "ticket");
        if needs_ticket && body.text("ticket") != Some(&*ticket(step, &self.host.id)) {
            return self.rejection("ticket");
        }
        self.record.line(&format!("{}: {task} run {run} starts", self.host.id));
        let run = Run { run, begun: Instant::now(), spec, stop_at: None };
        state.running.insert(task.to_owned(), run);
        (200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    fn stop(&self, body: &Json) -> Answer {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, "{}".into());
        };
        let run = run as u32;
        let mut state = self.state.lock().unwrap();
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run);
        if let Some(held) = state.running.get_mut(task).filter(|r| r.run <= run) {
            held.stop_at.get_or_insert(Instant::now() + STOP_TIME);
            let percent = held.percent();
            let text = format!("{}: stop of {task} run {run} at {percent} %", self.host.id);
            self.record.line(&text);
        }
        (200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    fn hold(&self, body: &Json) -> Answer {
        let ended = {
            let mut state = self.state.lock().unwrap();
            let cursor = body.number("ack_cursor").unwrap_or(0);
            state.finished.retain(|end| end.0 > cursor);
            if !state.running.is_empty() {
                self.extend(&mut state, body);
            } else {
                let end = body.number("deadline_ms").unwrap_or(0).min(self.clock() + LEASE_MAX);
                state.lease_end = state.lease_end.max(end);
            }
            state.ended
        };
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        while Instant::now() < end && self.state.lock().unwrap().ended == ended {
            thread::sleep(TICK);
        }
        let state = self.state.lock().unwrap();
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, r)| format!("[{},{},\"\",{},0]", quote(task), r.run, r.percent()))
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(500)
            .map(|(n, task, run, how)| format!("[{n},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock(),
            state.born,
            running.join(","),
            finished.join(",")
        );
        (200, body)
    }

    fn check_in(&self) -> Option<Answer> {
        let body = {
            let mut state = self.state.lock().unwrap();
            state.seq += 1;
            let host = &self.host;
            let labels: Vec<String> = host.labels.iter().map(|l| quote(l)).collect();
            format!(
                "{{\"service\":{},\"address\":{},\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\
                 \"gpu\":{}}},\"labels\":[{}],\"clock_ms\":{},\"seq\":{},\"born\":{}}}",
                quote(&host.service),
                quote(&host.address.to_string()),
                host.cpu,
                host.memory,
                host.gpu,
                labels.join(","),
                self.clock(),
                state.seq,
                state.born
            )
        };
        let path = format!("/-/Instances.Heartbeat/{}", self.host.id);
        call(self.host.control, "POST", &path, &[], &body, Duration::from_secs(1))
    }
}

/// A worker, which may crash and start again under its name.
pub struct Worker {
    pub host: Host,
    record: Record,
    late: Late,
    boot: Option<(Arc<Boot>, Server)>,
}

impl Worker {
    pub fn new(host: Host, record: Record, late: Late) -> Self {
        Self { host, record, late, boot: None }
    }

    /// Starts the worker, which holds and knows nothing of before.
    pub fn start(&mut self) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State { born: since.as_millis() as u64 + self.host.ahead, ..State::default() };
        let boot = Arc::new(Boot {
            host: self.host.clone(),
            begun: Instant::now(),
            up: AtomicBool::new(true),
            state: Mutex::new(state),
            record: self.record.clone(),
            late: Arc::clone(&self.late),
        });
        let served = Arc::clone(&boot);
        let address = self.host.address;
        let server = Server::start(address, move |r| served.answer(r)).expect("a free address");
        let ticked = Arc::clone(&boot);
        thread::spawn(move || {
            while ticked.up.load(Ordering::SeqCst) {
                ticked.tick();
                thread::sleep(TICK);
            }
        });
        let beating = Arc::clone(&boot);
        thread::spawn(move || {
            while beating.up.load(Ordering::SeqCst) {
                let acked = beating.check_in().is_some_and(|(status, _)| status == 200);
                thread::sleep(if acked { HEARTBEAT } else { HEARTBEAT / 3 });
            }
        });
        self.record.line(&format!("{}: the worker is up", self.host.id));
        self.boot = Some((boot, server));
    }

    /// Lets the worker crash with all that it runs. It tells nobody.
    pub fn crash(&mut self) {
        let held: Vec<String> = self.running().into_iter().map(|(task, ..)| task).collect();
        self.record.line(&format!("{}: the worker crashes with {held:?}", self.host.id));
        self.end();
    }

    /// Ends the worker at once.
    pub fn end(&mut self) {
        if let Some((boot, server)) = self.boot.take() {
            boot.up.store(false, Ordering::SeqCst);
            server.end();
        }
    }

    /// Returns the running tasks, each with its run and its percentage.
    pub fn running(&self) -> Vec<(String, u32, u64)> {
        let Some((boot, _)) = &self.boot else { return Vec::new() };
        let state = boot.state.lock().unwrap();
        state.running.iter().map(|(task, r)| (task.clone(), r.run, r.percent())).collect()
    }
}
