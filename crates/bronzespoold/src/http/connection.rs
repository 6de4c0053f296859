//! A client connection to an endpoint or a worker, for one request at a time.

use {
    crate::http::{Error, FetchedResponse, Result, read_body},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    std::{io::ErrorKind, net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        task::{AbortHandle, spawn_local},
        time::timeout,
    },
};

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client connection. Dropping it closes it at once, also while a transfer is under way.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    peer: Option<u64>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to `address` within `time`, and within one second in any case. Must run inside a
    /// [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if nothing listens at the address, [`Error::Connect`] if the connection is
    /// not established in time for another reason.
    pub async fn open(address: SocketAddr, time: Duration) -> Result<Self> {
        let connecting = timeout(CONNECT_TIMEOUT.min(time), TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(Error::Refused(address));
            }
            Ok(Err(_)) | Err(_) => return Err(Error::Connect(address)),
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(Error::Transfer)?;
        let driver = spawn_local(async move {
            // Errors also reach the sender of the request.
            let _ = connection.await;
        });
        Ok(Self { sender, driver: driver.abort_handle(), peer: None })
    }

    /// Returns when the process at the other end started, if an answer has told it.
    pub const fn peer(&self) -> Option<u64> {
        self.peer
    }

    /// Notes when the process at the other end started, as an answer on this connection tells.
    #[must_use]
    pub const fn with_peer(mut self, peer: u64) -> Self {
        self.peer = Some(peer);
        self
    }

    /// Whether a request can be sent now: the last response was read completely and no close by the
    /// peer has been seen yet.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the complete response, at most `limit` bytes, within `time`. The
    /// connection is returned only with a complete response. In every other case it is closed, so
    /// that a late or partial response can never be taken for the response to another request.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if the connection ended before the first byte of the request was sent,
    /// otherwise the reason why there is no complete response.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        limit: u64,
        time: Duration,
    ) -> Result<(FetchedResponse, Self)> {
        match timeout(time, self.send(request, limit)).await {
            Ok(response) => Ok((response?, self)),
            Err(_) => Err(Error::Timeout(time)),
        }
    }

    async fn send(&mut self, request: Request<Full<Bytes>>, limit: u64) -> Result<FetchedResponse> {
        let result = self.sender.try_send_request(request).await;
        let response = result.map_err(|error| match error.message() {
            Some(_) => Error::Unsent,
            None => Error::Transfer(error.into_error()),
        })?;
        let (parts, body) = response.into_parts();
        let body = read_body(body, limit).await.map_err(Error::Body)?;
        Ok(Response::from_parts(parts, body))
    }
}
