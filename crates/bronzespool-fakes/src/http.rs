//! Small HTTP server shared by the fakes.

use {
    bytes::Bytes,
    hyper::{
        Request, Response, StatusCode,
        body::{Body, Frame, Incoming, SizeHint},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        io::{Error, ErrorKind},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::net::TcpListener,
};

/// Response of a fake.
pub type Answer = Response<Payload>;

/// A body that is sent whole or is cut off before its declared length.
pub struct Payload {
    data: Option<Bytes>,
    declared: u64,
    short: bool,
}

impl Payload {
    /// Sends all of `data`.
    pub const fn whole(data: Bytes) -> Self {
        Self { declared: data.len() as u64, data: Some(data), short: false }
    }

    /// Declares the length of `data` and fails after sending half of it.
    pub fn short(data: &Bytes) -> Self {
        let half = data.slice(..data.len() / 2);
        Self { declared: data.len() as u64, data: Some(half), short: true }
    }

    /// Data not yet sent.
    pub fn data(&self) -> Bytes {
        self.data.clone().unwrap_or_default()
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.data.take() {
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None if self.short => Poll::Ready(Some(Err(Error::from(ErrorKind::UnexpectedEof)))),
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared)
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && !self.short
    }
}

/// A fake that answers HTTP requests.
pub trait Serve: 'static {
    /// Answers one request.
    fn serve(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer>;
}

/// Accepts and serves connections until the future is dropped. Must run inside a
/// [`tokio::task::LocalSet`].
pub async fn run<S: Serve>(listener: TcpListener, server: Rc<S>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let server = Rc::clone(&server);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let server = Rc::clone(&server);
                async move { Ok::<_, Infallible>(server.serve(request).await) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Response with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Answer {
    let body = Payload::whole(Bytes::from(value.to_string()));
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    answer
}
