//! Options of the command line of an adapter's program.

use {
    bronzespoold::batch::role::Program,
    std::{convert::Infallible, ffi::OsString, process::ExitCode},
};

/// Checks a command line; it does not run the role.
fn check(args: &[&str]) -> ExitCode {
    let program = Program { name: "test", about: "", load: || Ok::<(), Infallible>(()) };
    let args = args.iter().chain(&["--check"]).map(OsString::from).collect();
    program.run(pico_args::Arguments::from_vec(args), |(), _| async { unreachable!() })
}

// A misspelt value must not start a control instance that decides otherwise than the others.
#[test]
fn run_unknown_run_times_are_refused() {
    assert_eq!(check(&[]), ExitCode::SUCCESS);
    assert_eq!(check(&["--run-times", "declared"]), ExitCode::SUCCESS);
    assert_eq!(check(&["--run-times", "learned"]), ExitCode::SUCCESS);
    assert_eq!(check(&["--run-times", "learnt"]), ExitCode::FAILURE);
    assert_eq!(check(&["--run-times"]), ExitCode::FAILURE);
}
