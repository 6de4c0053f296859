//! One request on a connection of its own.

use {
    crate::http::{ReadError, read_whole},
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::Full,
    hyper::{Request, Response, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Longest wait for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Result of a request.
pub type Result<T> = std::result::Result<T, Error>;

/// A whole answer.
pub type Fetched = Response<Bytes>;

/// Why there is no whole answer.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect to {0}
    Connect(SocketAddr),
    /// the connection failed: {0}
    Transfer(hyper::Error),
    /// the answer was not read: {0}
    Body(ReadError),
    /// no whole answer within {0:?}
    Time(Duration),
}

impl std::error::Error for Error {}

impl Error {
    /// Whether no byte of the request was sent.
    pub const fn unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

/// Sends a request on a new connection and reads the answer whole, within `time`.
///
/// The connection carries this one request and is closed afterwards, so that a late answer can
/// never reach another request.
pub async fn fetch(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: u64,
    time: Duration,
) -> Result<Fetched> {
    let connecting = timeout(CONNECT_TIME.min(time), TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connecting else {
        return Err(Error::Connect(address));
    };
    let _ = stream.set_nodelay(true);
    timeout(time, exchange(stream, request, limit)).await.unwrap_or(Err(Error::Time(time)))
}

async fn exchange(stream: TcpStream, request: Request<Full<Bytes>>, limit: u64) -> Result<Fetched> {
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(Error::Transfer)?;
    let answer = async {
        let answer = sender.send_request(request).await.map_err(Error::Transfer)?;
        let (parts, body) = answer.into_parts();
        let body = read_whole(body, limit).await.map_err(Error::Body)?;
        Ok(Response::from_parts(parts, body))
    };
    drive(connection, answer).await
}

/// Drives the connection for as long as the answer needs it.
async fn drive<C, A>(connection: C, answer: A) -> Result<Fetched>
where
    C: Future,
    A: Future<Output = Result<Fetched>>,
{
    let connection = std::pin::pin!(connection);
    let answer = std::pin::pin!(answer);
    match futures::future::select(connection, answer).await {
        futures::future::Either::Left((_, answer)) => answer.await,
        futures::future::Either::Right((result, _)) => result,
    }
}
