//! Plays one case of the review against the project's programs: `standin CASE FOLDER`, from the
//! repository. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod cluster;
mod http;
mod json;
mod proxy;
mod record;
mod worker;

use {
    record::Record,
    std::{path::Path, process::ExitCode, thread},
};

fn main() -> ExitCode {
    let status = std::panic::catch_unwind(play);
    status.unwrap_or_else(|_| ExitCode::from(2))
}

fn play() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { cluster::cannot_run("two arguments are needed") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::new(&Path::new(folder).join("record.txt")) else {
        cluster::cannot_run("the record cannot be written")
    };
    let root = std::env::current_dir().expect("the repository");
    let case = cases::find(case).unwrap_or_else(|| cluster::cannot_run("no such case"));
    let played = {
        let record = record.clone();
        thread::spawn(move || case(&root, record, trouble))
    };
    match played.join() {
        Ok(true) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(_) => ExitCode::from(2),
    }
}
