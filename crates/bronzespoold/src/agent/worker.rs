//! HTTP client of the platform's worker interface.

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

/// Timeout of a call to the worker.
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
    /// the worker's answer is not valid: {0}
    Body(serde_json::Error),
    /// the request to the worker cannot be built: {0}
    Request(hyper::http::Error),
}

/// State of a task at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum TaskState {
    /// The task runs.
    Running,
    /// The task ran to completion.
    Done,
    /// The task failed.
    Failed,
    /// A call stopped the task.
    Stopped,
    /// The task's lease expired.
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

/// Resource usage of a worker's tasks at its last measurement.
#[derive(Debug, Deserialize)]
pub(super) struct WorkerUsage {
    /// Milliseconds since the measurement.
    pub(super) age_ms: u64,
    /// Usage of each task.
    pub(super) tasks: Vec<WorkerTaskUsage>,
}

/// Resource usage of one task.
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
    /// Numbers of the accelerators that the task occupies.
    pub(super) accels: Vec<u32>,
    /// Number of checkpoints since the task's start.
    pub(super) checkpoints: u32,
    /// State of the task.
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

    /// Lists all tasks that the worker knows, by name.
    pub(super) async fn list(&self) -> Result<HashMap<String, WorkerTask>> {
        let listed: TaskList = self.call(Method::GET, "/tasks", Bytes::new()).await?;
        let worker_task = |t: ListedTask| {
            let ListedTask { name, accels, checkpoints, state } = t;
            (name, WorkerTask { accels, checkpoints, state })
        };
        Ok(listed.tasks.into_iter().map(worker_task).collect())
    }

    /// Reads the usage of the tasks at the worker's last measurement.
    pub(super) async fn usage(&self) -> Result<WorkerUsage> {
        self.call(Method::GET, "/usage", Bytes::new()).await
    }

    /// Starts a task under a lease. The call is idempotent: the worker does not start a task that
    /// it already knows.
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

    /// Makes a checkpoint of a task. Returns the number of checkpoints since its start.
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
