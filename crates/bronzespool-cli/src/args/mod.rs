//! Parsing of the command-line arguments.

pub mod help;

use {
    crate::error::{Error, Result},
    bronzespool::core::{
        name::{Center, Instance, Job, Service},
        settings::value::{Addr, Span},
    },
    pico_args::Arguments,
    std::{ffi::OsString, fmt::Display, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Environment variable with the address of the entry instance, used if `--at` is absent.
pub const AT_VARIABLE: &str = "BRONZESPOOL_AT";
/// Response timeout if `--timeout` is absent.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Response timeout of `publish --wait` if `--timeout` is absent. It is longer because the entry
/// instance responds only once the change is in force.
pub const PUBLISH_WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A parsed and validated command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Args {
    /// Address of the operators' interface of an entry instance.
    pub at: Option<SocketAddr>,
    /// Print JSON instead of text.
    pub json: bool,
    /// Longest wait for a response.
    pub timeout: Duration,
    /// The command to run.
    pub command: Command,
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print the help of the program or of the named command.
    Help(Option<String>),
    /// Check service files offline.
    Check {
        /// Service files, or folders that hold them.
        paths: Vec<PathBuf>,
        /// Deployment file to check against. If absent, the nearest one above each service file is
        /// used, if any.
        deployment: Option<PathBuf>,
    },
    /// Publish service files as the new configuration.
    Publish(Publish),
    /// Show instances, sessions and the revision in force.
    Status,
    /// List jobs.
    Jobs,
    /// Explain what a job waits for, where it runs, or why it ended.
    Explain(Job),
    /// Drain an instance: it accepts no new work.
    Drain(Instance),
    /// Drain or restore a data centre.
    ChangeCenter(CenterOrder),
    /// Cancel jobs.
    Cancel(Vec<Job>),
    /// Show the burn rates of the service-level targets, or write them to a file.
    Report(Option<ReportFile>),
    /// Print the log lines about one job in causal order.
    Trace {
        /// Id of the job, or a part of it.
        id: String,
        /// Log files; standard input is read if there are none.
        files: Vec<PathBuf>,
    },
}

impl Command {
    /// Response timeout of the command if `--timeout` is absent.
    const fn default_timeout(&self) -> Duration {
        match self {
            Self::Publish(Publish { wait: true, .. }) => PUBLISH_WAIT_TIMEOUT,
            _ => DEFAULT_TIMEOUT,
        }
    }
}

/// Arguments of `publish`: one change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publish {
    /// Service files, or folders that hold them.
    pub paths: Vec<PathBuf>,
    /// Revision that the change is based on; another revision in force is a conflict.
    pub base: Option<u64>,
    /// Operation id; a random one is generated if absent.
    pub op: Option<String>,
    /// Services to remove.
    pub remove: Vec<Service>,
    /// Wait until the change is in force everywhere.
    pub wait: bool,
}

/// Arguments of `drain --center`: one change of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CenterOrder {
    /// The data centre.
    pub center: Center,
    /// Whether it is drained or restored.
    pub drained: bool,
    /// Revision that the change is based on; the current one if absent.
    pub base: Option<u64>,
}

/// Output file of the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportFile {
    /// HTML page with table and plot.
    Html(PathBuf),
    /// SVG file with the plot only.
    Svg(PathBuf),
}

impl Args {
    /// Parses a command line; `at` is the address from the environment.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] for an argument that is missing, unknown or malformed.
    pub fn parse(args: Vec<OsString>, at: Option<String>) -> Result<Self> {
        let mut args = Arguments::from_vec(args);
        let help = args.contains(["-h", "--help"]);
        let json = args.contains("--json");
        let timeout = args.opt_value_from_fn("--timeout", parse_duration).map_err(usage_error)?;
        let from_args = args.opt_value_from_fn("--at", parse_addr).map_err(usage_error)?;
        let command = args.subcommand().map_err(usage_error)?;
        let command = match command.as_deref() {
            None | Some("help") => Command::Help(args.subcommand().map_err(usage_error)?),
            Some(name) if help => Command::Help(Some(name.to_owned())),
            Some(name) => read_command(name, &mut args)?,
        };
        if !matches!(command, Command::Help(_)) {
            reject_remaining(args)?;
        }
        let at = match at.filter(|_| from_args.is_none()) {
            Some(text) => {
                Some(parse_addr(&text).map_err(|e| Error::Usage(format!("{AT_VARIABLE}: {e}")))?)
            }
            None => from_args,
        };
        let timeout = timeout.unwrap_or_else(|| command.default_timeout());
        Ok(Self { at, json, timeout, command })
    }
}

fn read_command(name: &str, args: &mut Arguments) -> Result<Command> {
    match name {
        "check" => {
            let deployment = read_path_option(args, "--deployment")?;
            Ok(Command::Check { deployment, paths: read_paths(args, name)? })
        }
        "publish" => read_publish(args).map(Command::Publish),
        "status" => Ok(Command::Status),
        "jobs" => Ok(Command::Jobs),
        "explain" => {
            required_arg(args, "explain JOB", |text| Job::try_from(text)).map(Command::Explain)
        }
        "drain" => read_drain(args),
        "cancel" => read_cancel(args),
        "report" => read_report(args),
        "trace" => read_trace(args),
        _ => Err(help::unknown_command(name)),
    }
}

fn read_publish(args: &mut Arguments) -> Result<Publish> {
    let base = args.opt_value_from_str("--base").map_err(usage_error)?;
    let op = args.opt_value_from_fn("--op", parse_operation_id).map_err(usage_error)?;
    let wait = args.contains("--wait");
    let mut remove = Vec::new();
    let service = |text: &str| Service::try_from(text);
    while let Some(name) = args.opt_value_from_fn("--remove", service).map_err(usage_error)? {
        remove.push(name);
    }
    let paths = match read_paths(args, "publish") {
        Err(_) if !remove.is_empty() => Vec::new(),
        paths => paths?,
    };
    Ok(Publish { base, op, remove, wait, paths })
}

fn read_drain(args: &mut Arguments) -> Result<Command> {
    let center = |text: &str| Center::try_from(text);
    let center = args.opt_value_from_fn("--center", center).map_err(usage_error)?;
    let restore = args.contains("--restore");
    let base = args.opt_value_from_str("--base").map_err(usage_error)?;
    match center {
        Some(center) => Ok(Command::ChangeCenter(CenterOrder { center, drained: !restore, base })),
        None if restore || base.is_some() => {
            Err(Error::Usage("--restore and --base need --center NAME".to_owned()))
        }
        None => required_arg(args, "drain INSTANCE", |text| Instance::try_from(text))
            .map(Command::Drain),
    }
}

fn read_cancel(args: &mut Arguments) -> Result<Command> {
    let mut jobs = vec![required_arg(args, "cancel JOB…", |text| Job::try_from(text))?];
    while let Some(job) = args.opt_free_from_fn(|text| Job::try_from(text)).map_err(usage_error)? {
        jobs.push(job);
    }
    Ok(Command::Cancel(jobs))
}

fn read_report(args: &mut Arguments) -> Result<Command> {
    match (read_path_option(args, "--html")?, read_path_option(args, "--svg")?) {
        (Some(_), Some(_)) => Err(Error::Usage("--html and --svg exclude each other".to_owned())),
        (Some(path), None) => Ok(Command::Report(Some(ReportFile::Html(path)))),
        (None, Some(path)) => Ok(Command::Report(Some(ReportFile::Svg(path)))),
        (None, None) => Ok(Command::Report(None)),
    }
}

fn read_trace(args: &mut Arguments) -> Result<Command> {
    let id = required_arg(args, "trace ID [FILE…]", parse_trace_id)?;
    let mut files = Vec::new();
    while let Some(path) = args.opt_free_from_os_str(parse_path).map_err(usage_error)? {
        files.push(path);
    }
    Ok(Command::Trace { id, files })
}

/// Accepts any part of a job id, but none so short that it would match most log lines.
fn parse_trace_id(text: &str) -> std::result::Result<String, String> {
    const CHARS_MIN: usize = 6;
    if text.len() < CHARS_MIN {
        return Err(format!(
            "an id needs at least {CHARS_MIN} characters, '{text}' has {}",
            text.len()
        ));
    }
    Ok(text.to_owned())
}

/// Reads the remaining free arguments as paths; at least one is required.
fn read_paths(args: &mut Arguments, command: &str) -> Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    while let Some(path) = args.opt_free_from_os_str(parse_path).map_err(usage_error)? {
        paths.push(path);
    }
    if paths.is_empty() {
        return Err(Error::Usage(format!("{command} needs at least one folder or file")));
    }
    Ok(paths)
}

fn read_path_option(args: &mut Arguments, key: &'static str) -> Result<Option<PathBuf>> {
    args.opt_value_from_fn(key, |text| parse_path(text.as_ref())).map_err(usage_error)
}

fn parse_path(text: &std::ffi::OsStr) -> std::result::Result<PathBuf, String> {
    if text.to_string_lossy().starts_with('-') {
        return Err(format!("unknown option {}", text.display()));
    }
    Ok(text.into())
}

fn required_arg<T, E: Display>(
    args: &mut Arguments,
    usage: &str,
    read: fn(&str) -> std::result::Result<T, E>,
) -> Result<T> {
    let value = args.opt_free_from_fn(read).map_err(usage_error)?;
    value.ok_or_else(|| Error::Usage(format!("missing argument: use 'bronzespool {usage}'")))
}

fn reject_remaining(args: Arguments) -> Result<()> {
    match args.finish().first() {
        Some(arg) => Err(Error::Usage(format!("unexpected argument '{}'", arg.display()))),
        None => Ok(()),
    }
}

fn parse_addr(text: &str) -> std::result::Result<SocketAddr, String> {
    Addr::try_from(text).map(|addr| addr.0).map_err(|error| error.to_string())
}

fn parse_duration(text: &str) -> std::result::Result<Duration, String> {
    Span::try_from(text).map(|span| span.0).map_err(|error| error.to_string())
}

/// Parses an operation id. It has the syntax of a job name, so that it is safe to print in logs
/// and to pass through a shell.
fn parse_operation_id(text: &str) -> std::result::Result<String, String> {
    let job = Job::try_from(text).map_err(|error| format!("operation id: {error}"))?;
    Ok(job.into())
}

fn usage_error(error: pico_args::Error) -> Error {
    Error::Usage(error.to_string())
}
