//! A stand-in worker: one machine whose worker starts, stops and lists work units under leases, and
//! checks in with the agent on its machine.

use {
    crate::base::{
        HEARTBEAT_MS, Json, LEASE_MAX_MS, STOP_MS, call, header, note, read_message, seconds,
        sleep_ms, unix_millis,
    },
    std::{
        collections::HashMap,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// What a worker has run, for the checks.
#[derive(Clone, Debug)]
pub struct Ran {
    pub task: String,
    pub run: u32,
    pub machine: usize,
    pub began: f64,
    /// When and how it ended; none if it still runs.
    pub ended: Option<(f64, &'static str)>,
}

/// All runs of all workers.
pub type History = Arc<Mutex<Vec<Ran>>>;

struct Run {
    task: String,
    run: u32,
    begun: Instant,
    /// How long it works; none if it lasts.
    millis: Option<u64>,
    stopping: Option<Instant>,
    history: usize,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

struct Boot {
    born: u64,
    at: Instant,
    seq: u64,
    fence: u64,
    lease: u64,
    running: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run of each work unit that was stopped or has ended here.
    closed: HashMap<String, u32>,
    state: &'static str,
}

impl Boot {
    fn new() -> Boot {
        Boot {
            born: unix_millis(),
            at: Instant::now(),
            seq: 0,
            fence: 0,
            lease: 0,
            running: vec![],
            ends: vec![],
            last_end: 0,
            closed: HashMap::new(),
            state: "ready",
        }
    }

    /// The worker's steady clock.
    fn clock(&self) -> u64 {
        1_000 + self.at.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until: Option<f64>) {
        let limit = self.clock() + LEASE_MAX_MS;
        let until = until.map_or(0, |u| u.max(0.0) as u64).min(limit);
        self.lease = self.lease.max(until);
    }
}

pub struct Worker {
    pub id: String,
    machine: usize,
    zone: &'static str,
    pub labels: Vec<String>,
    app: SocketAddr,
    agent: SocketAddr,
    boot: Mutex<Boot>,
    changed: Condvar,
    up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    history: History,
}

impl Worker {
    pub fn start(
        machine: usize,
        app: SocketAddr,
        agent: SocketAddr,
        history: &History,
    ) -> Arc<Worker> {
        let zone = ["chaguanas", "arima", "couva"][machine % 3];
        let worker = Arc::new(Worker {
            id: format!("i-{:010x}", 0x7f3a_91c2_u64 + machine as u64 * 977),
            machine,
            zone,
            labels: vec!["a".into(), format!("only-{machine}"), format!("r1-{}", machine / 3 + 1)],
            app,
            agent,
            boot: Mutex::new(Boot::new()),
            changed: Condvar::new(),
            up: AtomicBool::new(true),
            streams: Mutex::default(),
            history: Arc::clone(history),
        });
        let (a, b, c) = (Arc::clone(&worker), Arc::clone(&worker), Arc::clone(&worker));
        thread::spawn(move || a.listen());
        thread::spawn(move || b.work());
        thread::spawn(move || {
            loop {
                c.check_in();
                sleep_ms(HEARTBEAT_MS);
            }
        });
        worker
    }

    pub fn set_state(&self, state: &'static str) {
        self.boot.lock().unwrap().state = state;
    }

    pub fn born(&self) -> u64 {
        self.boot.lock().unwrap().born
    }

    /// Body of a check-in, or of what the worker says of itself as it ends.
    pub fn report(&self) -> String {
        let mut boot = self.boot.lock().unwrap();
        boot.seq += 1;
        let labels: Vec<String> = self.labels.iter().map(|l| format!("\"{l}\"")).collect();
        format!(
            r#"{{"service":"desk","address":"{}","zone":"{}","version":"v1","slots":8,"state":"{}","cold_remaining_ms":0,"remaining_ms":4500,"capacity":{{"cpu":32000,"mem_mb":65536,"gpu":8}},"labels":[{}],"clock_ms":{},"seq":{},"born":{}}}"#,
            self.app,
            self.zone,
            boot.state,
            labels.join(","),
            boot.clock(),
            boot.seq,
            boot.born
        )
    }

    /// Checks in once; returns whether it was acknowledged.
    pub fn check_in(&self) -> bool {
        if !self.up.load(Ordering::SeqCst) {
            return false;
        }
        let (path, body) = (format!("/-/Instances.Heartbeat/{}", self.id), self.report());
        let answer = call(self.agent, "POST", &path, &[], &body, Duration::from_secs(1));
        if seconds() < 20.0 || !matches!(answer, Some((200, _))) {
            note(format!(
                "worker {}: check-in {body} -> {:?}",
                self.id,
                answer.as_ref().map(|a| a.0)
            ));
        }
        matches!(answer, Some((200, _)))
    }

    /// Ends the process of the worker: all that runs there ends, and its connections are closed.
    pub fn end(&self, how: &'static str) {
        self.up.store(false, Ordering::SeqCst);
        let mut boot = self.boot.lock().unwrap();
        note(format!("worker {}: its process ends ({how}), {} runs", self.id, boot.running.len()));
        for run in std::mem::take(&mut boot.running) {
            self.history.lock().unwrap()[run.history].ended = Some((seconds(), how));
        }
        drop(boot);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the next boot on the machine, under the same id.
    pub fn boot_again(&self) {
        *self.boot.lock().unwrap() = Boot::new();
        note(format!("worker {}: starts again, born {}", self.id, self.born()));
        self.up.store(true, Ordering::SeqCst);
        self.check_in();
    }

    pub fn running(&self) -> Vec<(String, u32)> {
        let boot = self.boot.lock().unwrap();
        boot.running.iter().map(|r| (r.task.clone(), r.run)).collect()
    }

    fn listen(self: Arc<Self>) {
        loop {
            if !self.up.load(Ordering::SeqCst) {
                sleep_ms(5);
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.app) else {
                sleep_ms(5);
                continue;
            };
            listener.set_nonblocking(true).unwrap();
            while self.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        self.streams.lock().unwrap().push(stream.try_clone().unwrap());
                        let worker = Arc::clone(&self);
                        let born = self.born();
                        thread::spawn(move || worker.serve(stream, born));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, born: u64) {
        let mut rest = Vec::new();
        while let Some((first, headers, body)) = read_message(&mut stream, &mut rest) {
            if self.born() != born || !self.up.load(Ordering::SeqCst) {
                return;
            }
            let path = first.split(' ').nth(1).unwrap_or("").to_owned();
            let (status, answer) = match header(&headers, "X-Target-Instance") {
                Some(target) if target != self.id => {
                    note(format!("worker {}: {path} for {target} -> 421", self.id));
                    (421, "{}".to_owned())
                }
                _ => self.answer(&path, &Json::parse(&body).unwrap_or(Json::Null)),
            };
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            use std::io::Write;
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str, body: &Json) -> (u16, String) {
        match path {
            "/health" => return (200, "{}".into()),
            "/-/run-start" | "/-/run-stop" | "/-/hold" | "/-/pace" => {}
            _ => return (404, "{}".into()),
        }
        let mut boot = self.boot.lock().unwrap();
        let token = body.num("fencing_token").unwrap_or(0.0) as u64;
        if token < boot.fence {
            return (409, refusal(&boot, "fence"));
        }
        boot.fence = token;
        if path == "/-/hold" {
            let cursor = body.num("ack_cursor").unwrap_or(0.0) as u64;
            boot.ends.retain(|e| e.number > cursor);
            boot.extend(body.num("deadline_ms"));
            let wait = Duration::from_millis(body.num("wait_ms").unwrap_or(0.0) as u64);
            let (last, born) = (boot.last_end, boot.born);
            let quiet = |b: &mut Boot| b.last_end == last && b.born == born && b.ends.is_empty();
            let (boot, _) = self.changed.wait_timeout_while(boot, wait, quiet).unwrap();
            return (200, lists(&boot));
        }
        let task = body.str("task").unwrap_or("").to_owned();
        let run = body.num("run").unwrap_or(0.0) as u32;
        match path {
            "/-/run-start" => self.start_run(&mut boot, task, run, body),
            "/-/run-stop" => {
                note(format!("worker {}: stop {task}#{run}", self.id));
                let closed = boot.closed.entry(task.clone()).or_insert(0);
                *closed = (*closed).max(run);
                let now = Instant::now();
                for r in boot.running.iter_mut().filter(|r| r.task == task && r.run <= run) {
                    r.stopping.get_or_insert(now);
                }
                (200, clock(&boot))
            }
            _ => (200, clock(&boot)),
        }
    }

    fn start_run(&self, boot: &mut Boot, task: String, run: u32, body: &Json) -> (u16, String) {
        if boot.running.iter().any(|r| r.task == task && r.run == run) {
            boot.extend(body.num("deadline_ms"));
            return (200, clock(boot));
        }
        if body.num("deadline_ms").unwrap_or(0.0) <= boot.clock() as f64 {
            return (409, refusal(boot, "late"));
        }
        boot.extend(body.num("deadline_ms"));
        if boot.closed.get(&task).is_some_and(|c| *c >= run) {
            return (409, refusal(boot, "old"));
        }
        // The text of a job says how long its work units take: "ms=N", or nothing if they last.
        let spec = body.str("spec").unwrap_or("");
        let millis = spec.split_once("ms=").and_then(|(_, n)| n.parse().ok());
        let mut history = self.history.lock().unwrap();
        note(format!(
            "worker {}: start {task}#{run} ({spec}), fencing token {}",
            self.id, boot.fence
        ));
        history.push(Ran {
            task: task.clone(),
            run,
            machine: self.machine,
            began: seconds(),
            ended: None,
        });
        let history = history.len() - 1;
        boot.running.push(Run {
            task,
            run,
            begun: Instant::now(),
            millis,
            stopping: None,
            history,
        });
        (200, clock(boot))
    }

    /// Ends runs that are done, that were stopped, or whose lease has ended.
    fn work(&self) {
        loop {
            sleep_ms(10);
            let mut boot = self.boot.lock().unwrap();
            let lapsed = boot.clock() > boot.lease;
            let mut ended = Vec::new();
            for run in std::mem::take(&mut boot.running) {
                let stopped =
                    run.stopping.is_some_and(|at| at.elapsed().as_millis() as u64 >= STOP_MS / 2);
                let done = run.millis.is_some_and(|m| run.begun.elapsed().as_millis() as u64 >= m);
                match (lapsed, stopped, done) {
                    (true, ..) => ended.push((run, "lapsed")),
                    (_, true, _) => ended.push((run, "stopped")),
                    (.., true) => ended.push((run, "done")),
                    _ => boot.running.push(run),
                }
            }
            for (run, how) in ended {
                note(format!("worker {}: {}#{} ends: {how}", self.id, run.task, run.run));
                self.history.lock().unwrap()[run.history].ended = Some((seconds(), how));
                boot.last_end += 1;
                let closed = boot.closed.entry(run.task.clone()).or_insert(0);
                *closed = (*closed).max(run.run);
                let number = boot.last_end;
                boot.ends.push(End { number, task: run.task, run: run.run, how });
                self.changed.notify_all();
            }
        }
    }
}

fn clock(boot: &Boot) -> String {
    format!(r#"{{"clock_ms":{},"born":{}}}"#, boot.clock(), boot.born)
}

fn refusal(boot: &Boot, reason: &str) -> String {
    format!(r#"{{"clock_ms":{},"reason":"{reason}","born":{}}}"#, boot.clock(), boot.born)
}

fn lists(boot: &Boot) -> String {
    let running = boot.running.iter().map(|r| {
        let percent = r
            .millis
            .map_or(100, |m| (r.begun.elapsed().as_millis() as u64 * 100 / m.max(1)).min(99));
        format!(r#"["{}",{},"",{percent},0]"#, r.task, r.run)
    });
    let ends = boot.ends.iter().take(500);
    let ends = ends.map(|e| format!(r#"[{},"{}",{},"{}",""]"#, e.number, e.task, e.run, e.how));
    format!(
        r#"{{"clock_ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
        boot.clock(),
        boot.born,
        running.collect::<Vec<_>>().join(","),
        ends.collect::<Vec<_>>().join(",")
    )
}

/// Returns pairs of runs of one work unit that ran at the same time.
pub fn runs_at_once(history: &History) -> Vec<(Ran, Ran)> {
    let runs = history.lock().unwrap().clone();
    let end = |r: &Ran| r.ended.map_or(f64::INFINITY, |(at, _)| at);
    let mut pairs = Vec::new();
    for (i, a) in runs.iter().enumerate() {
        for b in &runs[i + 1..] {
            // A millisecond or two is within the precision of this record.
            let overlap = end(a).min(end(b)) - a.began.max(b.began);
            if a.task == b.task && overlap > 0.005 {
                pairs.push((a.clone(), b.clone()));
            }
        }
    }
    pairs
}
