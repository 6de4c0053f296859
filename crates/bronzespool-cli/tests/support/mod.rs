//! Scripted server of the operators' interface, and runs of the command line against it.
#![allow(dead_code, unreachable_pub)]

use {
    bronzespool_cli::{Exit, run},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        path::PathBuf,
        sync::{Arc, Mutex},
        thread,
    },
    tokio::{net::TcpListener, runtime::Builder, sync::oneshot},
};

/// What the server does with one request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Responds with a status and a body.
    Respond(u16, String),
    /// Reads the request and closes the connection.
    Disconnect,
    /// Keeps the connection open without a response.
    NoResponse,
}

/// A request that the server received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    pub body: Value,
}

/// Server that gives scripted replies in order.
pub struct Server {
    pub at: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Replies left to give and requests received.
struct Script {
    replies: Mutex<VecDeque<Reply>>,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Server {
    pub fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let replies = Mutex::new(replies.into_iter().collect());
        let script = Arc::new(Script { replies, requests: Arc::clone(&requests) });
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let at = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                tokio::select! { () = accept(listener, script) => {}, _ = stopped => {} }
            });
        });
        Self { at, requests, stop: Some(stop), thread: Some(thread) }
    }

    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Runs the command line against this server.
    pub fn run(&self, args: &str) -> Run {
        Run::new(args, Some(self.at.to_string()))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

async fn accept(listener: std::net::TcpListener, script: Arc<Script>) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let script = Arc::clone(&script);
        tokio::spawn(async move {
            let service = service_fn(|request| reply(Arc::clone(&script), request));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn reply(
    script: Arc<Script>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, String> {
    let method = request.method().to_string();
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    script.requests.lock().unwrap().push(ReceivedRequest { method, path, body });
    let reply = script.replies.lock().unwrap().pop_front();
    match reply.expect("more requests than replies") {
        Reply::Respond(status, body) => {
            Ok(Response::builder().status(status).body(Full::new(body.into())).unwrap())
        }
        Reply::Disconnect => Err("disconnected".to_owned()),
        Reply::NoResponse => std::future::pending().await,
    }
}

/// A response with status 200.
pub fn ok(body: &str) -> Reply {
    Reply::Respond(200, body.to_owned())
}

/// An error response.
pub fn error_response(status: u16, code: u16, outcome: &str) -> Reply {
    let body = format!(
        "{{\"code\":{code},\"name\":\"Named\",\"outcome\":\"{outcome}\",\"message\":\"why\",\
         \"retry_after_ms\":null,\"request\":\"r-1\"}}"
    );
    Reply::Respond(status, body)
}

/// Exit code and output of one run of the command line.
#[derive(Debug)]
pub struct Run {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

impl Run {
    pub fn new(args: &str, at: Option<String>) -> Self {
        let args = args.split_whitespace().map(Into::into).collect();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = run(args, at, &mut out, &mut err);
        Self { exit, out: String::from_utf8(out).unwrap(), err: String::from_utf8(err).unwrap() }
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

/// Path of the example deployments.
pub fn examples() -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    path.canonicalize().unwrap().display().to_string()
}
