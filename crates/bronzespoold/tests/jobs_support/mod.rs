//! Helpers of the process tests of jobs.

#![allow(dead_code, unreachable_pub, reason = "each test binary uses only some of the helpers")]

use {
    bronzespool_fakes::{
        call::{Answer, Call},
        cluster::{Cluster, Plan},
        worker::Record,
    },
    serde_json::Value,
    std::{
        fs,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tempfile::TempDir,
    tokio::time::sleep,
};

/// Pause between two checks of a condition.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a condition, generous for slow runs.
const WAIT_MAX: Duration = Duration::from_secs(90);

/// Start of every service file: team `owner` is guaranteed two complete workers, team `guest`
/// nothing.
const SERVICE_HEAD: &str = "[service]\nname = gang-desk\n\n[team owner]\nguarantee = 2 x worker\n\n\
                    [team guest]\n\n";

/// A cluster with one service of the given kinds.
pub struct JobSystem {
    pub cluster: Cluster,
    _files: TempDir,
}

/// Section of a job kind with two members, each with all accelerators of a worker.
pub fn gang(name: &str, lines: &str) -> String {
    kind(name, &format!("accelerators = 8\ngang = 2\nadjacent = rack\n{lines}"))
}

/// Section of a job kind.
pub fn kind(name: &str, lines: &str) -> String {
    format!(
        "[kind {name}]\nmode = job\ncores = 1\nmemory = 1GiB\ntarget = 90%\nwithin = 1h\n{lines}\n\n"
    )
}

impl JobSystem {
    /// Starts a system; `racks` holds the number of workers in each rack.
    pub async fn start(racks: &[u32], kinds: &str) -> Self {
        Self::start_with(racks, kinds, |plan| plan).await
    }

    /// Starts a system with a changed plan.
    pub async fn start_with(racks: &[u32], kinds: &str, change: impl FnOnce(Plan) -> Plan) -> Self {
        let files = TempDir::with_prefix("gang-desk-").expect("a folder");
        let folder = files.path().join("gang-desk");
        fs::create_dir(&folder).expect("a folder");
        fs::write(folder.join("service.ini"), format!("{SERVICE_HEAD}{kinds}"))
            .expect("a service file");
        let mut plan = Plan::small("gang-desk", &folder, 0);
        plan.centers = vec![("c1".to_owned(), "r1".to_owned(), racks.to_vec())];
        plan.entries = 1;
        let cluster = Cluster::start(change(plan)).await.expect("the system starts");
        let answer = cluster.publish("first").await.expect("an answer");
        assert!(answer.status.is_success(), "{}", answer.json());
        Self { cluster, _files: files }
    }

    /// Submits a job and returns the response.
    pub async fn try_submit(&self, team: &str, kind: &str, key: &str, body: &Value) -> Answer {
        let call = Call::post(format!("/v1/services/gang-desk/{kind}"), body);
        let call = call.header("team", team).header("idempotency-key", key);
        call.send(self.cluster.entry(0)).await.expect("an answer")
    }

    /// Submits a job, asserts that it is accepted and returns its name.
    pub async fn submit(&self, team: &str, kind: &str, key: &str) -> String {
        let answer = self.try_submit(team, kind, key, &Value::Null).await;
        assert!(answer.status.is_success(), "{} {}", answer.status, answer.json());
        answer.json()["job"].as_str().expect("the job's name").to_owned()
    }

    /// Returns a job as the entry shows it, or null if the entry cannot, as without a leader.
    pub async fn job(&self, job: &str) -> Value {
        let answer = Call::get(format!("/v1/jobs/{job}")).send(self.cluster.entry(0)).await;
        let answer = answer.expect("an answer");
        if answer.status.is_success() { answer.json() } else { Value::Null }
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) -> Answer {
        let call = Call::new(hyper::Method::DELETE, format!("/v1/jobs/{job}"));
        call.send(self.cluster.entry(0)).await.expect("an answer")
    }

    /// Waits until a job is in a phase and returns the job.
    pub async fn wait_phase(&self, job: &str, phase: &str) -> Value {
        let what = format!("{job} {phase}");
        wait_until(&what, async || Some(self.job(job).await).filter(|v| v["phase"] == phase)).await
    }

    /// Returns the record of a fake worker, by its number from zero.
    pub async fn record(&self, worker: usize) -> Record {
        self.cluster.tasks(worker).await.expect("a record")
    }

    /// Returns the records of all fake workers.
    pub async fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for worker in 0..self.cluster.workers().len() {
            records.push(self.record(worker).await);
        }
        records
    }

    /// Returns the names of the tasks of an attempt that were started on any worker.
    pub async fn starts(&self, job: &str, attempt: u32) -> Vec<String> {
        let prefix = format!("{job}.{attempt}.");
        let records = self.records().await;
        let starts = records.into_iter().flat_map(|r| r.starts);
        starts.filter(|name| name.starts_with(&prefix)).collect()
    }

    /// Waits until `count` tasks of an attempt have been started.
    pub async fn wait_started(&self, job: &str, attempt: u32, count: usize) {
        wait_until(&format!("{count} starts of {job}.{attempt}"), async || {
            (self.starts(job, attempt).await.len() >= count).then_some(())
        })
        .await;
    }

    /// Asserts that no call tried to start two tasks on one accelerator.
    pub async fn assert_no_overlap(&self) {
        for (worker, record) in self.records().await.iter().enumerate() {
            assert!(record.overlaps.is_empty(), "worker {worker}: {:?}", record.overlaps);
        }
    }

    /// Sets the behaviour of a fake worker.
    pub async fn set_behaviour(&self, worker: usize, manner: &Value) {
        let address = self.cluster.workers()[worker].worker;
        let answer = Call::put("/manner", manner).send(address).await.expect("an answer");
        assert!(answer.status.is_success(), "{}", answer.status);
    }

    /// Returns the number of the worker with this instance name.
    pub fn worker_number(&self, instance: &str) -> usize {
        let number = self.cluster.workers().iter().position(|w| w.instance == instance);
        number.expect("an instance of the plan")
    }
}

/// Returns the instances of a job's members.
pub fn instances(view: &Value) -> Vec<String> {
    let list = view["instances"].as_array().cloned().unwrap_or_default();
    list.iter().filter_map(|v| v.as_str().map(ToOwned::to_owned)).collect()
}

/// Polls until `poll` returns something.
///
/// # Panics
///
/// If the wait takes too long.
pub async fn wait_until<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_MAX;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        sleep(POLL_PAUSE).await;
    }
}

/// Current time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    u64::try_from(span.as_millis()).expect("a time of this age")
}
