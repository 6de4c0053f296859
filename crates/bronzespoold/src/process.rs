//! Runs the roles that the settings name, and stops them at a signal.

use {
    crate::{
        agent,
        arguments::{self, HELP, Wish},
        client::Timing,
        clock::Clock,
        control, entry,
        telemetry::{self, Event as _, event},
    },
    bronzespool::core::settings::{ProcessSettings, read_process},
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

/// Why the process has ended.
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
    /// a part of the process has ended with a fault: {0}
    Task(tokio::task::JoinError),
}

/// Runs the daemon with its command line.
pub fn run(args: Arguments) -> ExitCode {
    match arguments::read(args) {
        Ok(Wish::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Wish::Settings { file, check }) => start(&file, check),
        Err(error) => {
            eprintln!("bronzespoold: {error}\n\n{HELP}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn start(file: &Path, check: bool) -> ExitCode {
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
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bronzespoold: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: ProcessSettings) -> Result<()> {
    let _logs = telemetry::start_logs(settings.log.as_str()).map_err(Error::Logs)?;
    telemetry::start_metrics().map_err(Error::Metrics)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(roles(settings)))
}

async fn roles(settings: ProcessSettings) -> Result<()> {
    let (stop, stopped) = watch::channel(false);
    let mut roles = JoinSet::new();
    let clock = Clock::start();
    // The entry and the agent stop first: their last calls need control.
    let (stop_control, control_stopped) = watch::channel(false);
    let mut controls = JoinSet::new();
    if let Some(options) = control_options(&settings) {
        let task = control::run(options, clock, control_stopped);
        controls.spawn_local(async { task.await.map_err(Error::Control) });
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
        result = all(&mut roles, &mut controls) => return result,
        result = signals() => result?,
    }
    event::StopAsked { role: "all" }.emit();
    let _ = stop.send(true);
    let finish = async {
        join(&mut roles).await?;
        let _ = stop_control.send(true);
        join(&mut controls).await
    };
    tokio::select! {
        result = finish => result,
        result = signals() => result,
    }
}

/// Ends with the first role that ends, which none does unless it fails.
async fn all(roles: &mut JoinSet<Result<()>>, controls: &mut JoinSet<Result<()>>) -> Result<()> {
    tokio::select! {
        Some(result) = roles.join_next() => result.map_err(Error::Task)?,
        Some(result) = controls.join_next() => result.map_err(Error::Task)?,
        () = telemetry::run_upkeep() => Ok(()),
    }
}

async fn join(roles: &mut JoinSet<Result<()>>) -> Result<()> {
    while let Some(result) = roles.join_next().await {
        result.map_err(Error::Task)??;
    }
    Ok(())
}

async fn signals() -> Result<()> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Runtime)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

fn timing(settings: &ProcessSettings) -> Timing {
    Timing { period: settings.timing.renew, silence: settings.timing.probe }
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
        heartbeat_interval: timing.heartbeat,
        election_timeout: timing.election,
        session_lease: timing.session,
        renew_interval: timing.renew,
        answer_retention: timing.answers,
        key_retention: timing.horizon,
    })
}

fn entry_options(settings: &ProcessSettings) -> Option<entry::Options> {
    let entry = settings.entry.as_ref()?;
    Some(entry::Options {
        cluster: settings.cluster.clone(),
        headers: settings.timing.headers,
        instance: settings.place.instance.clone(),
        center: settings.place.center.clone(),
        listen: entry.listen,
        operators: entry.operators,
        hubs: entry.control.clone(),
        timing: timing(settings),
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
        timing: timing(settings),
        usage_interval: settings.timing.usage,
        grace: settings.grace,
    })
}
