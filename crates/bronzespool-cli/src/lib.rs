//! The bronzespool operators' command line.
//!
//! Each command reads service files, or queries the operators' interface of an entry instance, and
//! returns an [`Output`] that holds the result both as text and as JSON.
//!
//! ```
//! use bronzespool_cli::{Exit, run};
//!
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let exit = run(vec!["--help".into()], None, &mut out, &mut err);
//! assert_eq!(exit, Exit::Done);
//! assert!(String::from_utf8(out).unwrap().contains("bronzespool publish"));
//! ```

pub mod args;
pub mod client;
pub mod command;
pub mod error;
pub mod output;
pub mod report;

pub use {
    args::AT_VARIABLE,
    error::{Error, Exit, Result},
};

use {
    args::{Args, Command, help},
    output::Output,
    std::{ffi::OsString, io::Write},
    tokio::runtime::Builder,
};

/// Runs one command line. The result is written to `out`, progress messages and errors to `err`;
/// with `--json`, errors are written to `out` too.
///
/// `at` is the address from the environment, used if the arguments have none.
pub fn run(
    args: Vec<OsString>,
    at: Option<String>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    let args = match Args::parse(args, at) {
        Ok(args) => args,
        Err(error) => return report_error(&error, false, out, err),
    };
    let json = args.json;
    match run_command(args, err) {
        Ok(output) => {
            let text = if json { output.json_text() } else { output.text };
            print(out, &text);
            output.exit
        }
        Err(error) => report_error(&error, json, out, err),
    }
}

fn run_command(args: Args, notes: &mut impl Write) -> Result<Output> {
    if let Command::Help(command) = &args.command {
        return Ok(Output::text(help::help_text(command.as_deref())?));
    }
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::Runtime)?;
    runtime.block_on(command::execute(args, notes))
}

fn report_error(error: &Error, json: bool, out: &mut impl Write, err: &mut impl Write) -> Exit {
    if json {
        print(out, &error.json().to_string());
    } else {
        print(err, &error.to_string());
    }
    error.exit()
}

/// Writes `text` and a newline. Write errors are ignored: the reader may have closed the pipe.
fn print(to: &mut impl Write, text: &str) {
    let _ = writeln!(to, "{}", text.trim_end());
}
