//! The bronzespool daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    bronzespoold::run(pico_args::Arguments::from_env())
}
