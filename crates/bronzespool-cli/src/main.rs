//! Binary of the operators' command line.

use std::{env, io, process::ExitCode};

fn main() -> ExitCode {
    let args = env::args_os().skip(1).collect();
    let at = env::var(bronzespool_cli::AT_VARIABLE).ok();
    let exit = bronzespool_cli::run(args, at, &mut io::stdout(), &mut io::stderr());
    ExitCode::from(exit.number())
}
