//! The platform's worker interface.

use {
    crate::http::{Error, fetch},
    bronzespool::core::HashMap,
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::Full,
    hyper::{Method, Request, header::CONTENT_TYPE},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, ops::Range, time::Duration},
};

/// Longest wait for an answer of the worker.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer of the worker in bytes.
const ANSWER_MAX_BYTES: u64 = 1 << 20;

/// Result of a call to the worker.
pub(super) type Result<T> = std::result::Result<T, CallError>;

/// Why a call to the worker failed.
#[derive(Debug, Display)]
pub(super) enum CallError {
    /// {0}
    Fetch(Error),
    /// the worker answered with status {0}
    Status(u16),
    /// the worker's answer cannot be read: {0}
    Body(serde_json::Error),
    /// the call cannot be made: {0}
    Request(hyper::http::Error),
}

/// What a task does at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum TaskState {
    /// It runs.
    Running,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by call.
    Stopped,
    /// Its lease ended.
    Expired,
}

#[derive(Deserialize)]
struct TaskList {
    tasks: Vec<ListedTask>,
}

#[derive(Deserialize)]
struct ListedTask {
    name: String,
    #[serde(default)]
    accels: Vec<u32>,
    #[serde(default)]
    checkpoints: u32,
    state: TaskState,
}

/// What the tasks of a worker used when it looked.
#[derive(Debug, Deserialize)]
pub(super) struct WorkerUsage {
    /// Milliseconds since it looked.
    pub(super) age_ms: u64,
    /// The tasks.
    pub(super) tasks: Vec<WorkerTaskUsage>,
}

/// What a task used.
#[derive(Debug, Deserialize)]
pub(super) struct WorkerTaskUsage {
    /// Name of the task.
    pub(super) name: String,
    /// Thousandths of a core.
    pub(super) cores: u32,
    /// Memory in MiB.
    pub(super) memory: u64,
}

/// A task as the worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WorkerTask {
    /// Accelerators held, by number.
    pub(super) accels: Vec<u32>,
    /// Checkpoints made since its start.
    pub(super) checkpoints: u32,
    /// What it does.
    pub(super) state: TaskState,
}

#[derive(Serialize)]
struct StartBody<'a> {
    name: &'a str,
    accels: Vec<u32>,
    run_ms: u64,
    lease_ms: u64,
}

/// Client of one worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Worker {
    address: SocketAddr,
}

impl Worker {
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// All tasks that the worker knows.
    pub(super) async fn list(&self) -> Result<HashMap<String, WorkerTask>> {
        let listed: TaskList = self.call(Method::GET, "/tasks", Bytes::new()).await?;
        let worker_task = |t: ListedTask| {
            let ListedTask { name, accels, checkpoints, state } = t;
            (name, WorkerTask { accels, checkpoints, state })
        };
        Ok(listed.tasks.into_iter().map(worker_task).collect())
    }

    /// What the tasks used when the worker last looked.
    pub(super) async fn usage(&self) -> Result<WorkerUsage> {
        self.call(Method::GET, "/usage", Bytes::new()).await
    }

    /// Starts a task under a lease. A task that the worker knows is not started again.
    pub(super) async fn start(
        &self,
        name: &str,
        accels: Range<u32>,
        runtime: Duration,
        lease: Duration,
    ) -> Result<TaskState> {
        let body = StartBody {
            name,
            accels: accels.collect(),
            run_ms: millis(runtime),
            lease_ms: millis(lease),
        };
        let body = serde_json::to_vec(&body).map_err(CallError::Body)?;
        let task: ListedTask = self.call(Method::POST, "/tasks", body.into()).await?;
        Ok(task.state)
    }

    /// Renews a task's lease.
    pub(super) async fn renew(&self, name: &str, lease: Duration) -> Result<TaskState> {
        self.command(name, "renew", format!("{{\"lease_ms\":{}}}", millis(lease))).await
    }

    /// Saves a task's progress. Returns the number of checkpoints since its start.
    pub(super) async fn checkpoint(&self, name: &str) -> Result<u32> {
        let task = self.command_task(name, "checkpoint", String::new()).await?;
        Ok(task.checkpoints)
    }

    /// Sets a task's speed in percent.
    pub(super) async fn throttle(&self, name: &str, percent: u32) -> Result<TaskState> {
        self.command(name, "throttle", format!("{{\"percent\":{percent}}}")).await
    }

    /// Stops a task.
    pub(super) async fn stop(&self, name: &str) -> Result<TaskState> {
        self.command(name, "stop", String::new()).await
    }

    async fn command(&self, name: &str, verb: &str, body: String) -> Result<TaskState> {
        let task = self.command_task(name, verb, body).await?;
        Ok(task.state)
    }

    async fn command_task(&self, name: &str, verb: &str, body: String) -> Result<ListedTask> {
        let path = format!("/tasks/{name}/{verb}");
        self.call(Method::POST, &path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, "worker")
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(CallError::Request)?;
        let answer = fetch(self.address, request, ANSWER_MAX_BYTES, ANSWER_TIMEOUT)
            .await
            .map_err(CallError::Fetch)?;
        if !answer.status().is_success() {
            return Err(CallError::Status(answer.status().as_u16()));
        }
        serde_json::from_slice(answer.body()).map_err(CallError::Body)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
