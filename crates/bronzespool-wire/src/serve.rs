//! Accepts connections and serves a bootstrap capability on each of them.

pub use crate::inbound::InboundBudget;

use {
    crate::inbound::InboundReader,
    capnp::capability::{Client, FromClientHook},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::future::{AbortHandle, Abortable},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Text by which a client knows that its connection was refused and carried no call.
pub(crate) const CONNECTION_REFUSED: &str = "3014 BoundReached: the connection was refused";
/// Time for which a refused connection stays open, for its client to read the refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Most refused connections that are open at once; more are closed without a refusal.
const REFUSALS_MAX: usize = 64;
/// Delay before the next accept after one failed, such as for too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Result of serving.
pub type Result<T> = std::io::Result<T>;

/// Serves `bootstrap` on every connection until the returned future is dropped.
///
/// Must run inside a [`tokio::task::LocalSet`]. Dropping the future closes the connections.
pub async fn serve<C>(listener: TcpListener, bootstrap: C)
where
    C: FromClientHook + Clone + 'static,
{
    serve_bounded(listener, bootstrap, |_| true).await;
}

/// As [`serve`], for a bounded number of connections. `admit` is given the number of open
/// connections and says whether one more is accepted. Calls on a refused connection fail with
/// [`Error::is_unsent`](crate::link::Error::is_unsent).
pub async fn serve_bounded<C>(listener: TcpListener, bootstrap: C, admit: impl FnMut(usize) -> bool)
where
    C: FromClientHook + Clone + 'static,
{
    serve_within(listener, bootstrap, admit, InboundBudget::default()).await;
}

/// As [`serve_bounded`], with a budget for the bytes of large messages that are being read. A connection
/// whose message finds no room ends.
pub async fn serve_within<C>(
    listener: TcpListener,
    bootstrap: C,
    mut admit: impl FnMut(usize) -> bool,
    inbound: InboundBudget,
) where
    C: FromClientHook + Clone + 'static,
{
    let accept = |connections: &OpenConnections, stream, peer, client: Client, time_max| {
        accept(connections, stream, peer, (client, inbound.clone()), time_max);
    };
    let open = OpenConnections::default();
    let refused = OpenConnections::default();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) if admit(open.len()) => {
                accept(
                    &open,
                    stream,
                    peer,
                    Client::new(bootstrap.clone().into_client_hook()),
                    None,
                );
            }
            Ok((stream, peer)) if refused.len() < REFUSALS_MAX => {
                let error = capnp::Error::overloaded(CONNECTION_REFUSED.to_owned());
                let client: Client = capnp_rpc::new_broken_cap(error);
                accept(&refused, stream, peer, client, Some(REFUSAL_TIME));
            }
            Ok((_, peer)) => log::debug!(peer:%; "connection closed without a refusal"),
            Err(error) => {
                log::warn!(error:%; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Open connections, which are closed when the server is dropped.
#[derive(Default)]
struct OpenConnections(Rc<RefCell<Vec<AbortHandle>>>);

impl OpenConnections {
    /// Number of open connections.
    fn len(&self) -> usize {
        let mut handles = self.0.borrow_mut();
        handles.retain(|h| !h.is_aborted());
        handles.len()
    }
}

impl Drop for OpenConnections {
    fn drop(&mut self) {
        for handle in self.0.borrow().iter() {
            handle.abort();
        }
    }
}

fn accept(
    open: &OpenConnections,
    stream: TcpStream,
    peer: SocketAddr,
    (client, inbound): (Client, InboundBudget),
    time_max: Option<Duration>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%, peer:%; "cannot set TCP_NODELAY");
    }
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        InboundReader::new(reader.compat(), inbound),
        writer.compat_write(),
        Side::Server,
        capnp::message::ReaderOptions::new(),
    );
    let system = RpcSystem::new(Box::new(network), Some(client));
    let (handle, registration) = AbortHandle::new_pair();
    open.0.borrow_mut().push(handle.clone());
    if let Some(time_max) = time_max {
        let handle = handle.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(time_max).await;
            handle.abort();
        });
    }
    tokio::task::spawn_local(async move {
        match Abortable::new(system, registration).await {
            Ok(Err(error)) => log::debug!(error:%, peer:%; "connection ended"),
            Ok(Ok(())) | Err(_) => log::debug!(peer:%; "connection closed"),
        }
        handle.abort();
    });
}

/// The Cap'n Proto network over a stream to a peer that this process has connected to.
pub(crate) fn network(
    stream: TcpStream,
    side: Side,
) -> VatNetwork<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>> {
    let (reader, writer) = stream.into_split();
    VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        side,
        capnp::message::ReaderOptions::new(),
    )
}
