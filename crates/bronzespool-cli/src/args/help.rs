//! Help for the program and for each command, with examples.

use {
    crate::error::{Error, Exit, Result},
    std::fmt::Write,
};

/// Help of one command.
struct Topic {
    name: &'static str,
    form: &'static str,
    short: &'static str,
    long: &'static str,
    examples: &'static [&'static str],
}

static TOPICS: &[Topic] = &[
    Topic {
        name: "check",
        form: "check DIR… [--deployment FILE]",
        short: "check service files without the system",
        long: "Reads every service.ini under the folders and lists all faults with file, line and \
               key.\nA deployment.ini in the nearest folder above a service.ini, or the one \
               named, is checked as well:\neach kind must fit its workers, and \
               all guarantees must fit at once, less the reserve.",
        examples: &["check examples/registry", "check services --deployment site/deployment.ini"],
    },
    Topic {
        name: "publish",
        form: "publish DIR… [--remove SERVICE] [--base REV] [--op ID] [--wait]",
        short: "put service files into force",
        long: "Checks the files, then sends them as one change.\n\
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
    Topic {
        name: "status",
        form: "status",
        short: "show instances, sessions and the revision in force",
        long: "Shows what the entry instance sees of the system.",
        examples: &["status --at 10.0.0.11:8081", "status --json"],
    },
    Topic {
        name: "jobs",
        form: "jobs",
        short: "list jobs",
        long: "Lists queued, running and lately ended jobs.",
        examples: &["jobs", "jobs --json"],
    },
    Topic {
        name: "explain",
        form: "explain JOB",
        short: "tell why a job is where it is",
        long: "Tells what a job waits for, where it runs, or why it ended.",
        examples: &["explain job-17"],
    },
    Topic {
        name: "drain",
        form: "drain INSTANCE",
        short: "let an instance take no new work",
        long: "The instance's agent refuses new work at once and finishes what is in flight.",
        examples: &["drain sundarban-r1-w2"],
    },
    Topic {
        name: "cancel",
        form: "cancel JOB…",
        short: "cancel jobs",
        long: "Cancels each job. Jobs that could not be cancelled are listed, and the exit code is \
               that of the first of them.",
        examples: &["cancel job-17", "cancel job-17 job-18 job-19"],
    },
    Topic {
        name: "report",
        form: "report [--html FILE | --svg FILE]",
        short: "show the burn of service-level targets",
        long: "Shows for each kind the share of good answers, the error budget left, and the burn \
               rate over a short and a long window.\nA burn rate of 1 spends the budget exactly; \
               above 1 it runs out early.",
        examples: &["report", "report --html burn.html", "report --json"],
    },
    Topic {
        name: "trace",
        form: "trace ID [FILE…]",
        short: "pick the story of a job out of logs",
        long: "Reads the log files of any number of processes, or standard input, and prints the \
               lines about one job in the order of cause, since clocks differ: submission, runs \
               by number, cancellation, answers, end.",
        examples: &[
            "trace 5c0e7a21d94b36f8 control-*.log agent-*.log",
            "trace 5c0e7a21d94b36f8 < all.log",
        ],
    },
];

const HEAD: &str = "bronzespool: operate a bronzespool system\n\n\
                    usage: bronzespool COMMAND [ARGUMENTS] [OPTIONS]\n\ncommands:\n";

const OPTIONS: &str = "
options:
  --at IP:PORT        operators' address of an entry instance (else $BRONZESPOOL_AT)
  --timeout DURATION  longest wait for an answer, such as 500ms (30s when left out, 60s with --wait)
  --json              print for a program
  -h, --help          print this, or the help of a command
";

/// Help of the program, or of the command `topic`.
///
/// # Errors
///
/// No such command.
pub fn text(topic: Option<&str>) -> Result<String> {
    match topic {
        None => Ok(program()),
        Some(name) => match TOPICS.iter().find(|topic| topic.name == name) {
            Some(topic) => Ok(command(topic)),
            None => Err(unknown(name)),
        },
    }
}

/// The fault of a command that does not exist.
pub(super) fn unknown(name: &str) -> Error {
    let names: Vec<_> = TOPICS.iter().map(|topic| topic.name).collect();
    Error::Usage(format!("'{name}' is no command: use one of {}", names.join(", ")))
}

fn program() -> String {
    let mut text = HEAD.to_owned();
    for topic in TOPICS {
        let _ = writeln!(text, "  bronzespool {:<46} {}", topic.form, topic.short);
    }
    text.push_str(OPTIONS);
    text.push_str(&exits());
    text
}

fn command(topic: &Topic) -> String {
    let mut text = format!("usage: bronzespool {} [OPTIONS]\n\n{}\n\n", topic.form, topic.long);
    text.push_str("examples:\n");
    for example in topic.examples {
        let _ = writeln!(text, "  bronzespool {example}");
    }
    text.push_str(OPTIONS);
    text.push_str(&exits());
    text
}

fn exits() -> String {
    let lines = Exit::ALL.iter().map(|exit| format!("  {}  {}\n", exit.number(), exit.help()));
    format!("\nexit codes:\n{}", lines.collect::<String>())
}
