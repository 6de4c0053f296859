//! A persistent connection to one address.

use {
    crate::{
        link::{Error, Result},
        serve::network,
    },
    capnp::capability::FromClientHook,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    futures::future::{AbortHandle, Abortable},
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{Mutex, watch},
        time::timeout,
    },
};

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to one address, shared by all callers in the process.
///
/// A call that times out drops the connection, since TCP does not report a peer that has stopped
/// answering; the next call reconnects. Calls in flight on a dropped connection fail, and their
/// callers retry them under the same identifier.
pub struct Link<C> {
    address: SocketAddr,
    state: Rc<RefCell<LinkState<C>>>,
    connecting: Rc<Mutex<()>>,
}

struct LinkState<C> {
    generation: u64,
    connection: Option<Connection<C>>,
}

struct Connection<C> {
    client: C,
    task: AbortHandle,
    /// Closed when the connection is dropped, since its calls would otherwise wait forever.
    alive: watch::Sender<()>,
}

/// What one call needs of the connection.
struct ConnectionHandle<C> {
    client: C,
    generation: u64,
    alive: watch::Receiver<()>,
}

impl<C> LinkState<C> {
    /// Takes the connection out, if it is still the one of this generation.
    fn take(&mut self, generation: u64) -> Option<Connection<C>> {
        if self.generation == generation { self.connection.take() } else { None }
    }
}

impl<C: Clone> Connection<C> {
    fn handle(&self, generation: u64) -> ConnectionHandle<C> {
        ConnectionHandle { client: self.client.clone(), generation, alive: self.alive.subscribe() }
    }
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<C> Clone for Link<C> {
    fn clone(&self) -> Self {
        Self {
            address: self.address,
            state: Rc::clone(&self.state),
            connecting: Rc::clone(&self.connecting),
        }
    }
}

impl<C: FromClientHook + Clone + 'static> Link<C> {
    /// Creates a link to `address` without connecting.
    pub fn new(address: SocketAddr) -> Self {
        let state = LinkState { generation: 0, connection: None };
        Self { address, state: Rc::new(RefCell::new(state)), connecting: Rc::default() }
    }

    /// Address of the peer.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connects if there is no connection, within `time` and at most the time limit for connecting.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] or [`Error::ConnectTimeout`].
    pub async fn connect(&self, time: Duration) -> Result<()> {
        match timeout(time, self.connection()).await {
            Ok(connected) => connected.map(drop),
            Err(_) => Err(Error::ConnectTimeout(time)),
        }
    }

    /// Calls the peer and waits for the answer for at most `time`, connecting first if needed.
    pub async fn call<T, F, A>(&self, time: Duration, f: F) -> Result<T>
    where
        F: FnOnce(C) -> A,
        A: Future<Output = Result<T>>,
    {
        let ConnectionHandle { client, generation, mut alive } = self.connection().await?;
        let answer = async {
            tokio::select! {
                answer = f(client) => answer,
                _ = alive.changed() => Err(disconnected_error()),
            }
        };
        match timeout(time, answer).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => {
                if error.is_disconnected() || error.is_refused() {
                    self.drop_connection(generation);
                }
                Err(error)
            }
            Err(_) => {
                self.drop_connection(generation);
                Err(Error::CallTimeout(time))
            }
        }
    }

    /// Drops the connection, if there is one; the next call reconnects.
    pub fn reset(&self) {
        let generation = self.state.borrow().generation;
        self.drop_connection(generation);
    }

    async fn connection(&self) -> Result<ConnectionHandle<C>> {
        if let Some(handle) = self.current_handle() {
            return Ok(handle);
        }
        let _guard = self.connecting.lock().await;
        if let Some(handle) = self.current_handle() {
            return Ok(handle);
        }
        let stream = self.open_stream().await?;
        Ok(self.start_rpc(stream))
    }

    fn current_handle(&self) -> Option<ConnectionHandle<C>> {
        let state = self.state.borrow();
        state.connection.as_ref().map(|connection| connection.handle(state.generation))
    }

    async fn open_stream(&self) -> Result<TcpStream> {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => {
                stream.set_nodelay(true).map_err(Error::Connect)?;
                Ok(stream)
            }
            Ok(Err(error)) => Err(Error::Connect(error)),
            Err(_) => Err(Error::ConnectTimeout(CONNECT_TIMEOUT)),
        }
    }

    fn start_rpc(&self, stream: TcpStream) -> ConnectionHandle<C> {
        let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
        let client: C = system.bootstrap(Side::Server);
        let (task, registration) = AbortHandle::new_pair();
        let connection = Connection { client, task, alive: watch::Sender::new(()) };
        let handle = {
            let mut state = self.state.borrow_mut();
            state.generation += 1;
            let handle = connection.handle(state.generation);
            state.connection = Some(connection);
            handle
        };
        let generation = handle.generation;
        // The task must not keep the state: the connection is closed when its last link is dropped.
        let state = Rc::downgrade(&self.state);
        tokio::task::spawn_local(async move {
            let _ = Abortable::new(system, registration).await;
            let connection = Weak::upgrade(&state).map(|s| s.borrow_mut().take(generation));
            drop(connection);
        });
        handle
    }

    fn drop_connection(&self, generation: u64) {
        let connection = self.state.borrow_mut().take(generation);
        drop(connection);
    }
}

fn disconnected_error() -> Error {
    Error::Call(capnp::Error::disconnected("the connection was dropped".to_owned()))
}
