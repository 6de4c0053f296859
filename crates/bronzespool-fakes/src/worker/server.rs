//! HTTP interface of the fake worker.
//!
//! | call | effect |
//! |---|---|
//! | `POST /tasks` | starts a task `{name, accels, run_ms, lease_ms}` under a lease |
//! | `POST /tasks/{name}/renew` | renews its lease `{lease_ms}` |
//! | `POST /tasks/{name}/checkpoint` | saves its progress |
//! | `POST /tasks/{name}/throttle` | sets its speed `{percent}` |
//! | `POST /tasks/{name}/stop` | stops it |
//! | `GET /tasks` | lists all tasks |
//! | `GET /usage` | usage `--lag` ms ago: `{age_ms, tasks: [{name, cores, memory}]}` |
//! | `GET /record` | all starts, refused starts and tasks: [`Record`] |
//! | `PUT /manner` | sets `{failing, cores, memory}`: failure at start, and usage of each task |

use {
    crate::{
        http::{Answer, Serve, json},
        worker::{Overlap, Record, State, Task},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
};

#[derive(Deserialize)]
struct StartRequest {
    name: String,
    #[serde(default)]
    accels: Vec<u32>,
    run_ms: u64,
    lease_ms: u64,
}

#[derive(Default, Deserialize)]
struct TaskUpdate {
    #[serde(default)]
    lease_ms: u64,
    #[serde(default)]
    percent: u32,
}

/// Behaviour that a test can set.
#[derive(Clone, Copy, Default, Deserialize)]
struct Behavior {
    #[serde(default)]
    failing: bool,
    /// CPU that each task uses at full speed, in thousandths of a core.
    #[serde(default)]
    cores: u32,
    /// Memory in MiB that each task uses.
    #[serde(default)]
    memory: u64,
}

/// The fake worker.
pub struct Worker {
    began: Instant,
    lag_millis: u64,
    speed: u64,
    tasks: RefCell<BTreeMap<String, Task>>,
    behavior: Cell<Behavior>,
    starts: RefCell<Vec<String>>,
    overlaps: RefCell<Vec<Overlap>>,
    began_unix_millis: u64,
}

impl Worker {
    /// A worker whose usage reports are `lag_millis` milliseconds old and whose tasks run `speed`
    /// times as fast as requested.
    pub fn new(lag_millis: u64, speed: u64) -> Self {
        Self {
            began: Instant::now(),
            lag_millis,
            speed: speed.max(1),
            tasks: RefCell::default(),
            behavior: Cell::default(),
            starts: RefCell::default(),
            overlaps: RefCell::default(),
            began_unix_millis: unix_millis(),
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn start(&self, call: StartRequest) -> Answer {
        let now = self.now();
        let mut tasks = self.tasks.borrow_mut();
        tasks.values_mut().for_each(|t| t.advance(now));
        if let Some(task) = tasks.get(&call.name) {
            return json(StatusCode::OK, &json!(task));
        }
        let conflicts = |t: &&Task| {
            t.state == State::Running && t.accels.iter().any(|a| call.accels.contains(a))
        };
        if let Some(holder) = tasks.values().find(conflicts) {
            let overlap = Overlap { name: call.name, holder: holder.name.clone() };
            self.overlaps.borrow_mut().push(overlap);
            return json(StatusCode::CONFLICT, &json!({ "error": "taken", "by": holder.name }));
        }
        self.starts.borrow_mut().push(call.name.clone());
        let failing = self.behavior.get().failing;
        let task = Task {
            name: call.name.clone(),
            accels: call.accels,
            remaining: call.run_ms / self.speed,
            since: now,
            lease: now + call.lease_ms,
            checkpoints: 0,
            throttle: 100,
            state: if failing { State::Failed } else { State::Running },
            asked: call.run_ms,
            started: now,
            ended: failing.then_some(now),
        };
        let answer = json(StatusCode::CREATED, &json!(task));
        tasks.insert(call.name, task);
        answer
    }

    fn update(&self, name: &str, verb: &str, update: &TaskUpdate) -> Answer {
        let now = self.now();
        let mut tasks = self.tasks.borrow_mut();
        let Some(task) = tasks.get_mut(name) else {
            return json(StatusCode::NOT_FOUND, &json!({ "error": "no such task" }));
        };
        task.advance(now);
        if task.state == State::Running {
            match verb {
                "renew" => task.lease = now + update.lease_ms,
                "throttle" => task.throttle = update.percent,
                "stop" => task.end(State::Stopped, now),
                "checkpoint" => {
                    task.checkpoints += 1;
                    task.remaining -= (now - task.since).min(task.remaining);
                    task.since = now;
                }
                _ => return json(StatusCode::NOT_FOUND, &json!({ "error": "no such call" })),
            }
        }
        json(StatusCode::OK, &json!(task))
    }

    fn list(&self) -> Answer {
        let now = self.now();
        let mut tasks = self.tasks.borrow_mut();
        tasks.values_mut().for_each(|t| t.advance(now));
        let list: Vec<_> = tasks.values().collect();
        json(StatusCode::OK, &json!({ "tasks": list }))
    }

    fn record(&self) -> Answer {
        let now = self.now();
        let mut tasks = self.tasks.borrow_mut();
        tasks.values_mut().for_each(|t| t.advance(now));
        let record = Record {
            began: self.began_unix_millis,
            starts: self.starts.borrow().clone(),
            overlaps: self.overlaps.borrow().clone(),
            tasks: tasks.values().cloned().collect(),
        };
        json(StatusCode::OK, &json!(record))
    }

    fn usage(&self) -> Answer {
        let now = self.now();
        let at = now.saturating_sub(self.lag_millis);
        let tasks = self.tasks.borrow();
        let was_running = |t: &&Task| t.started <= at && t.ended.is_none_or(|end| at < end);
        let behavior = self.behavior.get();
        let usage = tasks.values().filter(was_running).map(|t| {
            let cores = u64::from(behavior.cores) * u64::from(t.throttle) / 100;
            json!({ "name": t.name, "cores": cores, "memory": behavior.memory })
        });
        let usage: Vec<_> = usage.collect();
        json(StatusCode::OK, &json!({ "age_ms": now - at, "tasks": usage }))
    }

    fn answer(&self, method: &Method, path: &str, body: &Bytes) -> Answer {
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (&Method::GET, ["tasks"]) => self.list(),
            (&Method::GET, ["usage"]) => self.usage(),
            (&Method::GET, ["record"]) => self.record(),
            (&Method::POST, ["tasks"]) => match serde_json::from_slice(body) {
                Ok(call) => self.start(call),
                Err(error) => bad_request(&error),
            },
            (&Method::POST, ["tasks", name, verb]) => {
                let update = serde_json::from_slice(body).unwrap_or_default();
                self.update(name, verb, &update)
            }
            (&Method::PUT, ["manner"]) => match serde_json::from_slice::<Behavior>(body) {
                Ok(behavior) => {
                    self.behavior.set(behavior);
                    json(StatusCode::OK, &Value::Null)
                }
                Err(error) => bad_request(&error),
            },
            _ => json(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
        }
    }
}

fn unix_millis() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn bad_request(error: &serde_json::Error) -> Answer {
    json(StatusCode::BAD_REQUEST, &json!({ "error": error.to_string() }))
}

impl Serve for Worker {
    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        match body.collect().await {
            Ok(body) => self.answer(&parts.method, parts.uri.path(), &body.to_bytes()),
            Err(_) => json(StatusCode::BAD_REQUEST, &json!({ "error": "body ended early" })),
        }
    }
}
