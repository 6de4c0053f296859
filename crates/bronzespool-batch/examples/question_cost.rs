//! Prints what questions to the advice service cost the leader at the size that the platform is
//! designed for: processor time of a question, questions until the last worker is named, and memory
//! of what is kept. Run it with `--release`.

use {
    bronzespool_batch::{
        Config, Event, JobId, Ledger, Record, Step, WorkerIncarnation,
        config::{Advice, Pool, Queue},
        ledger::WorkerSpec,
        plan::{ClusterView, Inquiries},
        spec::{JobSpec, Resources},
    },
    bronzespool_core::{HashSet, Instance, Time},
    std::{
        fs,
        sync::Arc,
        time::{Duration, Instant as Clock},
    },
};

const WORKERS: usize = 890;
const ADVICE: Advice = Advice { call: 50, per_worker: 5, validity: 3_000 };

fn apply(ledger: &mut Ledger, event: Event) {
    ledger.apply(&Record { at: Time::from_secs(100), events: vec![event] });
}

fn config() -> Config {
    let queue = Queue {
        name: "advised".into(),
        host: "desk.example".into(),
        prefix: "/advised/".into(),
        service: "desk".into(),
        priority: 1,
        attempts: 3,
        slack: 1_500,
        latency_target: 250,
        timeout: 3_000,
        public: true,
        advice: Some(ADVICE),
    };
    Config {
        version: 1,
        document: b"{}"[..].into(),
        queues: vec![queue],
        pools: vec![Pool { name: "desk".into(), sheds_load: false, standby: false }],
        teams: Vec::new(),
    }
}

fn worker(number: usize) -> WorkerSpec {
    WorkerSpec {
        incarnation: WorkerIncarnation { worker: format!("w{number}").into(), started_at: 1 },
        agent: Instance::try_from(format!("side-{number}")).expect("a name"),
        service: "desk".into(),
        center: "c1".into(),
        labels: vec!["a".into(), format!("r{}", number / 12).into()],
        capacity: Resources { cpu: 64_000, memory: 128_000, gpu: 8 },
        leaving: false,
    }
}

fn job(id: u64) -> JobSpec {
    let need = Resources { cpu: 1_000, memory: 1_000, gpu: 1 };
    JobSpec {
        id: JobId(id),
        queue: "advised".into(),
        team: None,
        text: "text".into(),
        steps: vec![Step { count: 1, need, estimate: 2_500, ..Step::default() }],
        times: 0,
        start: 0,
        interval: 0,
    }
}

/// Resident memory of this process in KiB.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().strip_suffix(" kB")?.trim().parse().ok()).unwrap_or_default()
}

fn measure(jobs: u64) {
    let mut ledger = Ledger::default();
    let mut view = ClusterView { now: Time::from_secs(100), ..ClusterView::default() };
    apply(&mut ledger, Event::Configured(Arc::new(config())));
    for number in 0..WORKERS {
        let spec = worker(number);
        view.schedulable.insert(spec.incarnation.worker.clone());
        apply(&mut ledger, Event::WorkerUp(Box::new(spec)));
    }
    (0..jobs).for_each(|id| apply(&mut ledger, Event::Submitted(Arc::new(job(id)))));
    let (before, mut inquiries) = (resident(), Inquiries::default());
    let (mut times, mut named) = (Vec::new(), 0);
    while named < jobs as usize * WORKERS {
        let begun = Clock::now();
        let question = inquiries.next_question(&ledger, &view);
        times.push(begun.elapsed());
        view.now += Duration::from_millis(1);
        let Some(question) = question else { break };
        named += question.workers.len();
        inquiries.record(view.now, question.step, None, &HashSet::default());
    }
    times.sort_unstable();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    let kept = (resident() - before) / jobs;
    println!(
        "{jobs} waiting steps, {WORKERS} workers: {} questions until all are named; a question takes \
         the leader {median:?} in the median, {worst:?} at most; {kept} KiB a step are kept",
        times.len(),
    );
}

fn main() {
    [1, 40, 350].into_iter().for_each(measure);
}
