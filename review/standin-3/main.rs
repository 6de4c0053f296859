//! Runs a case of the review: `standin-3 CASE`. Exits with 1 if the rule was broken, 0 if it held, 2
//! if the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod cluster;
mod http;
mod json;
mod machines;
mod record;
mod worker;

use {
    cluster::record_path,
    record::Record,
    std::{process::ExitCode, thread, time::Duration},
};

/// Longest time of a case.
const TIME_MAX: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let Ok(record) = Record::create(&record_path(&case)) else {
        eprintln!("no folder for the record of case {case}");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        eprintln!("the case took too long");
        cluster::kill_started();
        std::process::exit(2);
    });
    let result = cases::run(&case, trouble, &record);
    let (text, code) = match result {
        Ok(broken) if broken.is_empty() => ("the rule held".to_owned(), 0),
        Ok(broken) => (format!("broken: {}", broken.join("; ")), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
