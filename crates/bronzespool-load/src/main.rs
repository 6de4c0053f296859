//! `load path|service [options]`: measures the request path and writes a page of results.

use {
    bronzespool_load::{
        Result, path,
        service::{self, Fault},
    },
    std::{path::PathBuf, process::ExitCode, time::Duration},
    tokio::task::LocalSet,
};

const HELP: &str = "\
Measures the request path on this host and writes docs/measurements/NAME.md and NAME.json.
Run it from the root of the repository, after `cargo build --release --workspace --bins`.

usage: load path [--rate N] [--claims N] [--seconds N] [--rounds N] [--idle N] [--out DIR]
       load service [--deployment NAME] [--loads LIST] [--faults LIST] [--workers N]
                    [--millis N] [--seconds N] [--out DIR]

path      what the path adds to a direct call, and what each role costs
  --rate N        unprotected requests a second (1000)
  --claims N      protected requests a second (200)
  --seconds N     length of each phase (4)
  --rounds N      rounds of all phases (3)
  --idle N        seconds measured without load (10)
service   completion times and goodput under load and faults
  --deployment N  registry, cooperative or both (both)
  --loads LIST    percent of capacity, 100 is always measured (50,90,150,300)
  --faults LIST   of none,bad,slow,killed (all)
  --workers N     endpoints (10)
  --millis N      time of one request at an endpoint (100)
  --seconds N     length of each phase (4)
both
  --out DIR       folder of the results (docs/measurements)
  --seed N        seed of the arrivals (7)
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run_command(&mut args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_command(args: &mut pico_args::Arguments) -> Result<()> {
    let name = args.subcommand()?;
    match name.as_deref() {
        Some("path") => {
            let options = path_options(args)?;
            block_on(path::run(&options))
        }
        Some("service") => {
            let options = service_options(args)?;
            block_on(service::run(&options))
        }
        _ => Err(format!("missing measurement: use path or service\n\n{HELP}").into()),
    }
}

fn block_on(work: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(work))
}

fn parse_seconds(
    args: &mut pico_args::Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration> {
    let value = args.opt_value_from_str::<_, f64>(name)?;
    Ok(value.map_or(default, Duration::from_secs_f64))
}

fn reject_remaining(args: &pico_args::Arguments) -> Result<()> {
    let remaining = args.clone().finish();
    if remaining.is_empty() {
        Ok(())
    } else {
        Err(format!("unknown arguments {remaining:?}").into())
    }
}

fn path_options(args: &mut pico_args::Arguments) -> Result<path::Options> {
    let defaults = path::Options::default();
    let options = path::Options {
        request_rate: args.opt_value_from_str("--rate")?.unwrap_or(defaults.request_rate),
        claim_rate: args.opt_value_from_str("--claims")?.unwrap_or(defaults.claim_rate),
        phase_duration: parse_seconds(args, "--seconds", defaults.phase_duration)?,
        rounds: args.opt_value_from_str("--rounds")?.unwrap_or(defaults.rounds),
        idle_duration: parse_seconds(args, "--idle", defaults.idle_duration)?,
        out_dir: args.opt_value_from_str::<_, PathBuf>("--out")?.unwrap_or(defaults.out_dir),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(defaults.seed),
    };
    reject_remaining(args)?;
    Ok(options)
}

fn service_options(args: &mut pico_args::Arguments) -> Result<service::Options> {
    let defaults = service::Options::default();
    let deployments = match args.opt_value_from_str::<_, String>("--deployment")?.as_deref() {
        None | Some("both") => defaults.deployments,
        Some(name) => vec![name.to_owned()],
    };
    let load_percents = match args.opt_value_from_str::<_, String>("--loads")? {
        Some(list) => list.split(',').map(str::parse).collect::<std::result::Result<_, _>>()?,
        None => defaults.load_percents,
    };
    let faults = match args.opt_value_from_str::<_, String>("--faults")? {
        Some(list) => list.split(',').map(Fault::try_from).collect::<Result<_>>()?,
        None => defaults.faults,
    };
    let options = service::Options {
        deployments,
        load_percents,
        faults,
        worker_count: args.opt_value_from_str("--workers")?.unwrap_or(defaults.worker_count),
        request_millis: args.opt_value_from_str("--millis")?.unwrap_or(defaults.request_millis),
        phase_duration: parse_seconds(args, "--seconds", defaults.phase_duration)?,
        out_dir: args.opt_value_from_str::<_, PathBuf>("--out")?.unwrap_or(defaults.out_dir),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(defaults.seed),
    };
    reject_remaining(args)?;
    Ok(options)
}
