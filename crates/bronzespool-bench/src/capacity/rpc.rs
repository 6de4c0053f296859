//! Bytes and writes of Cap'n Proto calls, counted on both sides of a connection in memory.

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

/// Bytes of IP and TCP headers with timestamps, for each segment.
pub(super) const SEGMENT_HEADER_BYTES: u64 = 52;
/// Calls over which a cost is taken.
const CALL_COUNT: u64 = 10;
/// Turns of the executor after which nothing more is sent.
const SETTLE_YIELDS: usize = 100;
/// Bytes that the connection in memory holds.
const PIPE_BYTES: usize = 1 << 22;

/// Cost of one call, both directions together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Cost {
    /// Bytes of Cap'n Proto messages.
    pub(super) payload: u64,
    /// Writes to the connection: each becomes a segment, since Nagle's algorithm is off.
    pub(super) writes: u64,
}

impl Cost {
    /// Bytes with the headers of one segment for each write; pure acknowledgements left out.
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

/// Answers every call with as many bytes as it is told to.
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
    own: Option<Client>,
) -> RpcSystem<Side> {
    let (reader, writer) = split(stream);
    let writer = CountingWriter { inner: writer.compat_write(), counter: counter.clone() };
    let options = capnp::message::ReaderOptions::new();
    let network = VatNetwork::new(reader.compat(), writer, side, options);
    RpcSystem::new(Box::new(network), own)
}

/// Runs `call` on a session client until its cost repeats, and returns that.
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

/// Lets both sides send what is left, such as the message that a call is finished.
async fn drain_messages() {
    for _ in 0..SETTLE_YIELDS {
        tokio::task::yield_now().await;
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Cost of renewing a session.
pub(super) fn renew() -> Cost {
    block_on(measure(0, |client| async move {
        let mut request = client.renew_request();
        request.get().set_acked(123_456);
        request.send().promise.await.expect("the server answers");
    }))
}

/// Cost of a call that carries `request` bytes and is answered with `reply` bytes. A push to a
/// session's holder has the same form, with an empty answer.
pub(super) fn call(request: usize, reply: usize) -> Cost {
    block_on(measure(reply, move |client| async move {
        let mut message = client.call_request();
        message.get().set_call(&vec![1; request]);
        message.send().promise.await.expect("the server answers");
    }))
}
