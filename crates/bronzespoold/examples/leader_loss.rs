//! Measures the time without a leader after the leader was killed, over loopback.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p bronzespoold --example
//! leader_loss -- --runs 25 --timing "election = 600ms"`
//!
//! Each run kills the leader of three control instances with SIGKILL and measures the time until
//! another instance answers as the leader, polled every 5 ms, and the time until an entry has
//! published.

use {
    bronzespool::wire::{
        bronzespool_capnp::control,
        frame,
        link::Link,
        message::{Call as ControlCall, CallResult},
    },
    bronzespool_fakes::{
        call::Call,
        cluster::{Cluster, Plan, Result, Signal, send_signal},
    },
    serde_json::json,
    std::{
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
    tokio::{
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Pause between two polls.
const POLL_PAUSE: Duration = Duration::from_millis(5);
/// Longest wait for one reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two runs, longer than every lease.
const RUN_PAUSE: Duration = Duration::from_secs(1);

fn main() -> Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let runs: usize = args.value_from_str("--runs")?;
    let timing: String = args.opt_value_from_str("--timing")?.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(measure(runs, &timing.replace(", ", "\n"))))
}

async fn measure(runs: usize, timing: &str) -> Result<()> {
    let mut plan = Plan::small("desk", Path::new("."), 0).timing(timing);
    plan.entries = 1;
    plan.log = "warn".to_owned();
    let mut cluster = Cluster::start(plan).await?;
    let (mut leader_times, mut publish_times) = (Vec::new(), Vec::new());
    for run in 0..runs {
        let leader = cluster.leader(0).await?;
        let others = cluster.controls().iter().filter(|(name, _)| *name != leader);
        let polls: Vec<_> = others.map(|(_, a)| spawn_local(leader_answers_at(*a))).collect();
        let started = Instant::now();
        send_signal(cluster.id(&leader), Signal::KILL)?;
        let (first, published) = tokio::join!(futures::future::select_all(polls), async {
            while publish(&cluster, run).await.is_err() {
                sleep(POLL_PAUSE).await;
            }
            started.elapsed()
        });
        leader_times.push(first.0?.duration_since(started));
        publish_times.push(published);
        first.2.iter().for_each(tokio::task::JoinHandle::abort);
        cluster.process(&leader).kill()?;
        cluster.process(&leader).restart()?;
        wait_replicated(&cluster).await;
    }
    show("leader answers", &mut leader_times);
    show("entry has published", &mut publish_times);
    Ok(())
}

fn show(what: &str, times: &mut [Duration]) {
    times.sort();
    let (count, last) = (times.len(), times.len() - 1);
    let millis = |at: usize| times[at].as_millis();
    let (least, median, high, most) =
        (millis(0), millis(count / 2), millis(last * 9 / 10), millis(last));
    println!("{what}: least {least}, median {median}, 90% {high}, most {most} ms of {count}");
}

/// Polls a control instance and returns the time at which it first answers as the leader.
async fn leader_answers_at(address: SocketAddr) -> Instant {
    let bytes = frame::encode(&ControlCall::Status);
    let link: Link<control::Client> = Link::new(address);
    loop {
        let reply = link.call(CALL_TIMEOUT, |client| {
            let mut request = client.forward_request();
            request.get().set_call(&bytes);
            async move {
                let response = request.send().promise.await?;
                Ok(frame::decode::<CallResult>(response.get()?.get_reply()?)?)
            }
        });
        if let Ok(Ok(_)) = reply.await {
            return Instant::now();
        }
        sleep(POLL_PAUSE).await;
    }
}

async fn publish(cluster: &Cluster, run: usize) -> Result<()> {
    let text = "[service]\nname = desk\n[kind check]\nmode = request\ndeadline = 10s\n";
    let files = json!([{ "path": "desk/service.ini", "text": text }]);
    let body = json!({ "base": null, "op": format!("run-{run}"), "files": files });
    let answer = Call::post("/v1/config", &body).send(cluster.entry(0)).await?;
    if answer.status.is_success() { Ok(()) } else { Err(answer.json().to_string().into()) }
}

/// Waits until all replicas have the committed log.
async fn wait_replicated(cluster: &Cluster) {
    loop {
        sleep(RUN_PAUSE).await;
        let Ok(status) = cluster.status(0).await else {
            continue;
        };
        let commit = status["commit"].as_u64();
        let rows = status["replicas"].as_array().cloned().unwrap_or_default();
        let current = |row: &serde_json::Value| {
            row["instance"] == status["leader"] || row["matched"].as_u64() >= commit
        };
        if rows.iter().all(current) {
            return;
        }
    }
}
