//! HTTP/1.1 server that stops gracefully, without aborting requests in flight.

use {
    crate::{
        http::{BodyBudget, CallerPresence, FullResponse, refuse::refuse, stream::CallerStream},
        limits::{self, Listener},
        telemetry::{Event as _, event},
    },
    bronzespool::core::bound::Bound,
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{cell::RefCell, convert::Infallible, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{oneshot, watch},
        task::{JoinSet, spawn_local},
    },
};

/// Maximum size of a request's head.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Pause after a failed accept, for example while too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Most refused connections that are open at once; more are closed without an answer.
const REFUSALS_MAX: usize = 64;

/// Handles the requests of a server.
pub trait Handler: 'static {
    /// Handles one request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = FullResponse>;
}

/// Open connections of a server, within a bound.
struct Connections {
    open: JoinSet<()>,
    refused: JoinSet<()>,
    bound: Bound,
}

impl Connections {
    /// Whether one more connection may be served.
    fn admit(&mut self) -> bool {
        while self.open.try_join_next().is_some() {}
        limits::admit(&mut self.bound, self.open.len())
    }

    fn refuse(&mut self, stream: TcpStream) {
        BodyBudget::of_process().call_for_connection();
        while self.refused.try_join_next().is_some() {}
        if self.refused.len() < REFUSALS_MAX {
            self.refused.spawn_local(refuse(stream, limits::refusal(&self.bound)));
        }
    }
}

/// Accepts connections until `stop` turns true, then waits for the requests in flight to finish.
/// The head of a request must arrive within `head_timeout`. The number of connections is bounded as
/// for a listener for callers.
///
/// Must run inside a [`tokio::task::LocalSet`].
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    head_timeout: Duration,
    stop: watch::Receiver<bool>,
) {
    serve_bounded(listener, handler, head_timeout, stop, Listener::Callers.bound()).await;
}

/// As [`serve`], with another bound of the number of connections. A connection beyond it is
/// answered with [`Code::BoundReached`](bronzespool::core::Code::BoundReached) and closed.
pub async fn serve_bounded<H: Handler>(
    listener: TcpListener,
    handler: Rc<H>,
    head_timeout: Duration,
    mut stop: watch::Receiver<bool>,
    bound: Bound,
) {
    let mut connections = Connections { open: JoinSet::new(), refused: JoinSet::new(), bound };
    let stopped = stop.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if !connections.admit() => connections.refuse(stream),
                Ok((stream, _)) => {
                    let handler = Rc::clone(&handler);
                    let task = serve_connection(stream, handler, head_timeout, stopped.clone());
                    connections.open.spawn_local(task);
                }
                Err(error) => {
                    event::AcceptFailed { error: error.to_string() }.emit();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = stop.wait_for(|s| *s) => break,
            Some(_) = connections.open.join_next() => {}
            Some(_) = connections.refused.join_next() => {}
        }
    }
    drop(listener);
    while connections.open.join_next().await.is_some() {}
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    head_timeout: Duration,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let last_work = Rc::new(RefCell::new(None));
    let newest_work = Rc::clone(&last_work);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let presence = CallerPresence::default();
        let guard = presence.guard();
        request.extensions_mut().insert(presence);
        // A separate task, so that the request is still handled if the caller disconnects.
        let (working, worked) = oneshot::channel::<Infallible>();
        newest_work.borrow_mut().replace(worked);
        let answer = Rc::clone(&handler).handle(request);
        let work = spawn_local(async move {
            let _working = working;
            answer.await
        });
        async move {
            let _guard = guard;
            Ok::<_, Infallible>(task_response(work.await))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(CallerStream::new(stream)), service);
    let mut connection = Box::pin(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = stop.wait_for(|s| *s) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.as_mut().await;
        }
    }
    // The request in flight sees that its caller is gone.
    drop(connection);
    // Until it is handled, the request of a caller that has left counts for the bound of connections.
    let worked = last_work.borrow_mut().take();
    if let Some(worked) = worked {
        let _ = worked.await;
    }
}

fn task_response(result: Result<FullResponse, tokio::task::JoinError>) -> FullResponse {
    result.unwrap_or_else(|error| {
        event::RequestPanicked { error: error.to_string() }.emit();
        crate::http::refusal_response(&bronzespool::core::Code::Internal.into(), "")
    })
}
