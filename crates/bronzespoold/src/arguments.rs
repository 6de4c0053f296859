//! The daemon's command line.

use {pico_args::Arguments, std::path::PathBuf};

/// Text that `--help` prints.
pub(crate) const HELP: &str = "\
bronzespoold: one process of a bronzespool cluster

Usage: bronzespoold --settings FILE [--check]

  --settings FILE  settings in INI form; their role says what the process does
  --check          read the settings, print their faults and end
  --version        print the version
  --help           print this text

Examples:
  bronzespoold --settings /etc/bronzespool/control.ini
  bronzespoold --settings entry.ini --check

Signals: SIGTERM and SIGINT stop gracefully; a second one ends at once.
Exit codes: 0 stopped as told, 1 failed while running, 2 wrong arguments or settings.
";

/// The action that the command line selects.
pub(crate) enum Command {
    /// Print a text and exit.
    Print(String),
    /// Read the settings, then run the process or only check them.
    Run {
        /// The settings file.
        file: PathBuf,
        /// Whether to exit after checking the settings.
        check: bool,
    },
}

/// Parses the command line.
///
/// # Errors
///
/// If `--settings` is missing or an argument is unknown.
pub(crate) fn parse(mut args: Arguments) -> Result<Command, pico_args::Error> {
    if args.contains("--help") {
        return Ok(Command::Print(HELP.to_owned()));
    }
    if args.contains("--version") {
        return Ok(Command::Print(format!("bronzespoold {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let check = args.contains("--check");
    let file = args.value_from_str("--settings")?;
    let rest = args.finish();
    match rest.first() {
        Some(extra) => {
            Err(pico_args::Error::ArgumentParsingFailed { cause: format!("unknown: {extra:?}") })
        }
        None => Ok(Command::Run { file, check }),
    }
}
