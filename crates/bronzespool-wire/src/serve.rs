//! Accepts connections and serves a bootstrap capability on each of them.

use {
    capnp::capability::{Client, FromClientHook},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::future::{AbortHandle, Abortable},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

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
    let open = OpenConnections::default();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => accept(&open, stream, peer, bootstrap.clone()),
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

impl Drop for OpenConnections {
    fn drop(&mut self) {
        for handle in self.0.borrow().iter() {
            handle.abort();
        }
    }
}

fn accept<C: FromClientHook>(
    open: &OpenConnections,
    stream: TcpStream,
    peer: SocketAddr,
    bootstrap: C,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%, peer:%; "cannot set TCP_NODELAY");
    }
    let network = network(stream, Side::Server);
    let client = Client::new(bootstrap.into_client_hook());
    let system = RpcSystem::new(Box::new(network), Some(client));
    let (handle, registration) = AbortHandle::new_pair();
    let mut handles = open.0.borrow_mut();
    handles.retain(|h| !h.is_aborted());
    handles.push(handle.clone());
    tokio::task::spawn_local(async move {
        match Abortable::new(system, registration).await {
            Ok(Err(error)) => log::debug!(error:%, peer:%; "connection ended"),
            Ok(Ok(())) | Err(_) => log::debug!(peer:%; "connection closed"),
        }
        handle.abort();
    });
}

/// The Cap'n Proto network over a stream.
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
