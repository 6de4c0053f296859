//! Arguments, help and exit codes.

mod support;

use {bronzespool_cli::Exit, support::Run};

fn offline(args: &str) -> Run {
    Run::new(args, None)
}

#[test]
fn run_help_lists_commands_and_exit_codes() {
    let run = offline("--help");
    assert_eq!(run.exit, Exit::Done);
    for text in ["check", "publish", "status", "jobs", "explain", "drain", "cancel", "report"] {
        assert!(run.out.contains(&format!("bronzespool {text}")), "{text}");
    }
    for exit in Exit::ALL {
        assert!(run.out.contains(&format!("  {}  {}\n", exit.number(), exit.help())));
    }
}

#[test]
fn run_command_help_shows_examples() {
    for command in ["check", "publish", "status", "jobs", "explain", "drain", "cancel", "report"] {
        for args in [format!("{command} --help"), format!("help {command}")] {
            let run = offline(&args);
            assert_eq!(run.exit, Exit::Done, "{args}");
            assert!(run.out.contains(&format!("examples:\n  bronzespool {command}")), "{args}");
        }
    }
}

#[test]
fn run_bad_arguments_exit_as_usage() {
    let cases = [
        "chek x",
        "check",
        "publish --wait",
        "publish x --base seven",
        "publish x --op A",
        "drain",
        "drain Big",
        "drain --restore",
        "drain w-1 --base 3",
        "drain --center Big",
        "drain --center couva w-1",
        "explain",
        "cancel",
        "status extra",
        "status --at localhost:1",
        "jobs --jso",
        "report --html a --svg b",
        "status --timeout 5",
        "check --deploymen a",
        "help nothing",
    ];
    for args in cases {
        let run = offline(args);
        assert_eq!(run.exit, Exit::Usage, "{args}: {run:?}");
        assert!(run.out.is_empty() && !run.err.is_empty(), "{args}");
    }
}

#[test]
fn run_without_address_says_how_to_name_it() {
    let run = offline("status");
    assert_eq!(run.exit, Exit::Usage);
    assert!(run.err.contains("--at IP:PORT or BRONZESPOOL_AT"), "{}", run.err);
}

#[test]
fn run_bad_address_of_environment_names_variable() {
    let run = Run::new("status", Some("nowhere".to_owned()));
    assert_eq!(run.exit, Exit::Usage);
    assert!(run.err.contains("BRONZESPOOL_AT"), "{}", run.err);
}
