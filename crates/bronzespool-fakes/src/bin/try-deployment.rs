//! Starts a deployment as separate processes, sends a request of every kind and stops it again:
//! `try-deployment registry|cooperative [--stay]`. With `--stay` it runs until SIGTERM or SIGINT.

use {
    bronzespool::core::{
        Code, KindSpec, Mode,
        settings::{read_deployment, read_services},
    },
    bronzespool_fakes::{
        call::{Answer, Call},
        cluster::{Cluster, Plan, Result, program},
        endpoint::expected,
    },
    serde_json::{Value, json},
    std::{
        path::{Path, PathBuf},
        process::{Command, ExitCode},
        time::Duration,
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        time::sleep,
    },
};

/// Factor by which the tasks of the fake workers run faster than requested.
const TASK_SPEED: u64 = 20_000;

/// Largest number of report queries while not all kinds are in the report.
const REPORT_POLLS_MAX: u32 = 100;
/// Interval between two report queries.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A request to send, one for each kind.
struct PlannedRequest {
    service: String,
    kind: String,
    team: String,
    spec: KindSpec,
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let stay = args.contains("--stay");
    let Ok(name) = args.free_from_str::<String>() else {
        eprintln!("usage: try-deployment registry|cooperative [--stay]");
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.map_err(Into::into).and_then(|r| r.block_on(run(&name, stay)));
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed_steps) => {
            eprintln!("{failed_steps} steps failed");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("try-deployment: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(name: &str, stay: bool) -> Result<u32> {
    let folder = PathBuf::from("examples").join(name);
    let (config, _) = read_services(std::slice::from_ref(&folder))?;
    let deployment = read_deployment(&folder.join("deployment.ini"))?;
    let services = config.services.keys().map(ToString::to_string).collect();
    let plan = Plan::of(&deployment, services, &folder).speed(TASK_SPEED);
    let mut cluster = Cluster::start(plan).await?;
    println!("{} processes are up", cluster.ids().len());
    let mut failed_steps = publish(&cluster, &folder)?;
    for (number, planned) in planned_requests(&config).into_iter().enumerate() {
        let entry = number % cluster.entries().len();
        failed_steps += u32::from(!send_request(&cluster, entry, &planned).await?);
    }
    failed_steps += run_cli(&cluster, &["status"])?;
    wait_report(&cluster, &config).await?;
    failed_steps += run_cli(&cluster, &["report"])?;
    if stay {
        print_addresses(&cluster, &config);
        wait_signal().await?;
    }
    let failed = cluster.stop().await?;
    for name in &failed {
        println!("{name} did not exit successfully");
    }
    println!("all processes have been stopped");
    Ok(failed_steps + u32::from(!failed.is_empty()))
}

fn publish(cluster: &Cluster, folder: &Path) -> Result<u32> {
    let folder = folder.display().to_string();
    run_cli(cluster, &["publish", &folder, "--op", "try-1", "--wait"])
}

/// Runs the command-line tool against the first entry. Returns 1 if it fails, else 0.
fn run_cli(cluster: &Cluster, arguments: &[&str]) -> Result<u32> {
    println!("\n$ bronzespool {}", arguments.join(" "));
    let at = cluster.entry(0).to_string();
    let status =
        Command::new(program("bronzespool")).args(arguments).env("BRONZESPOOL_AT", at).status()?;
    Ok(u32::from(!status.success()))
}

fn planned_requests(config: &bronzespool::core::Config) -> Vec<PlannedRequest> {
    let mut planned_requests = Vec::new();
    for (service, spec) in &config.services {
        let teams: Vec<_> = spec.teams.keys().collect();
        for (number, (kind, kind_spec)) in spec.kinds.iter().enumerate() {
            planned_requests.push(PlannedRequest {
                service: service.to_string(),
                kind: kind.to_string(),
                team: teams[number % teams.len()].to_string(),
                spec: kind_spec.clone(),
            });
        }
    }
    planned_requests
}

/// Sends one request and returns whether its answer is correct.
async fn send_request(cluster: &Cluster, entry: usize, planned: &PlannedRequest) -> Result<bool> {
    let path = format!("/v1/services/{}/{}", planned.service, planned.kind);
    let body = json!({ "what": planned.kind, "number": 7 });
    let key = planned.spec.protected.then(|| format!("try-{}", planned.kind));
    let mut call = Call::post(&path, &body).header("team", &planned.team);
    if let Some(key) = &key {
        call = call.header("idempotency-key", key);
    }
    let answer = call.send(cluster.entry(entry)).await?;
    let correct = match planned.spec.mode {
        Mode::Request => answer_matches(&answer, planned, key.as_deref(), &body),
        Mode::Job => job_done(cluster, entry, &answer).await?,
    };
    let mark = if correct { "right" } else { "WRONG" };
    println!(
        "{mark}  {} {}  {} {}  {}",
        planned.team,
        path,
        answer.code(),
        answer.outcome(),
        answer.json()
    );
    Ok(correct)
}

fn answer_matches(
    answer: &Answer,
    planned: &PlannedRequest,
    key: Option<&str>,
    body: &Value,
) -> bool {
    let path = format!("/{}/{}", planned.service, planned.kind);
    let wanted = expected(&path, &planned.team, key, body);
    let actual = answer.json();
    let same = |field: &str| actual[field] == wanted[field];
    answer.code() == Code::Done.number() && ["path", "team", "key", "body"].into_iter().all(same)
}

async fn job_done(cluster: &Cluster, entry: usize, answer: &Answer) -> Result<bool> {
    let location = answer.headers.get("location").and_then(|v| v.to_str().ok());
    let Some(location) = location else {
        return Ok(false);
    };
    let ended = Call::get(format!("{location}?wait=60000")).send(cluster.entry(entry)).await?;
    println!("       {}", ended.json());
    Ok(answer.code() == Code::Accepted.number() && ended.json()["outcome"] == "done")
}

/// Waits until the report includes all kinds: entries report their answers every few seconds.
async fn wait_report(cluster: &Cluster, config: &bronzespool::core::Config) -> Result<()> {
    let kinds = config.services.values().map(|s| s.kinds.len()).sum::<usize>();
    for _ in 0..REPORT_POLLS_MAX {
        let rows = Call::get("/v1/report").send(cluster.entry(0)).await?.json();
        if rows.as_array().is_some_and(|rows| rows.len() >= kinds) {
            break;
        }
        sleep(REPORT_POLL_INTERVAL).await;
    }
    Ok(())
}

fn print_addresses(cluster: &Cluster, config: &bronzespool::core::Config) {
    let address = cluster.entry(0);
    println!("\nentries:");
    for (name, address) in cluster.entries() {
        println!("  {name} http://{address}");
    }
    println!("processes:");
    for (name, id) in cluster.ids() {
        println!("  {name} {id}");
    }
    println!("some lines to try:");
    for planned in planned_requests(config) {
        println!(
            "  curl -i http://{address}/v1/services/{}/{} -H 'Team: {}' \
             -H 'Idempotency-Key: my-1' -d '{{}}'",
            planned.service, planned.kind, planned.team
        );
    }
    println!("  curl http://{address}/v1/status");
    println!("logs and settings: {}", cluster.folder().display());
    println!("stop with ctrl-c");
}

async fn wait_signal() -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => Ok(()),
        result = tokio::signal::ctrl_c() => Ok(result?),
    }
}
