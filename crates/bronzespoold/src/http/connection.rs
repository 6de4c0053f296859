//! One connection to an endpoint or a worker, for one request at a time.

use {
    crate::http::{Error, FetchedResponse, Result, read_body},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        task::{AbortHandle, spawn_local},
        time::timeout,
    },
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection. It is closed when dropped, whatever is on its way over it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to `address`, within `time` and a bound of its own. Must run inside a
    /// [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if there is no connection in time.
    pub async fn open(address: SocketAddr, time: Duration) -> Result<Self> {
        let connecting = timeout(CONNECT_TIMEOUT.min(time), TcpStream::connect(address));
        let Ok(Ok(stream)) = connecting.await else {
            return Err(Error::Connect(address));
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(Error::Transfer)?;
        let driver = spawn_local(async move {
            // The sender of the request is told of any error.
            let _ = connection.await;
        });
        Ok(Self { sender, driver: driver.abort_handle() })
    }

    /// Whether a request can be sent now: the last answer was read whole, and the other side has
    /// not closed the connection as far as known here.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and reads the answer whole, within `time`. The connection comes back only
    /// with a whole answer; after anything else it is closed, so that a late or partial answer
    /// can never reach another request.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if the connection had ended before the first byte of the request, else
    /// the reason why there is no whole answer.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        limit: u64,
        time: Duration,
    ) -> Result<(FetchedResponse, Self)> {
        match timeout(time, self.send(request, limit)).await {
            Ok(answer) => Ok((answer?, self)),
            Err(_) => Err(Error::Timeout(time)),
        }
    }

    async fn send(&mut self, request: Request<Full<Bytes>>, limit: u64) -> Result<FetchedResponse> {
        let sent = self.sender.try_send_request(request).await;
        let answer = sent.map_err(|error| match error.message() {
            Some(_) => Error::Unsent,
            None => Error::Transfer(error.into_error()),
        })?;
        let (parts, body) = answer.into_parts();
        let body = read_body(body, limit).await.map_err(Error::Body)?;
        Ok(Response::from_parts(parts, body))
    }
}
