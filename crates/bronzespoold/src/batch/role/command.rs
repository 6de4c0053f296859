//! Command line of an adapter's program and the runtime for its role.

use {
    super::{Error, Result},
    crate::telemetry,
    bronzespool::core::settings::{JobPolicy, Overload, RunTimes},
    std::{fmt::Display, process::ExitCode},
    tokio::task::LocalSet,
};

/// Description of an adapter's program.
#[derive(Clone, Copy, Debug)]
pub struct Program<S, E> {
    /// Name, printed before errors.
    pub name: &'static str,
    /// First part of the help text.
    pub about: &'static str,
    /// Reads and checks the settings.
    pub load: fn() -> std::result::Result<S, E>,
}

/// Help on the options that every adapter's program has.
const FLAGS_HELP: &str = "
  --metrics PORT  serve metrics at /metrics on this port of the machine's address
  --run-times KIND
                  run times that decisions use: declared (the default) or learned; only the
                  control role reads this, and all its instances need the same
  --overload KIND what is done about overload: ignored (the default) or managed; only the
                  control role reads this, and all its instances need the same
  --log LEVEL     lowest level of log lines: off, error, warn, info (the default), debug
  --check         read the settings, report faults and exit
  --help          print this text
";

/// Options of the command line that roles read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoleFlags {
    /// Port for metrics.
    pub metrics: Option<u16>,
    /// How jobs of steps are scheduled; only the control role reads this.
    pub policy: JobPolicy,
}

/// Options of the command line.
struct Flags {
    role: RoleFlags,
    log: Option<String>,
    check: bool,
    help: bool,
}

fn parse_flags(mut args: pico_args::Arguments) -> Result<Flags> {
    let flags = Flags {
        role: RoleFlags {
            metrics: args.opt_value_from_str("--metrics").map_err(Error::Arguments)?,
            policy: JobPolicy {
                run_times: args
                    .opt_value_from_fn("--run-times", parse_run_times)
                    .map_err(Error::Arguments)?
                    .unwrap_or_default(),
                overload: args
                    .opt_value_from_fn("--overload", parse_overload)
                    .map_err(Error::Arguments)?
                    .unwrap_or_default(),
            },
        },
        log: args.opt_value_from_str("--log").map_err(Error::Arguments)?,
        check: args.contains("--check"),
        help: args.contains("--help"),
    };
    match args.finish().first() {
        Some(other) => Err(Error::Argument(other.to_string_lossy().into_owned())),
        None => Ok(flags),
    }
}

fn parse_run_times(text: &str) -> std::result::Result<RunTimes, String> {
    RunTimes::try_from(text).map_err(|e| format!("--run-times: {e}"))
}

fn parse_overload(text: &str) -> std::result::Result<Overload, String> {
    Overload::try_from(text).map_err(|e| format!("--overload: {e}"))
}

impl<S, E: Display> Program<S, E> {
    /// Reads the command line and the settings and runs `serve` with the settings and the options of
    /// the command line.
    pub fn run<F: Future<Output = Result<()>>>(
        &self,
        args: pico_args::Arguments,
        serve: impl FnOnce(S, RoleFlags) -> F,
    ) -> ExitCode {
        match parse_flags(args).and_then(|f| self.start(&f, serve)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                ExitCode::FAILURE
            }
        }
    }

    fn start<F: Future<Output = Result<()>>>(
        &self,
        flags: &Flags,
        serve: impl FnOnce(S, RoleFlags) -> F,
    ) -> Result<()> {
        if flags.help {
            print!("{}{FLAGS_HELP}", self.about);
            return Ok(());
        }
        let settings = (self.load)().map_err(|e| Error::Settings(e.to_string()))?;
        if flags.check {
            println!("no faults");
            return Ok(());
        }
        let level = flags.log.as_deref().unwrap_or("info");
        let _logs = telemetry::start_logs(level).map_err(Error::Logs)?;
        telemetry::start_metrics().map_err(Error::Metrics)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Runtime)?;
        runtime.block_on(LocalSet::new().run_until(serve(settings, flags.role)))
    }
}
