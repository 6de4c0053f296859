//! Runs the roles that the settings enable and stops them at a signal.

use {
    crate::{
        agent,
        arguments::{self, Command, HELP},
        client::Timing,
        clock::Clock,
        control, entry, memory,
        telemetry::{self, Event as _, event},
    },
    bronzespool::core::settings::{JobPolicy, ProcessSettings, read_process},
    displaydoc::Display,
    pico_args::Arguments,
    std::{path::Path, process::ExitCode},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
        task::{JoinSet, LocalSet},
    },
};

/// Exit code for wrong arguments or settings.
const EXIT_USAGE: u8 = 2;

type Result<T> = std::result::Result<T, Error>;

/// Why the process ended with a failure.
#[derive(Debug, Display)]
enum Error {
    /// cannot start the runtime: {0}
    Runtime(std::io::Error),
    /// cannot start logging: {0}
    Logs(flexi_logger::FlexiLoggerError),
    /// cannot start metrics: {0}
    Metrics(metrics_exporter_prometheus::BuildError),
    /// control: {0}
    Control(control::Error),
    /// entry: {0}
    Entry(std::io::Error),
    /// agent: {0}
    Agent(std::io::Error),
    /// a task of the process failed: {0}
    Task(tokio::task::JoinError),
}

/// Runs the daemon with the given command line and returns its exit code.
pub fn run(args: Arguments) -> ExitCode {
    match arguments::parse(args) {
        Ok(Command::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Run { file, check }) => run_settings(&file, check),
        Err(error) => {
            eprintln!("bronzespoold: {error}\n\n{HELP}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run_settings(file: &Path, check: bool) -> ExitCode {
    let settings = match read_process(file) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if check {
        println!("{}: no faults", file.display());
        return ExitCode::SUCCESS;
    }
    match run_process(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bronzespoold: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_process(settings: ProcessSettings) -> Result<()> {
    let _logs = telemetry::start_logs(settings.log.as_str()).map_err(Error::Logs)?;
    telemetry::start_metrics().map_err(Error::Metrics)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(run_roles(settings)))
}

async fn run_roles(settings: ProcessSettings) -> Result<()> {
    memory::set(settings.memory << 20);
    let (stop, stopped) = watch::channel(false);
    let mut roles = JoinSet::new();
    let clock = Clock::start();
    // Control stops after the entry and the agent, which make their last calls to it.
    let (stop_control, control_stopped) = watch::channel(false);
    let mut control_roles = JoinSet::new();
    if let Some(options) = control_options(&settings) {
        let task = control::run(options, clock, control_stopped);
        control_roles.spawn_local(async { task.await.map_err(Error::Control) });
    }
    if let Some(options) = entry_options(&settings) {
        let task = entry::run(options, clock, stopped.clone());
        roles.spawn_local(async { task.await.map_err(Error::Entry) });
    }
    if let Some(options) = agent_options(&settings) {
        let task = agent::run(options, clock, stopped);
        roles.spawn_local(async { task.await.map_err(Error::Agent) });
    }
    tokio::select! {
        result = first_end(&mut roles, &mut control_roles) => return result,
        result = stop_signal() => result?,
    }
    event::StopAsked { role: "all" }.emit();
    let _ = stop.send(true);
    let finish = async {
        join_all(&mut roles).await?;
        let _ = stop_control.send(true);
        join_all(&mut control_roles).await
    };
    tokio::select! {
        result = finish => result,
        result = stop_signal() => result,
    }
}

/// Returns when the first role ends. A role ends by itself only if it fails.
async fn first_end(
    roles: &mut JoinSet<Result<()>>,
    control_roles: &mut JoinSet<Result<()>>,
) -> Result<()> {
    tokio::select! {
        Some(result) = roles.join_next() => result.map_err(Error::Task)?,
        Some(result) = control_roles.join_next() => result.map_err(Error::Task)?,
        () = telemetry::run_upkeep() => Ok(()),
    }
}

async fn join_all(roles: &mut JoinSet<Result<()>>) -> Result<()> {
    while let Some(result) = roles.join_next().await {
        result.map_err(Error::Task)??;
    }
    Ok(())
}

async fn stop_signal() -> Result<()> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Runtime)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

fn session_timing(settings: &ProcessSettings) -> Timing {
    Timing { renew_interval: settings.timing.renew, reply_timeout: settings.timing.probe }
}

fn control_options(settings: &ProcessSettings) -> Option<control::Options> {
    let control = settings.control.as_ref()?;
    let timing = &settings.timing;
    Some(control::Options {
        cluster: settings.cluster.clone(),
        instance: settings.place.instance.clone(),
        listen: control.listen,
        peers: control.peers.iter().map(|p| (p.instance.clone(), p.addr)).collect(),
        may_bootstrap: true,
        allow_unlisted: false,
        data_dir: settings.data.clone()?,
        reserve: control.reserve,
        policy: JobPolicy { run_times: control.run_times, overload: control.overload },
        heartbeat_interval: timing.heartbeat,
        election_timeout: timing.election,
        session_lease: timing.session,
        renew_interval: timing.renew,
        sessions_max: control::SESSIONS_MAX,
        answer_retention: timing.answers,
        key_retention: timing.horizon,
    })
}

fn entry_options(settings: &ProcessSettings) -> Option<entry::Options> {
    let entry = settings.entry.as_ref()?;
    Some(entry::Options {
        cluster: settings.cluster.clone(),
        header_timeout: settings.timing.headers,
        instance: settings.place.instance.clone(),
        center: settings.place.center.clone(),
        listen: entry.listen,
        operators: entry.operators,
        hubs: entry.control.clone(),
        timing: session_timing(settings),
        grace: settings.grace,
    })
}

fn agent_options(settings: &ProcessSettings) -> Option<agent::Options> {
    let agent = settings.agent.as_ref()?;
    Some(agent::Options {
        cluster: settings.cluster.clone(),
        place: settings.place.clone(),
        listen: agent.listen,
        endpoint: agent.endpoint,
        worker: agent.worker,
        services: agent.services.clone(),
        capacity: agent.capacity,
        hubs: agent.control.clone(),
        timing: session_timing(settings),
        usage_interval: settings.timing.usage,
        grace: settings.grace,
    })
}
