//! Help texts of the program and of each command.

use {
    crate::error::{Error, Exit, Result},
    std::fmt::Write,
};

/// Help text of one command.
struct CommandHelp {
    name: &'static str,
    usage: &'static str,
    summary: &'static str,
    body: &'static str,
    examples: &'static [&'static str],
}

static COMMANDS: &[CommandHelp] = &[
    CommandHelp {
        name: "check",
        usage: "check DIR… [--deployment FILE]",
        summary: "check service files without the system",
        body: "Reads every service.ini under the folders and lists all faults with file, line and \
               key.\nA deployment.ini in the nearest folder above a service.ini, or the one \
               named, is checked as well:\neach kind must fit its workers, and \
               all guarantees must fit at once, less the reserve.",
        examples: &["check examples/registry", "check services --deployment site/deployment.ini"],
    },
    CommandHelp {
        name: "publish",
        usage: "publish DIR… [--remove SERVICE] [--base REV] [--op ID] [--wait]",
        summary: "put service files into force",
        body: "Checks the files, then sends them as one change.\n\
               --remove SERVICE  take a service out; may be repeated, also without a folder\n\
               --base REV  refuse the change if the revision in force is another one\n\
               --op ID     operation id; the same id never makes the change twice\n\
               --wait      return when every process has the change in force",
        examples: &[
            "publish examples/registry --at 10.0.0.11:8081 --wait",
            "publish services --base 17",
            "publish services --base 17 --op op-4f1c2a90",
        ],
    },
    CommandHelp {
        name: "status",
        usage: "status",
        summary: "show instances, sessions and the revision in force",
        body: "Shows what the entry instance sees of the system.",
        examples: &["status --at 10.0.0.11:8081", "status --json"],
    },
    CommandHelp {
        name: "jobs",
        usage: "jobs",
        summary: "list jobs",
        body: "Lists queued, running and lately ended jobs.",
        examples: &["jobs", "jobs --json"],
    },
    CommandHelp {
        name: "explain",
        usage: "explain JOB",
        summary: "explain the state of a job",
        body: "Tells what a job waits for, where it runs, or why it ended.",
        examples: &["explain job-17"],
    },
    CommandHelp {
        name: "drain",
        usage: "drain INSTANCE | --center NAME [--restore] [--base REV]",
        summary: "stop an instance or a data centre from accepting new work",
        body: "The instance's agent refuses new work at once and finishes what is in flight.\n\
               --center NAME  drain a whole data centre, until it is restored; new work goes to \
               the others\n\
               --restore      let the data centre take new work again\n\
               --base REV     refuse the change if the data centre was changed since this revision",
        examples: &[
            "drain sundarban-r1-w2",
            "drain --center sundarban",
            "drain --center sundarban --restore",
        ],
    },
    CommandHelp {
        name: "cancel",
        usage: "cancel JOB…",
        summary: "cancel jobs",
        body: "Cancels each job. Jobs that could not be cancelled are listed, and the exit code is \
               that of the first of them.",
        examples: &["cancel job-17", "cancel job-17 job-18 job-19"],
    },
    CommandHelp {
        name: "report",
        usage: "report [--html FILE | --svg FILE]",
        summary: "show the burn of service-level targets",
        body: "Shows for each kind the share of good answers, the error budget left, and the burn \
               rate over a short and a long window.\nA burn rate of 1 spends the budget exactly; \
               above 1 it runs out early.",
        examples: &["report", "report --html burn.html", "report --json"],
    },
    CommandHelp {
        name: "trace",
        usage: "trace ID [FILE…]",
        summary: "print the log lines about one job",
        body: "Reads the log files of any number of processes, or standard input, and prints the \
               lines about one job in causal order, since clocks differ: submission, runs \
               by number, cancellation, answers, end.",
        examples: &[
            "trace 5c0e7a21d94b36f8 control-*.log agent-*.log",
            "trace 5c0e7a21d94b36f8 < all.log",
        ],
    },
];

const HEADER: &str = "bronzespool: operate a bronzespool system\n\n\
                    usage: bronzespool COMMAND [ARGUMENTS] [OPTIONS]\n\ncommands:\n";

const OPTIONS: &str = "
options:
  --at IP:PORT        operators' address of an entry instance (else $BRONZESPOOL_AT)
  --timeout DURATION  longest wait for an answer, such as 500ms (30s when left out, 60s with --wait)
  --json              print JSON instead of text
  -h, --help          print this, or the help of a command
";

/// Returns the help text of `command`, or of the whole program if `command` is `None`.
///
/// # Errors
///
/// Returns [`Error::Usage`] if there is no such command.
pub fn help_text(command: Option<&str>) -> Result<String> {
    match command {
        None => Ok(program_help()),
        Some(name) => match COMMANDS.iter().find(|help| help.name == name) {
            Some(help) => Ok(command_help(help)),
            None => Err(unknown_command(name)),
        },
    }
}

/// Error for a command name that does not exist; it lists the valid names.
pub(super) fn unknown_command(name: &str) -> Error {
    let names: Vec<_> = COMMANDS.iter().map(|help| help.name).collect();
    Error::Usage(format!("unknown command '{name}': use one of {}", names.join(", ")))
}

fn program_help() -> String {
    let mut text = HEADER.to_owned();
    for help in COMMANDS {
        let _ = writeln!(text, "  bronzespool {:<46} {}", help.usage, help.summary);
    }
    text.push_str(OPTIONS);
    text.push_str(&exit_codes_help());
    text
}

fn command_help(help: &CommandHelp) -> String {
    let mut text = format!("usage: bronzespool {} [OPTIONS]\n\n{}\n\n", help.usage, help.body);
    text.push_str("examples:\n");
    for example in help.examples {
        let _ = writeln!(text, "  bronzespool {example}");
    }
    text.push_str(OPTIONS);
    text.push_str(&exit_codes_help());
    text
}

fn exit_codes_help() -> String {
    let lines = Exit::ALL.iter().map(|exit| format!("  {}  {}\n", exit.number(), exit.help()));
    format!("\nexit codes:\n{}", lines.collect::<String>())
}
