//! Publishing with lost responses, refusals and concurrent changes.

mod support;

use {
    bronzespool_cli::Exit,
    serde_json::json,
    support::{Reply, Run, Server, error_response, examples, ok},
};

const IN_FORCE: &str = r#"{"revision":7,"in_force":true,"code":1000}"#;

fn publish(server: &Server, options: &str) -> Run {
    server.run(&format!("publish {}/registry {options}", examples()))
}

#[test]
fn publish_accepted_prints_revision_and_operation() {
    let server = Server::start([ok(IN_FORCE)]);
    let run = publish(&server, "--base 6 --wait");
    assert_eq!(run.exit, Exit::Done, "{run:?}");
    assert!(run.out.contains("revision 7 is in force everywhere"), "{}", run.out);
    let request = &server.requests()[0];
    assert_eq!((request.method.as_str(), request.path.as_str()), ("POST", "/v1/config"));
    assert_eq!((&request.body["base"], &request.body["wait"]), (&json!(6), &json!(true)));
    assert!(run.err.contains(request.body["op"].as_str().unwrap()), "{}", run.err);
    let file = &request.body["files"][0];
    assert!(file["path"].as_str().unwrap().ends_with("permit-desk/service.ini"));
    assert!(file["text"].as_str().unwrap().contains("[kind quota-check]"));
}

#[test]
fn publish_without_options_names_no_base() {
    let server = Server::start([ok(r#"{"revision":1,"in_force":false,"code":1000}"#)]);
    let run = publish(&server, "");
    assert_eq!(run.exit, Exit::Done);
    assert!(run.out.contains("revision 1 is accepted; --wait"), "{}", run.out);
    let body = &server.requests()[0].body;
    assert_eq!((&body["base"], &body["wait"]), (&json!(null), &json!(false)));
}

#[test]
fn publish_not_in_force_in_time_exits_pending() {
    let server = Server::start([ok(r#"{"revision":1,"in_force":false,"code":1000}"#)]);
    let run = publish(&server, "--wait");
    assert_eq!(run.exit, Exit::Pending);
    assert!(run.out.contains("accepted, but not yet in force everywhere"), "{}", run.out);
}

#[test]
fn publish_lost_response_sends_same_operation_again() {
    let server =
        Server::start([Reply::Disconnect, error_response(504, 4006, "unknown"), ok(IN_FORCE)]);
    let run = publish(&server, "--json");
    assert_eq!(run.exit, Exit::Done, "{run:?}");
    let ops: Vec<_> = server.requests().iter().map(|request| request.body["op"].clone()).collect();
    assert_eq!(ops.len(), 3);
    assert!(ops.iter().all(|op| *op == run.json()["op"]), "{ops:?}");
}

#[test]
fn publish_never_answered_exits_unknown_with_advice() {
    let server = Server::start([Reply::Disconnect, Reply::Disconnect, Reply::Disconnect]);
    let run = publish(&server, "--base 4 --op op-9");
    assert_eq!(run.exit, Exit::Unknown);
    assert!(run.err.contains("--base 4 --op op-9"), "{}", run.err);
}

#[test]
fn publish_silent_connection_exits_unknown_in_time() {
    let server = Server::start([Reply::NoResponse, Reply::NoResponse, Reply::NoResponse]);
    let run = publish(&server, "--timeout 100ms");
    assert_eq!(run.exit, Exit::Unknown);
}

#[test]
fn publish_refused_for_now_after_lost_response_stays_unknown() {
    let refused = || error_response(503, 3007, "not-run");
    let server = Server::start([Reply::Disconnect, refused(), refused()]);
    let run = publish(&server, "");
    assert_eq!(run.exit, Exit::Unknown, "the first send may have been made: {run:?}");
}

#[test]
fn publish_refused_at_first_send_is_not_repeated() {
    let server = Server::start([error_response(503, 3007, "not-run")]);
    let run = publish(&server, "");
    assert_eq!((run.exit, server.requests().len()), (Exit::Refused, 1));
    assert!(run.err.contains("3007 Named (not-run): why [request r-1]"), "{}", run.err);
}

#[test]
fn publish_conflict_exits_four() {
    let server = Server::start([error_response(409, 5001, "not-run")]);
    let run = publish(&server, "--base 3 --json");
    assert_eq!(run.exit, Exit::Conflict);
    assert_eq!((&run.json()["code"], &run.json()["exit"]), (&json!(5001), &json!(4)));
}

#[test]
fn publish_conflict_after_lost_response_exits_four() {
    let server = Server::start([Reply::Disconnect, error_response(409, 5001, "not-run")]);
    assert_eq!(publish(&server, "--base 3").exit, Exit::Conflict);
}

#[test]
fn publish_faulty_files_send_nothing() {
    let server = Server::start([]);
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("service.ini"), "[service]\n").unwrap();
    let run = server.run(&format!("publish {}", dir.path().display()));
    assert_eq!((run.exit, server.requests().len()), (Exit::Refused, 0));
}

#[test]
fn publish_unreachable_entry_exits_three() {
    let at = Server::start([]).at.to_string();
    let run = Run::new(&format!("publish {}", examples()), Some(at));
    assert_eq!(run.exit, Exit::Unreachable, "{run:?}");
}
