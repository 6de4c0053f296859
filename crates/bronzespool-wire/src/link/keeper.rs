//! One kept connection to an address.

use {
    crate::{
        link::{Error, Result},
        serve::network,
    },
    capnp::capability::FromClientHook,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    futures::future::{AbortHandle, Abortable},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::{Mutex, watch},
        time::timeout,
    },
};

/// Longest wait for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A connection to one address, shared by all callers in the process.
///
/// A call that gets no answer within its time drops the connection, since a connection that has
/// gone silent is not reported by TCP; the next call makes a new one. Calls in flight on a dropped
/// connection fail and are asked again by their identity.
pub struct Link<C> {
    address: SocketAddr,
    state: Rc<RefCell<State<C>>>,
    connecting: Rc<Mutex<()>>,
}

struct State<C> {
    serial: u64,
    open: Option<Open<C>>,
}

struct Open<C> {
    client: C,
    task: AbortHandle,
    /// Closed when the connection is dropped: its calls would otherwise wait for ever.
    alive: watch::Sender<()>,
}

/// A connection as one call uses it.
struct Used<C> {
    client: C,
    serial: u64,
    alive: watch::Receiver<()>,
}

impl<C: Clone> Open<C> {
    fn used(&self, serial: u64) -> Used<C> {
        Used { client: self.client.clone(), serial, alive: self.alive.subscribe() }
    }
}

impl<C> Drop for Open<C> {
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
    /// A link to `address`, not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        let state = State { serial: 0, open: None };
        Self { address, state: Rc::new(RefCell::new(state)), connecting: Rc::default() }
    }

    /// The address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls the other side, waiting `time` at most for the answer.
    pub async fn call<T, F, A>(&self, time: Duration, f: F) -> Result<T>
    where
        F: FnOnce(C) -> A,
        A: Future<Output = Result<T>>,
    {
        let Used { client, serial, mut alive } = self.client().await?;
        let answer = async {
            tokio::select! {
                answer = f(client) => answer,
                _ = alive.changed() => Err(dropped()),
            }
        };
        match timeout(time, answer).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => {
                if error.is_disconnected() {
                    self.drop_connection(serial);
                }
                Err(error)
            }
            Err(_) => {
                self.drop_connection(serial);
                Err(Error::CallTimeout(time))
            }
        }
    }

    /// Drops the connection, if any; the next call makes a new one.
    pub fn reset(&self) {
        let serial = self.state.borrow().serial;
        self.drop_connection(serial);
    }

    async fn client(&self) -> Result<Used<C>> {
        if let Some(found) = self.current() {
            return Ok(found);
        }
        let _guard = self.connecting.lock().await;
        if let Some(found) = self.current() {
            return Ok(found);
        }
        let stream = self.connect().await?;
        Ok(self.install(stream))
    }

    fn current(&self) -> Option<Used<C>> {
        let state = self.state.borrow();
        state.open.as_ref().map(|open| open.used(state.serial))
    }

    async fn connect(&self) -> Result<TcpStream> {
        match timeout(CONNECT_TIME, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => {
                stream.set_nodelay(true).map_err(Error::Connect)?;
                Ok(stream)
            }
            Ok(Err(error)) => Err(Error::Connect(error)),
            Err(_) => Err(Error::ConnectTimeout(CONNECT_TIME)),
        }
    }

    fn install(&self, stream: TcpStream) -> Used<C> {
        let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
        let client: C = system.bootstrap(Side::Server);
        let (task, registration) = AbortHandle::new_pair();
        let open = Open { client, task, alive: watch::Sender::new(()) };
        let used = {
            let mut state = self.state.borrow_mut();
            state.serial += 1;
            let used = open.used(state.serial);
            state.open = Some(open);
            used
        };
        let serial = used.serial;
        let link = self.clone();
        tokio::task::spawn_local(async move {
            let _ = Abortable::new(system, registration).await;
            link.drop_connection(serial);
        });
        used
    }

    fn drop_connection(&self, serial: u64) {
        let mut state = self.state.borrow_mut();
        if state.serial == serial {
            let open = state.open.take();
            drop(state);
            drop(open);
        }
    }
}

fn dropped() -> Error {
    Error::Call(capnp::Error::disconnected("the connection was dropped".to_owned()))
}
