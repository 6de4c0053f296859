//! `trace`: collects the log lines about one job from the logs of any number of processes.

use {
    crate::{
        error::{Error, Result},
        output::Output,
    },
    bronzespool_telemetry::{
        Event,
        event::{
            JobCancelled, JobEnded, JobSubmitted, RunAssigned, RunEnded, RunRefused, RunStopping,
            StartOrdered, StartRefused, StartUnanswered, StopOrdered, StopRefused, StopUnanswered,
        },
    },
    serde_json::Value,
    std::{io::Read, path::PathBuf},
};

/// Position of a line in causal order. Lines are sorted by stage first, and by time only within a
/// stage, since the clocks of the processes differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Submitted,
    /// Number of the run and its step: 0 assigned, 1 start ordered, 2 stopping, 3 stop ordered,
    /// 4 ended.
    Run(u64, u8),
    Cancelled,
    Answered,
    Ended,
}

/// One log line about the job.
struct LogLine {
    stage: Stage,
    time: String,
    source: String,
    value: Value,
}

/// Returns the lines about a job from `files`, or from standard input if there are none.
pub(super) fn run(id: &str, files: &[PathBuf]) -> Result<Output> {
    let mut lines = Vec::new();
    if files.is_empty() {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|error| Error::Read { path: "standard input".into(), error })?;
        lines.extend(text.lines().filter_map(|l| parse_line(l, "", id)));
    }
    for file in files {
        let path = file.clone();
        let text = std::fs::read_to_string(file).map_err(|error| Error::Read { path, error })?;
        let name = file.file_stem().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        lines.extend(text.lines().filter_map(|l| parse_line(l, &name, id)));
    }
    lines.sort_by(|a, b| (a.stage, &a.time).cmp(&(b.stage, &b.time)));
    let text: Vec<String> = lines.iter().map(format_line).collect();
    let value = Value::Array(lines.into_iter().map(|l| l.value).collect());
    Ok(Output { text: text.join("\n"), ..Output::value(value) })
}

/// Parses a line and returns it if it is about the job. The last word before the JSON object names
/// the source of the line; without one, `file` does.
fn parse_line(line: &str, file: &str, id: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let (prefix, json) = line.split_at(start);
    let value: Value = serde_json::from_str(json).ok()?;
    let mentions = |key: &str| value["kv"][key].as_str().is_some_and(|t| t.contains(id));
    if !["job", "run", "path"].into_iter().any(mentions) {
        return None;
    }
    let source = prefix.split_whitespace().last().unwrap_or(file).to_owned();
    let time = value["timestamp"].as_str().unwrap_or("").to_owned();
    Some(LogLine { stage: stage_of(&value), time, source, value })
}

fn stage_of(value: &Value) -> Stage {
    let number = value["kv"]["run"].as_str().and_then(|r| r.rsplit('#').next()?.parse().ok());
    let run = number.unwrap_or(0);
    let text = value["text"].as_str().unwrap_or("");
    let is_any = |texts: &[&str]| texts.contains(&text);
    if is_any(&[JobSubmitted::INFO.text]) {
        Stage::Submitted
    } else if is_any(&[RunAssigned::INFO.text]) {
        Stage::Run(run, 0)
    } else if is_any(&[
        StartOrdered::INFO.text,
        StartUnanswered::INFO.text,
        StartRefused::INFO.text,
    ]) {
        Stage::Run(run, 1)
    } else if is_any(&[RunStopping::INFO.text]) {
        Stage::Run(run, 2)
    } else if is_any(&[StopOrdered::INFO.text, StopUnanswered::INFO.text, StopRefused::INFO.text]) {
        Stage::Run(run, 3)
    } else if is_any(&[RunEnded::INFO.text, RunRefused::INFO.text]) {
        Stage::Run(run, 4)
    } else if is_any(&[JobCancelled::INFO.text]) {
        Stage::Cancelled
    } else if is_any(&[JobEnded::INFO.text]) {
        Stage::Ended
    } else {
        Stage::Answered
    }
}

fn format_line(line: &LogLine) -> String {
    let pairs = line.value["kv"].as_object().into_iter().flatten();
    let pairs: Vec<String> = pairs
        .filter(|(_, v)| !v.is_null())
        .map(|(k, v)| format!("{k}={}", v.as_str().map_or_else(|| v.to_string(), str::to_owned)))
        .collect();
    let text = line.value["text"].as_str().unwrap_or("");
    format!("{} {} {text}: {}", line.time, line.source, pairs.join(" "))
}
