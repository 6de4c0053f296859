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
Measures the request path on this machine and writes docs/measurements/NAME.md and NAME.json.
Run it from the root of the repository, after `cargo build --release --workspace --bins`.

usage: load path [--rate N] [--claims N] [--seconds N] [--rounds N] [--idle N] [--out DIR]
       load service [--deployment NAME] [--loads LIST] [--faults LIST] [--workers N]
                    [--millis N] [--seconds N] [--out DIR]

path      what the path adds to a direct call, and what each role costs
  --rate N        unprotected requests a second (1000)
  --claims N      protected requests a second (200)
  --seconds N     length of each phase (4)
  --rounds N      rounds of all phases (3)
  --idle N        seconds of rest that are measured (10)
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
    match command(&mut args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command(args: &mut pico_args::Arguments) -> Result<()> {
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
        _ => Err(format!("name a measurement\n\n{HELP}").into()),
    }
}

fn block_on(work: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(work))
}

fn seconds(
    args: &mut pico_args::Arguments,
    name: &'static str,
    preset: Duration,
) -> Result<Duration> {
    let given = args.opt_value_from_str::<_, f64>(name)?;
    Ok(given.map_or(preset, Duration::from_secs_f64))
}

fn finish(args: &pico_args::Arguments) -> Result<()> {
    let rest = args.clone().finish();
    if rest.is_empty() { Ok(()) } else { Err(format!("unknown arguments {rest:?}").into()) }
}

fn path_options(args: &mut pico_args::Arguments) -> Result<path::Options> {
    let preset = path::Options::default();
    let options = path::Options {
        rate: args.opt_value_from_str("--rate")?.unwrap_or(preset.rate),
        claims: args.opt_value_from_str("--claims")?.unwrap_or(preset.claims),
        phase: seconds(args, "--seconds", preset.phase)?,
        rounds: args.opt_value_from_str("--rounds")?.unwrap_or(preset.rounds),
        idle: seconds(args, "--idle", preset.idle)?,
        out: args.opt_value_from_str::<_, PathBuf>("--out")?.unwrap_or(preset.out),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(preset.seed),
    };
    finish(args)?;
    Ok(options)
}

fn service_options(args: &mut pico_args::Arguments) -> Result<service::Options> {
    let preset = service::Options::default();
    let deployments = match args.opt_value_from_str::<_, String>("--deployment")?.as_deref() {
        None | Some("both") => preset.deployments,
        Some(name) => vec![name.to_owned()],
    };
    let loads = match args.opt_value_from_str::<_, String>("--loads")? {
        Some(list) => list.split(',').map(str::parse).collect::<std::result::Result<_, _>>()?,
        None => preset.loads,
    };
    let faults = match args.opt_value_from_str::<_, String>("--faults")? {
        Some(list) => list.split(',').map(Fault::try_from).collect::<Result<_>>()?,
        None => preset.faults,
    };
    let options = service::Options {
        deployments,
        loads,
        faults,
        workers: args.opt_value_from_str("--workers")?.unwrap_or(preset.workers),
        millis: args.opt_value_from_str("--millis")?.unwrap_or(preset.millis),
        phase: seconds(args, "--seconds", preset.phase)?,
        out: args.opt_value_from_str::<_, PathBuf>("--out")?.unwrap_or(preset.out),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(preset.seed),
    };
    finish(args)?;
    Ok(options)
}
