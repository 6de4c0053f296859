//! Submissions of jobs through the leader's client: a refusal counts only if no earlier attempt may
//! have been accepted.

use {
    bronzespool::{
        batch::{
            JobId,
            message::{
                Call as BatchCall, Caller, ControlMap, Denial, JobRequest, Reply as BatchReply,
            },
            spec::JobSpec,
        },
        wire::{
            bronzespool_capnp::control,
            frame,
            message::{Call, CallResult, Reply},
            serve::serve_bounded,
        },
    },
    bronzespoold::{
        batch::{CallError, CallerRequest, LeaderClient},
        clock::Clock,
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        task::{LocalSet, spawn_local},
    },
};

/// A leader that leaves the first calls without an answer and refuses all later ones, as after a
/// change of the configuration.
struct Leader {
    address: SocketAddr,
    unanswered: Cell<u32>,
}

impl control::Server for Leader {
    async fn forward(
        self: Rc<Self>,
        params: control::ForwardParams,
        mut results: control::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let call: Call = frame::decode(params.get()?.get_call()?).unwrap();
        let reply: CallResult = match call {
            Call::LocateControl => Ok(Reply::ControlMap(ControlMap {
                leader: Some(self.address),
                term: 1,
                members: vec![self.address],
                relays: Vec::new(),
            })),
            _ if self.unanswered.get() > 0 => {
                self.unanswered.set(self.unanswered.get() - 1);
                std::future::pending().await
            }
            _ => Ok(Reply::Batch(BatchReply::Denied(Denial::NoKey))),
        };
        results.get().set_reply(&frame::encode(&reply));
        Ok(())
    }
}

fn submission() -> BatchCall {
    let caller =
        Caller { host: "desk.example".into(), path: "/quota/".into(), key: Some("key".into()) };
    let spec = JobSpec {
        id: JobId(1),
        queue: "".into(),
        team: None,
        text: "text".into(),
        steps: Vec::new(),
        times: 0,
        start: 0,
        interval: 0,
    };
    BatchCall::Job(caller, JobRequest::Submit(Box::new(spec)))
}

/// Submits a job once for each timeout and returns the replies.
fn submit(unanswered: u32, timeouts: &[Duration]) -> Vec<Result<BatchReply, CallError>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let leader = Leader { address, unanswered: Cell::new(unanswered) };
        let server: control::Client = capnp_rpc::new_client(leader);
        spawn_local(serve_bounded(listener, server, |_| true));
        let client = LeaderClient::new(Clock::start(), vec![address]);
        let mut replies = Vec::new();
        for timeout in timeouts {
            let request = CallerRequest {
                job: Some(JobId(1)),
                method: "POST".into(),
                path: "/quota/0000000000000001".into(),
                timeout: Some(*timeout),
            };
            replies.push(client.serve_caller(request, submission(), |reply| (0, reply)).await);
        }
        replies
    }))
}

#[test]
fn serve_caller_submission_that_is_denied_at_once_is_denied() {
    let replies = submit(0, &[Duration::from_secs(60)]);
    assert!(matches!(replies[..], [Ok(BatchReply::Denied(Denial::NoKey))]), "{replies:?}");
}

// A first attempt was accepted without an answer, then the key was removed, and the second attempt
// for the same request was denied: the caller was told that a job that ran had been rejected.
#[test]
fn serve_caller_submission_that_is_denied_after_an_attempt_without_an_answer_is_unknown() {
    let replies = submit(1, &[Duration::from_secs(60)]);
    assert!(matches!(replies[..], [Err(CallError::Unknown)]), "{replies:?}");
}

// As before, with a second request of the caller.
#[test]
fn serve_caller_submission_that_is_denied_after_an_unknown_one_is_unknown() {
    let replies = submit(2, &[Duration::from_millis(400), Duration::from_secs(60)]);
    let is_unknown = |r: &Result<BatchReply, CallError>| matches!(r, Err(CallError::Unknown));
    assert!(replies.iter().all(is_unknown), "{replies:?}");
}
