//! Commands that query or change the running system: status, jobs, explain, drain, cancel.

mod support;

use {
    bronzespool_cli::Exit,
    serde_json::json,
    support::{Reply, Server, error_response, ok},
};

#[test]
fn status_shows_lines_and_tables() {
    let body = r#"{"revision":3,"leader":"control-1","place":{"rack":"r1"},
                   "instances":[{"state":"ready","instance":"w1","slots":8},{"instance":"w2"}]}"#;
    let server = Server::start([ok(body)]);
    let run = server.run("status");
    assert_eq!(run.exit, Exit::Done);
    assert_eq!(
        run.out,
        "leader: control-1\nplace.rack: r1\nrevision: 3\n\ninstances:\n\
         instance  state  slots\nw1        ready  8\nw2\n"
    );
    assert_eq!(server.requests()[0].path, "/v1/status");
}

#[test]
fn jobs_json_is_the_value_itself() {
    let server = Server::start([ok(r#"[{"job":"job-1"}]"#)]);
    assert_eq!(server.run("jobs --json").json(), json!([{ "job": "job-1" }]));
}

#[test]
fn jobs_none_says_so() {
    assert_eq!(Server::start([ok("[]")]).run("jobs").out, "none\n");
}

#[test]
fn explain_unknown_job_is_refused() {
    let server = Server::start([error_response(404, 2015, "not-run")]);
    let run = server.run("explain job-9");
    assert_eq!(run.exit, Exit::Refused);
    assert_eq!(server.requests()[0].path, "/v1/jobs/job-9/explain");
}

#[test]
fn drain_posts_to_the_instance() {
    let server = Server::start([ok(r#"{"code":1000}"#)]);
    assert_eq!(server.run("drain w-1").exit, Exit::Done);
    let request = &server.requests()[0];
    assert_eq!(
        (request.method.as_str(), request.path.as_str()),
        ("POST", "/v1/instances/w-1/drain")
    );
}

/// Guards against an order without the revision that it is based on: a copy that is held up could
/// drain the data centre again after it was restored.
#[test]
fn drain_center_is_based_on_the_revision_read() {
    let restored = ok(r#"{"code":1000,"center":"couva","drained":false,"revision":12}"#);
    let drained = ok(r#"{"code":1000,"center":"couva","drained":true,"revision":17}"#);
    let server = Server::start([restored.clone(), drained.clone()]);
    assert_eq!(server.run("drain --center couva").exit, Exit::Done);
    let requests = server.requests();
    assert_eq!(requests[0].path, "/v1/centers/couva");
    assert_eq!(requests[1].path, "/v1/centers/couva/drain");
    assert_eq!(requests[1].body, json!({ "base": 12 }));
    let server = Server::start([drained]);
    assert_eq!(server.run("drain --center couva").exit, Exit::Done);
    assert_eq!(server.requests().len(), 1, "it is drained already");
    let server = Server::start([error_response(409, 5001, "not-run")]);
    assert_eq!(server.run("drain --center couva --restore --base 3").exit, Exit::Conflict);
    let request = &server.requests()[0];
    assert_eq!(
        (request.path.as_str(), &request.body["base"]),
        ("/v1/centers/couva/restore", &json!(3))
    );
}

#[test]
fn drain_lost_response_exits_unknown() {
    assert_eq!(Server::start([Reply::Disconnect]).run("drain w-1").exit, Exit::Unknown);
}

#[test]
fn status_lost_response_exits_unreachable() {
    assert_eq!(Server::start([Reply::Disconnect]).run("status").exit, Exit::Unreachable);
}

#[test]
fn status_answer_without_result_code_exits_unreachable() {
    let server = Server::start([Reply::Respond(502, "<html>".to_owned())]);
    let run = server.run("status");
    assert_eq!(run.exit, Exit::Unreachable);
    assert!(run.err.contains("status 502"), "{}", run.err);
}

#[test]
fn cancel_goes_on_after_a_refusal() {
    let server = Server::start([
        error_response(404, 2015, "not-run"),
        ok(r#"{"code":1002,"phase":"ended"}"#),
    ]);
    let run = server.run("cancel job-1 job-2");
    assert_eq!(run.exit, Exit::Refused);
    let paths: Vec<_> =
        server.requests().into_iter().map(|request| request.method + &request.path).collect();
    assert_eq!(paths, ["DELETE/v1/jobs/job-1", "DELETE/v1/jobs/job-2"]);
    assert!(run.out.contains("job-2  cancelled"), "{}", run.out);
}

#[test]
fn cancel_ended_job_tells_how_it_ended() {
    let ended = r#"{"code":1000,"phase":"ended"}"#;
    let stopping = r#"{"code":null,"phase":"stopping"}"#;
    let run = Server::start([ok(ended), ok(stopping)]).run("cancel job-1 job-2");
    assert!(run.out.contains("job-1  ended before: 1000 Done"), "{}", run.out);
    assert!(run.out.contains("job-2  stopping"), "{}", run.out);
}

#[test]
fn status_text_of_the_answer_cannot_move_the_cursor() {
    let run = Server::start([ok(r#"{"leader":"a\u001b[2Jb"}"#)]).run("status");
    assert_eq!(run.out, "leader: a [2Jb\n");
}
