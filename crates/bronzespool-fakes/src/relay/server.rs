//! Accepts connections and copies their bytes to the target and back.

use {
    crate::relay::Mode,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
};

/// Largest chunk that is copied at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Traffic through a relay, both directions together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Payload bytes.
    pub bytes: u64,
    /// Number of chunks in which the bytes were read: about the number of segments that carried
    /// them.
    pub chunks: u64,
}

#[derive(Debug, Default)]
struct Counters {
    bytes: AtomicU64,
    chunks: AtomicU64,
}

/// A relay in front of one address. It stops when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free loopback port in front of `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::default();
        let counters = Arc::new(Counters::default());
        let accept = accept(listener, target, mode.subscribe(), Arc::clone(&counters));
        let task = tokio::spawn(accept);
        Ok(Self { address, mode, counters, task })
    }

    /// Address that clients connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, also of open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Traffic since the start.
    pub fn traffic(&self) -> Traffic {
        let Counters { bytes, chunks } = &*self.counters;
        Traffic { bytes: bytes.load(Ordering::Relaxed), chunks: chunks.load(Ordering::Relaxed) }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    counters: Arc<Counters>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(relay(stream, target, mode.clone(), Arc::clone(&counters)));
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    counters: Arc<Counters>,
) {
    let mut cut = mode.clone();
    let forward = async {
        wait_until_open(&mut mode).await;
        let server = TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        let up = copy(client_in, server_out, mode.clone(), &counters);
        let down = copy(server_in, client_out, mode, &counters);
        tokio::try_join!(up, down).map(|_| ())
    };
    tokio::select! {
        _ = forward => {}
        _ = cut.wait_for(|m| *m == Mode::Cut) => {}
    }
}

/// Waits until the relay is not frozen and returns its mode.
async fn wait_until_open(mode: &mut watch::Receiver<Mode>) -> Mode {
    match mode.wait_for(|m| *m != Mode::Freeze).await {
        Ok(mode) => *mode,
        Err(_) => Mode::Cut,
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    counters: &Counters,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut chunk).await?;
        if let Mode::Delay(time) = wait_until_open(&mut mode).await {
            sleep(time).await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..length]).await?;
        counters.bytes.fetch_add(length as u64, Ordering::Relaxed);
        counters.chunks.fetch_add(1, Ordering::Relaxed);
    }
}
