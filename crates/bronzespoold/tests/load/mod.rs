//! Callers of a protected kind and the verdict on what they were told.

#![allow(dead_code, reason = "each test binary uses its own part")]

use {
    bronzespool_fakes::{
        call::{Answer, Call},
        cluster::{Cluster, Result},
        endpoint::expected,
    },
    futures::future::join_all,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Callers at once.
const CALLERS: usize = 6;
/// Longest wait of a caller for one answer.
const CALL_TIME: Duration = Duration::from_secs(15);
/// Pause of a caller before it asks again.
const AGAIN: Duration = Duration::from_millis(250);
/// Time for which a caller asks again for an outcome.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time after which a copy that is still under way would have started.
const SETTLED: Duration = Duration::from_secs(2);
/// Code of a whole answer.
const DONE: u16 = 1000;

/// What a caller was told for one key, in order; a call without an answer is left out.
pub(crate) struct Told {
    key: String,
    number: usize,
    answers: Vec<Answer>,
    /// Calls made, with or without an answer.
    calls: usize,
}

impl Told {
    fn done(&self) -> impl Iterator<Item = &Answer> {
        self.answers.iter().filter(|a| a.code() == DONE)
    }

    /// Whether the one call that was made was answered with "not run".
    fn not_run(&self) -> bool {
        self.calls == 1 && self.answers.iter().any(|a| a.outcome() == "not-run")
    }
}

/// Body of the request with this number.
fn body(number: usize) -> Value {
    json!({ "number": number })
}

/// One request of the protected kind; `None` if no answer came.
pub(crate) async fn write(entry: SocketAddr, key: &str, number: usize) -> Option<Answer> {
    let call = Call::post("/v1/services/desk/ledger", &body(number));
    let call = call.header("team", "club").header("idempotency-key", key);
    timeout(CALL_TIME, call.send(entry)).await.ok()?.ok()
}

/// Sends requests of the protected kind until `over`. Every third key is sent once only; all
/// others are sent through the entries in turn until they are done.
pub(crate) async fn load(entries: &[SocketAddr], over: Instant) -> Vec<Told> {
    let callers = (0..CALLERS).map(|caller| async move {
        let mut told = Vec::new();
        let mut number = caller;
        while Instant::now() < over {
            told.push(request(entries, number).await);
            number += CALLERS;
            sleep(Duration::from_millis(20)).await;
        }
        told
    });
    join_all(callers).await.into_iter().flatten().collect()
}

async fn request(entries: &[SocketAddr], number: usize) -> Told {
    let mut told = Told { key: format!("key-{number}"), number, answers: Vec::new(), calls: 0 };
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        let entry = entries[(number + told.calls) % entries.len()];
        let answer = write(entry, &told.key, number).await;
        told.calls += 1;
        let done = answer.as_ref().is_some_and(|a| a.code() == DONE);
        told.answers.extend(answer);
        if done || number.is_multiple_of(3) {
            break;
        }
        sleep(AGAIN).await;
    }
    told
}

/// Counts of a run, for its report.
#[derive(Debug, Default)]
pub(crate) struct Verdict {
    /// Keys sent.
    pub(crate) keys: usize,
    /// Keys with a whole answer.
    pub(crate) done: usize,
    /// Keys sent once and answered "not run".
    pub(crate) not_run: usize,
    /// Keys that never got a whole answer and may have run.
    pub(crate) unknown: usize,
    /// Keys that started while no call of their caller was answered, or with "unknown" only.
    pub(crate) cut: usize,
}

/// Checks every key against the endpoints' records: at most one start, none after "not run",
/// exactly one with an answer, and that answer the request's own and always the same.
pub(crate) async fn judge(cluster: &Cluster, all: &[Told]) -> Result<Verdict> {
    sleep(SETTLED).await;
    let mut records = Vec::new();
    for worker in 0..cluster.workers().len() {
        records.push(cluster.record(worker).await?);
    }
    let mut verdict = Verdict { keys: all.len(), ..Verdict::default() };
    for told in all {
        let key = &told.key;
        let starts: usize = records.iter().map(|r| r.keys.get(key).map_or(0, Vec::len)).sum();
        let codes: Vec<_> = told.answers.iter().map(Answer::code).collect();
        assert!(starts <= 1, "{key} started {starts} times, told {codes:?}");
        if told.not_run() {
            assert_eq!(starts, 0, "{key} was told 'not run' and started, told {codes:?}");
            verdict.not_run += 1;
        }
        check_answers(told, starts);
        verdict.done += usize::from(told.done().next().is_some());
        let answered = told.answers.iter().any(|a| a.code() == DONE || a.outcome() == "not-run");
        verdict.cut += usize::from(starts == 1 && !answered);
        verdict.unknown += usize::from(told.done().next().is_none() && !told.not_run());
    }
    println!("{verdict:?}");
    Ok(verdict)
}

fn check_answers(told: &Told, starts: usize) {
    let Some(first) = told.done().next() else {
        return;
    };
    let (key, number) = (&told.key, told.number);
    assert_eq!(starts, 1, "{key} was answered and has {starts} starts");
    assert!(told.done().all(|a| a.body == first.body), "{key} has two answers");
    let mut own = first.json();
    own.as_object_mut().expect("an object").remove("by");
    let wanted = expected("/desk/ledger", "club", Some(key.as_str()), &body(number));
    assert_eq!(own, wanted, "{key} got another request's answer");
}
