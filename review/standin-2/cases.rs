//! The cases.

use {
    crate::{
        cluster::{Cluster, Route, Team, cannot_run},
        record::Record,
    },
    std::{
        path::Path,
        sync::atomic::Ordering,
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Plays a case, with or without the disruption. Returns whether the rule held.
type Case = fn(&Path, Record, bool) -> bool;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "6" => Some(late_poll_of_former_agent),
        "7" => Some(blocked_by_suspect),
        "8" => Some(failed_before_its_start),
        "9" => Some(allowed_worker_not_asked_for),
        "10" => Some(guarantee_behind_quarantine),
        _ => None,
    }
}

const MIDDLE: Route = Route { prefix: "middle", priority: 1, attempts: 3, advice: false };
const FIRST: Route = Route { prefix: "first", priority: 0, attempts: 3, advice: false };
const LAST: Route = Route { prefix: "last", priority: 2, attempts: 3, advice: false };
const ADVISED: Route = Route { prefix: "advised", priority: 1, attempts: 3, advice: true };
const OWNER: Team = Team { key: "key-owner", gpu: 24 };
const OTHER: Team = Team { key: "key-other", gpu: 0 };
const RACKS: [&[&str]; 3] = [&["a", "r1-1"], &["a", "r1-2"], &["a", "r1-3"]];
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time without anything running after which a job counts as lost.
const IDLE: Duration = Duration::from_secs(3);
/// `reclaim_ms`.
const RECLAIM: Duration = Duration::from_millis(3_400);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Lets the worker that holds the only run of a job crash, and brings it back after a while.
fn crash_holder(cluster: &mut Cluster, job: u64, down: Duration) {
    let Some((holder, ..)) = cluster.running(job).first().cloned() else {
        cannot_run("the job does not run")
    };
    cluster.workers[holder].crash();
    sleep(down);
    cluster.workers[holder].start();
}

/// One worker has a label. A lasting task with this label uses one of its eight accelerators, and the
/// worker crashes twice. A small job with the label has to start there all the same.
fn blocked_by_suspect(root: &Path, record: Record, trouble: bool) -> bool {
    const LASTING: u64 = 0x11;
    const SMALL: u64 = 0x12;
    let a1: &[&str] = &["a", "r1-1"];
    let a2: &[&str] = &["a", "r1-2"];
    let workers = [&["b", "r1-1"], a1, a1, a1, a2, a2, a2];
    let mut cluster = Cluster::start(root, record, &workers);
    cluster.configure(1, &[MIDDLE], &[OTHER]);
    let step = r#"[{"count":1,"cpu":4000,"mem_mb":1000,"gpu":1,"estimate_ms":1000,"constraints":"b","long_running":true}]"#;
    cluster.submit(OTHER.key, MIDDLE.prefix, LASTING, "long=500", step);
    for _ in 0..2 {
        let is_at_work = || cluster.running(LASTING).iter().any(|(.., percent)| *percent == 100);
        cluster.wait("the lasting task at work", seconds(20), is_at_work);
        sleep(seconds(2));
        if trouble {
            crash_holder(&mut cluster, LASTING, seconds(2));
        }
    }
    let is_at_work = || cluster.running(LASTING).iter().any(|(.., percent)| *percent == 100);
    cluster.wait("the lasting task at work", seconds(20), is_at_work);
    // Calm, for longer than `contact_ms`.
    sleep(seconds(8));
    let step =
        r#"[{"count":1,"cpu":4000,"mem_mb":1000,"gpu":1,"estimate_ms":1000,"constraints":"b"}]"#;
    cluster.submit(OTHER.key, MIDDLE.prefix, SMALL, "ms=1000", step);
    let first_start = format!("{SMALL:016x}.0.0.0 run 1 starts");
    let acked = Instant::now();
    cluster.comes(FINISH + IDLE, || cluster.record.count(&first_start) > 0);
    let state = cluster.state(OTHER.key, MIDDLE.prefix, SMALL);
    let begun = cluster.record.count(&first_start) > 0;
    cluster.record.line(&format!(
        "check: {} s after its ack the small job is {state}, begun: {begun}; in use are {} tasks of \
         one accelerator of 56",
        acked.elapsed().as_secs(),
        cluster.running(LASTING).len()
    ));
    begun
}

/// A start gets no answer, and the worker crashes before it has carried it out; the next start fares
/// alike on another worker. No worker ever ran the task.
fn failed_before_its_start(root: &Path, record: Record, trouble: bool) -> bool {
    const SOUND: u64 = 0x100;
    const JOB: u64 = 0x21;
    let (r1, r2): (&[&str], &[&str]) = (&["a", "r1-1"], &["a", "r1-2"]);
    let mut cluster = Cluster::start(root, record, &[r1, r1, r1, r1, r2, r2, r2]);
    cluster.configure(1, &[MIDDLE], &[OTHER]);
    sleep(seconds(3));
    let step = r#"[{"count":1,"cpu":26000,"mem_mb":64000,"gpu":8,"estimate_ms":2000}]"#;
    // Most starts are answered.
    for job in SOUND..SOUND + 4 {
        cluster.submit(OTHER.key, MIDDLE.prefix, job, "ms=1000", step);
    }
    let is_done = || cluster.record.count("ends done") == 4;
    cluster.wait("the end of the sound jobs", seconds(20), is_done);
    cluster.late.store(usize::from(trouble), Ordering::SeqCst);
    cluster.submit(OTHER.key, MIDDLE.prefix, JOB, "ms=2000", step);
    for crashes in 1..=2 {
        if !trouble {
            break;
        }
        let task = format!("start of {JOB:016x}.0.0.0 gets no answer");
        let holder = || {
            let is_holder = |id: &str| cluster.record.count(&format!("{id}: {task}")) > 0;
            let crashed = |id: &str| cluster.record.count(&format!("{id}: the worker crashes")) > 0;
            cluster.workers.iter().position(|w| is_holder(&w.host.id) && !crashed(&w.host.id))
        };
        cluster.wait("a start without an answer", seconds(30), || holder().is_some());
        let Some(holder) = holder() else { cannot_run("no worker has the start") };
        sleep(Duration::from_millis(400));
        cluster.workers[holder].crash();
        cluster.late.store(usize::from(crashes < 2), Ordering::SeqCst);
        sleep(seconds(2));
        cluster.workers[holder].start();
    }
    let is_over = || {
        sleep(Duration::from_millis(500));
        let state = cluster.state(OTHER.key, MIDDLE.prefix, JOB);
        ["completed", "failed", "cancelled"].contains(&&*state)
    };
    cluster.comes(seconds(30), is_over);
    let state = cluster.state(OTHER.key, MIDDLE.prefix, JOB);
    let starts = (1..=9)
        .map(|run| cluster.record.count(&format!("{JOB:016x}.0.0.0 run {run} starts")))
        .sum::<usize>();
    cluster
        .record
        .line(&format!("check: the job is {state}, a worker has begun it {starts} times"));
    state != "failed" || starts > 0
}

/// Two of four workers hold a small lasting task each, and fail hopeless tasks. Long after that, a
/// team claims what it is guaranteed.
fn guarantee_behind_quarantine(root: &Path, record: Record, trouble: bool) -> bool {
    const LASTING: u64 = 0x31;
    const SOUND: u64 = 0x100;
    const HOPELESS: u64 = 0x41;
    const CLAIM: u64 = 0x51;
    let (r1, r2): (&[&str], &[&str]) = (&["a", "r1-1"], &["a", "r1-2"]);
    let cluster = Cluster::start(root, record, &[r1, r1, r2, r2]);
    cluster.configure(1, &[FIRST, LAST], &[OWNER, OTHER]);
    let step = r#"[{"count":2,"cpu":4000,"mem_mb":1000,"gpu":1,"estimate_ms":1000,"anti_affinity":1,"long_running":true}]"#;
    cluster.submit(OTHER.key, LAST.prefix, LASTING, "long=500", step);
    let at_work = || cluster.running(LASTING).iter().filter(|(.., p)| *p == 100).count() == 2;
    cluster.wait("the lasting tasks at work", seconds(20), at_work);
    let step = r#"[{"count":1,"cpu":4000,"mem_mb":1000,"gpu":1,"estimate_ms":1000}]"#;
    let states = |job, wanted: &str| {
        sleep(Duration::from_millis(250));
        cluster.state(OTHER.key, LAST.prefix, job) == wanted
    };
    // Two of 42 jobs are hopeless.
    for job in SOUND..SOUND + 40 {
        cluster.submit(OTHER.key, LAST.prefix, job, "ms=100", step);
    }
    cluster.wait("the end of the sound jobs", seconds(30), || states(SOUND + 39, "completed"));
    for job in HOPELESS..HOPELESS + 2 {
        let text = if trouble { "fail=150" } else { "ms=150" };
        cluster.submit(OTHER.key, LAST.prefix, job, text, step);
        let wanted = if trouble { "failed" } else { "completed" };
        cluster.wait("the end of a job", seconds(30), || states(job, wanted));
    }
    // Calm, for longer than any suspicion against a worker lasts.
    sleep(seconds(20));
    let step = r#"[{"count":3,"cpu":26000,"mem_mb":64000,"gpu":8,"estimate_ms":11000,"long_running":true}]"#;
    cluster.submit(OWNER.key, FIRST.prefix, CLAIM, "long=500", step);
    let acked = Instant::now();
    let begun = || cluster.record.count(&format!("{CLAIM:016x}.0.0.")) >= 3;
    let in_time = cluster.comes(RECLAIM, begun);
    cluster.record.line(&format!(
        "check: {} ms after its ack {} of 3 tasks of the guaranteed job have begun",
        acked.elapsed().as_millis(),
        cluster.running(CLAIM).len()
    ));
    if in_time {
        return true;
    }
    cluster.comes(seconds(15), begun);
    cluster.record.line(&format!(
        "check: {} ms after its ack {} of 3 tasks of the guaranteed job have begun",
        acked.elapsed().as_millis(),
        cluster.running(CLAIM).len()
    ));
    in_time
}

/// Of 36 idle workers, the advice service allows two.
fn allowed_worker_not_asked_for(root: &Path, record: Record, trouble: bool) -> bool {
    const JOB: u64 = 0x91;
    let labels: Vec<&[&str]> = (0..36).map(|i| RACKS[i / 12]).collect();
    let cluster = Cluster::start(root, record, &labels);
    let allows = if trouble { |w: &str| w > "w-34" } else { |_: &str| true };
    let _advice = cluster.start_advice(allows);
    cluster.configure(1, &[ADVISED], &[OTHER]);
    // All workers have checked in by then.
    sleep(seconds(6));
    let step = r#"[{"count":1,"cpu":4000,"mem_mb":1000,"gpu":1,"estimate_ms":1000}]"#;
    cluster.submit(OTHER.key, ADVISED.prefix, JOB, "ms=1000 ticket", step);
    let acked = Instant::now();
    let first_start = format!("{JOB:016x}.0.0.0 run 1 starts");
    let has_begun = || cluster.record.count(&first_start) > 0;
    cluster.comes(FINISH + IDLE, has_begun);
    let state = cluster.state(OTHER.key, ADVISED.prefix, JOB);
    cluster.record.line(&format!(
        "check: {} s after its ack the job is {state}, begun: {}; all 36 workers are idle",
        acked.elapsed().as_secs(),
        has_begun()
    ));
    has_begun()
}

/// A machine is cut off from control while a worker starts on it whose time of day is ahead. Agent and
/// worker are killed and start again. What the former agent has sent arrives after the next worker has
/// begun a task.
fn late_poll_of_former_agent(root: &Path, record: Record, trouble: bool) -> bool {
    const LONG: u64 = 0xc1;
    const OTHERS: u64 = 0xc2;
    const JOB: u64 = 0xc3;
    /// Step of the time of day in milliseconds.
    const AHEAD: u64 = 2_400;
    /// Time by which channels of before get through later than new ones.
    const OLD_DELAY: Duration = Duration::from_millis(2_900);
    let (r1, r2): (&[&str], &[&str]) = (&["a", "r1-1"], &["a", "r1-2"]);
    let mut cluster = Cluster::start(root, record, &[r1, r1, r1, r1, r2, r2, r2]);
    cluster.configure(1, &[MIDDLE], &[OTHER]);
    // The first machine has no worker until its leases have ended.
    cluster.workers[0].end();
    sleep(seconds(10));
    // The others are in use, so that the next job starts on the first machine.
    let step = r#"[{"count":1,"cpu":26000,"mem_mb":64000,"gpu":8,"estimate_ms":60000,"constraints":"r1-2"}]"#;
    cluster.submit(OTHER.key, MIDDLE.prefix, LONG, "ms=60000", step);
    cluster.wait("the long task", seconds(20), || cluster.running(LONG).len() == 1);
    let step = r#"[{"count":5,"cpu":26000,"mem_mb":64000,"gpu":8,"estimate_ms":5000}]"#;
    cluster.submit(OTHER.key, MIDDLE.prefix, OTHERS, "ms=4500", step);
    cluster.wait("the other tasks", seconds(20), || cluster.running(OTHERS).len() == 5);
    if trouble {
        cluster.cut.begin();
        cluster.record.line("network: machine 1 is cut off from control");
    }
    sleep(Duration::from_millis(200));
    let first = &mut cluster.workers[0];
    first.host.id = "w-01-former".into();
    if trouble {
        first.host.ahead = AHEAD;
    }
    // A new boot may be of a different kind, even at the same address.
    first.host.labels = vec!["b".into(), "r1-1".into()];
    first.start();
    sleep(Duration::from_millis(700));
    cluster.agents[0].kill();
    cluster.workers[0].crash();
    cluster.record.line("machine 1: the agent is killed");
    cluster.cut.mark_old();
    sleep(Duration::from_millis(600));
    let first = &mut cluster.workers[0];
    first.host.id = "w-01-next".into();
    first.host.ahead = 0;
    first.host.labels = vec!["a".into(), "r1-1".into()];
    cluster.agents[0].start();
    cluster.workers[0].start();
    sleep(seconds(1));
    if trouble {
        cluster.cut.heal(OLD_DELAY);
        cluster.record.line("network: the cut is healed; old channels get through 2.9 s later");
    }
    let step =
        r#"[{"count":1,"cpu":26000,"mem_mb":64000,"gpu":8,"estimate_ms":11000,"constraints":"a"}]"#;
    cluster.submit(OTHER.key, MIDDLE.prefix, JOB, "ms=11000", step);
    let (end, mut held) = (Instant::now() + seconds(15), true);
    while Instant::now() < end {
        let running = cluster.running(JOB);
        if running.len() > 1 {
            cluster.record.line(&format!("check: the task runs on two workers: {running:?}"));
            held = false;
        }
        sleep(Duration::from_millis(20));
    }
    held
}
