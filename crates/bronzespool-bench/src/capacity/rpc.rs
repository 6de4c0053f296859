//! Bytes and writes of Cap'n Proto calls, counted on both sides of an in-memory connection.

use {
    bronzespool_wire::bronzespool_capnp::session,
    capnp::capability::{Client, FromClientHook},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::io::AsyncWrite,
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::io::{DuplexStream, WriteHalf, duplex, split},
    tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// IP and TCP headers of a segment, with TCP timestamps.
pub(super) const SEGMENT_HEADER_BYTES: u64 = 52;
/// Number of calls over which the cost is averaged.
const CALL_COUNT: u64 = 10;
/// Number of yields to the executor after which both sides have sent everything.
const SETTLE_YIELDS: usize = 100;
/// Buffer size of the in-memory connection.
const PIPE_BYTES: usize = 1 << 22;

/// Cost of one call, both directions together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Cost {
    /// Bytes of Cap'n Proto messages.
    pub(super) payload: u64,
    /// Writes to the connection. Each becomes a segment, since Nagle's algorithm is off.
    pub(super) writes: u64,
}

impl Cost {
    /// Bytes on the wire: payload and the headers of one segment for each write, without pure
    /// acknowledgements.
    pub(super) const fn wire_bytes(self) -> u64 {
        self.payload + self.writes * SEGMENT_HEADER_BYTES
    }
}

#[derive(Clone, Default)]
struct Counter(Rc<Cell<Cost>>);

impl Counter {
    fn add(&self, bytes: usize) {
        let cost = self.0.get();
        self.0.set(Cost { payload: cost.payload + bytes as u64, writes: cost.writes + 1 });
    }
}

/// Writer that counts bytes and writes.
struct CountingWriter {
    inner: Compat<WriteHalf<DuplexStream>>,
    counter: Counter,
}

impl AsyncWrite for CountingWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        if let Poll::Ready(Ok(len)) = &written {
            self.counter.add(*len);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// Session server that answers every call with `reply` bytes.
struct FixedReplyServer {
    reply: usize,
}

impl session::Server for FixedReplyServer {
    async fn renew(
        self: Rc<Self>,
        _: session::RenewParams,
        mut results: session::RenewResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_millis(5_000);
        Ok(())
    }

    async fn call(
        self: Rc<Self>,
        _: session::CallParams,
        mut results: session::CallResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_reply(&vec![1; self.reply]);
        Ok(())
    }
}

fn system(
    stream: DuplexStream,
    side: Side,
    counter: &Counter,
    bootstrap: Option<Client>,
) -> RpcSystem<Side> {
    let (reader, writer) = split(stream);
    let writer = CountingWriter { inner: writer.compat_write(), counter: counter.clone() };
    let options = capnp::message::ReaderOptions::new();
    let network = VatNetwork::new(reader.compat(), writer, side, options);
    RpcSystem::new(Box::new(network), bootstrap)
}

/// Runs `call` once on a session client to warm up, and returns its mean cost over further calls.
async fn measure<F, A>(reply: usize, call: F) -> Cost
where
    F: Fn(session::Client) -> A,
    A: Future<Output = ()>,
{
    let counter = Counter::default();
    let (client_end, server_end) = duplex(PIPE_BYTES);
    let server: session::Client = capnp_rpc::new_client(FixedReplyServer { reply });
    let bootstrap = Client::new(server.into_client_hook());
    tokio::task::spawn_local(system(server_end, Side::Server, &counter, Some(bootstrap)));
    let mut system = system(client_end, Side::Client, &counter, None);
    let client: session::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(system);
    call(client.clone()).await;
    drain_messages().await;
    let before = counter.0.get();
    for _ in 0..CALL_COUNT {
        call(client.clone()).await;
        drain_messages().await;
    }
    let after = counter.0.get();
    Cost {
        payload: (after.payload - before.payload) / CALL_COUNT,
        writes: (after.writes - before.writes) / CALL_COUNT,
    }
}

/// Lets both sides send their remaining messages, such as the one that finishes a call.
async fn drain_messages() {
    for _ in 0..SETTLE_YIELDS {
        tokio::task::yield_now().await;
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Cost of a session's renewal.
pub(super) fn renew() -> Cost {
    block_on(measure(0, |client| async move {
        let mut request = client.renew_request();
        request.get().set_acked(123_456);
        request.send().promise.await.expect("the server answers");
    }))
}

/// Cost of a call with a request of `request` bytes and an answer of `reply` bytes. A push to a
/// session's holder has the same form, with an empty answer.
pub(super) fn call(request: usize, reply: usize) -> Cost {
    block_on(measure(reply, move |client| async move {
        let mut message = client.call_request();
        message.get().set_call(&vec![1; request]);
        message.send().promise.await.expect("the server answers");
    }))
}
