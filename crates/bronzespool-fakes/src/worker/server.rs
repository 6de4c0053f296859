//! The stand-in worker's HTTP interface.
//!
//! | call | does |
//! |---|---|
//! | `POST /tasks` | starts a task `{name, accels, run_ms, lease_ms}` under a lease |
//! | `POST /tasks/{name}/renew` | renews its lease `{lease_ms}` |
//! | `POST /tasks/{name}/checkpoint` | saves its progress |
//! | `POST /tasks/{name}/throttle` | sets its speed `{percent}` |
//! | `POST /tasks/{name}/stop` | stops it |
//! | `GET /tasks` | lists all tasks |
//! | `GET /usage` | usage as it was one lag ago |
//! | `PUT /manner` | sets `{failing}`: every task fails at its start |

use {
    crate::{
        http::{Answer, Serve, json},
        worker::{State, Task},
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
        time::Instant,
    },
};

#[derive(Deserialize)]
struct StartCall {
    name: String,
    #[serde(default)]
    accels: Vec<u32>,
    run_ms: u64,
    lease_ms: u64,
}

#[derive(Default, Deserialize)]
struct Change {
    #[serde(default)]
    lease_ms: u64,
    #[serde(default)]
    percent: u32,
}

#[derive(Deserialize)]
struct Manner {
    failing: bool,
}

/// The stand-in worker.
pub struct Worker {
    began: Instant,
    lag: u64,
    speed: u64,
    tasks: RefCell<BTreeMap<String, Task>>,
    failing: Cell<bool>,
    starts: Cell<u64>,
}

impl Worker {
    /// A worker whose usage reports lag by `lag` milliseconds and
    /// whose tasks run `speed` times as fast as asked for.
    pub fn new(lag: u64, speed: u64) -> Self {
        Self {
            began: Instant::now(),
            lag,
            speed: speed.max(1),
            tasks: RefCell::default(),
            failing: Cell::new(false),
            starts: Cell::new(0),
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn start(&self, call: StartCall) -> Answer {
        let now = self.now();
        let mut tasks = self.tasks.borrow_mut();
        tasks.values_mut().for_each(|t| t.advance(now));
        if let Some(task) = tasks.get(&call.name) {
            return json(StatusCode::OK, &json!(task));
        }
        let taken = |t: &&Task| {
            t.state == State::Running && t.accels.iter().any(|a| call.accels.contains(a))
        };
        if let Some(holder) = tasks.values().find(taken) {
            return json(StatusCode::CONFLICT, &json!({ "error": "taken", "by": holder.name }));
        }
        self.starts.set(self.starts.get() + 1);
        let task = Task {
            name: call.name.clone(),
            accels: call.accels,
            remaining: call.run_ms / self.speed,
            since: now,
            lease: now + call.lease_ms,
            checkpoints: 0,
            throttle: 100,
            state: if self.failing.get() { State::Failed } else { State::Running },
        };
        let answer = json(StatusCode::CREATED, &json!(task));
        tasks.insert(call.name, task);
        answer
    }

    fn change(&self, name: &str, verb: &str, change: &Change) -> Answer {
        let now = self.now();
        let mut tasks = self.tasks.borrow_mut();
        let Some(task) = tasks.get_mut(name) else {
            return json(StatusCode::NOT_FOUND, &json!({ "error": "no such task" }));
        };
        task.advance(now);
        if task.state == State::Running {
            match verb {
                "renew" => task.lease = now + change.lease_ms,
                "throttle" => task.throttle = change.percent,
                "stop" => task.state = State::Stopped,
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
        json(StatusCode::OK, &json!({ "starts": self.starts.get(), "tasks": list }))
    }

    fn usage(&self) -> Answer {
        let at = self.now().saturating_sub(self.lag);
        let tasks = self.tasks.borrow();
        let running = tasks.values().filter(|t| t.state == State::Running && t.since <= at);
        let accels: Vec<_> = running.flat_map(|t| t.accels.iter()).collect();
        json(StatusCode::OK, &json!({ "at_ms": at, "accels": accels }))
    }

    fn answer(&self, method: &Method, path: &str, body: &Bytes) -> Answer {
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (&Method::GET, ["tasks"]) => self.list(),
            (&Method::GET, ["usage"]) => self.usage(),
            (&Method::POST, ["tasks"]) => match serde_json::from_slice(body) {
                Ok(call) => self.start(call),
                Err(error) => bad(&error),
            },
            (&Method::POST, ["tasks", name, verb]) => {
                let change = serde_json::from_slice(body).unwrap_or_default();
                self.change(name, verb, &change)
            }
            (&Method::PUT, ["manner"]) => match serde_json::from_slice::<Manner>(body) {
                Ok(manner) => {
                    self.failing.set(manner.failing);
                    json(StatusCode::OK, &Value::Null)
                }
                Err(error) => bad(&error),
            },
            _ => json(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
        }
    }
}

fn bad(error: &serde_json::Error) -> Answer {
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
