//! Stand-ins for clients, the operator, workers and the platform, and the cases of the review.
//!
//! `standin CASE FOLDER` runs a case and writes `FOLDER/record.txt`. It exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment there is no disruption.

mod base;
mod cases;
mod worker;

use std::{panic, process::exit, thread, time::Duration};

/// Longest time of a case in seconds.
const LIMIT_S: u64 = 115;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("standin CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    base::start_record(&format!("{folder}/record.txt"));
    base::note(format!("case {case}, disruption: {trouble}"));
    let Some((deployment, run)) = cases::find(case) else {
        eprintln!("no such case");
        exit(2);
    };
    let deployment = std::sync::Arc::new(deployment());
    let (case_deployment, watched) = (deployment.clone(), deployment.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(LIMIT_S));
        base::note("the time of the script is over");
        watched.stop();
        exit(2);
    });
    let result = panic::catch_unwind(panic::AssertUnwindSafe(|| run(&case_deployment, trouble)));
    deployment.stop();
    let (code, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(what)) => (1, format!("the rule was broken: {what}")),
        Ok(Verdict::NotRun(why)) => (2, format!("the case could not run: {why}")),
        Err(_) => (2, "the case could not run: a stand-in failed".to_owned()),
    };
    base::note(&text);
    println!("{text}");
    exit(code);
}
