//! Log lines about one job.

mod support;

use std::process::{Command, Output};

/// Logs of a control instance and an agent whose clocks differ, with lines of another job. Sorting
/// by time would give the wrong order.
const CONTROL: &str = r#"{"timestamp":"10:00:05","text":"a job has ended","kv":{"job":"00000000000000aa","phase":"Completed","took_ms":900}}
{"timestamp":"10:00:03","text":"a run has ended","kv":{"job":"00000000000000aa","run":"00000000000000aa.0.0.0#1","life":"w0@1","how":"stopped"}}
{"timestamp":"10:00:01","text":"a job was submitted","kv":{"job":"00000000000000aa","queue":"quota"}}
{"timestamp":"10:00:02","text":"a run is to be stopped","kv":{"job":"00000000000000aa","run":"00000000000000aa.0.0.0#1","cause":"reclaimed","by":"00000000000000bb"}}
{"timestamp":"10:00:02","text":"a run was given to a worker","kv":{"job":"00000000000000aa","run":"00000000000000aa.0.0.0#1","life":"w0@1"}}
{"timestamp":"10:00:04","text":"a run was given to a worker","kv":{"job":"00000000000000aa","run":"00000000000000aa.0.0.0#2","life":"w1@1"}}
{"timestamp":"10:00:04","text":"a job was submitted","kv":{"job":"00000000000000bb","queue":"quota"}}
not a line of the log
"#;
const AGENT: &str = r#"  12.5 side-1 {"timestamp":"09:59:00","text":"a stop was ordered","kv":{"run":"00000000000000aa.0.0.0#1","verdict":"Noted"}}
  12.1 side-1 {"timestamp":"11:30:00","text":"a start was ordered","kv":{"run":"00000000000000aa.0.0.0#1","verdict":"Present"}}
"#;

fn trace(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bronzespool")).arg("trace").args(args).output().unwrap()
}

#[test]
fn trace_lines_are_in_causal_order() {
    let folder = tempfile::tempdir().unwrap();
    let control = folder.path().join("control.log");
    let agent = folder.path().join("agent.log");
    std::fs::write(&control, CONTROL).unwrap();
    std::fs::write(&agent, AGENT).unwrap();
    let files = [agent.to_str().unwrap(), control.to_str().unwrap()];
    let output = trace(&["00000000000000aa", files[0], files[1]]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let shown: Vec<&str> = text.lines().map(|l| l.split_once(": ").unwrap().0).collect();
    let expected = [
        "10:00:01 control a job was submitted",
        "10:00:02 control a run was given to a worker",
        "11:30:00 side-1 a start was ordered",
        "10:00:02 control a run is to be stopped",
        "09:59:00 side-1 a stop was ordered",
        "10:00:03 control a run has ended",
        "10:00:04 control a run was given to a worker",
        "10:00:05 control a job has ended",
    ];
    assert_eq!(shown, expected);
}

#[test]
fn trace_short_id_or_missing_file_is_refused() {
    assert_eq!(trace(&["00"]).status.code(), Some(2));
    assert!(!trace(&["00000000000000aa", "no-such-file"]).status.success());
}
