//! HTTP client for services that take and return JSON.

use {
    crate::http::{Connection, ConnectionPool, Error, FetchedResponse, Result},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{header::CONTENT_TYPE, http::request::Builder},
    serde_json::Value,
    std::{
        cell::RefCell,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of an answer. The largest are a worker's list of running tasks with 500 ended runs,
/// and a page of the machine list.
const ANSWER_MAX_BYTES: u64 = 4 << 20;

/// Client for one address, which reuses idle connections.
pub struct JsonClient {
    address: SocketAddr,
    pool: RefCell<ConnectionPool>,
}

impl JsonClient {
    /// Returns a client for the service at an address.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, pool: RefCell::new(ConnectionPool::new(IDLE_TIMEOUT)) }
    }

    /// Returns the address of the service.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request with a JSON body, or none if it is null, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// If there is no whole answer. Connecting and the exchange may each take `time`.
    pub async fn send(
        &self,
        request: Builder,
        body: &Value,
        time: Duration,
    ) -> Result<FetchedResponse> {
        let connection = match self.idle(None) {
            Some(connection) => connection,
            None => Connection::open(self.address, time).await?,
        };
        let (answer, connection) = self.exchange(connection, request, body, time).await?;
        self.put(connection);
        Ok(answer)
    }

    /// Takes an idle connection to the process of the peer that started at `peer`, or to any if that
    /// is unset.
    fn idle(&self, peer: Option<u64>) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        pool.trim(Instant::now());
        pool.take_if(|c| peer.is_none() || c.peer() == peer)
    }

    /// Sends a request on a connection that leads to the process of the peer that started at `peer`.
    /// A connection ends with the process that has accepted it, so what has answered on it once is
    /// what gets the request. On a connection of which that is not known, `ask` is sent first, and
    /// `answers` tells whether its answer is of that process; if not, this answer is returned.
    ///
    /// # Errors
    ///
    /// If it was not found in `time` which process there is. The request was not sent then.
    pub async fn send_to(
        &self,
        peer: u64,
        ask: (Builder, &Value),
        answers: impl FnOnce(&FetchedResponse) -> bool,
        (request, body, time): (Builder, &Value, Duration),
    ) -> Result<PeerAnswer> {
        let connection = match self.idle(Some(peer)) {
            Some(connection) => connection,
            None => {
                let begun = Instant::now();
                let connection = match self.idle(None) {
                    Some(connection) => connection,
                    None => Connection::open(self.address, time).await?,
                };
                let left = time.saturating_sub(begun.elapsed());
                let (answer, connection) = self.exchange(connection, ask.0, ask.1, left).await?;
                if !answers(&answer) {
                    self.put(connection);
                    return Ok(PeerAnswer::Other(answer));
                }
                connection.with_peer(peer)
            }
        };
        let sent = self.exchange(connection, request, body, time).await;
        Ok(PeerAnswer::Sent(sent.map(|(answer, connection)| {
            self.put(connection);
            answer
        })))
    }

    fn put(&self, connection: Connection) {
        self.pool.borrow_mut().put(Instant::now(), connection);
    }

    async fn exchange(
        &self,
        connection: Connection,
        request: Builder,
        body: &Value,
        time: Duration,
    ) -> Result<(FetchedResponse, Connection)> {
        let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        let request = request
            .header("Host", self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(bytes))
            .map_err(Error::Invalid)?;
        connection.exchange(request, ANSWER_MAX_BYTES, time).await
    }
}

/// What became of a request to a certain process.
#[derive(Debug)]
pub enum PeerAnswer {
    /// It was sent to that process, which has answered or not.
    Sent(Result<FetchedResponse>),
    /// It was not sent: this is the answer to the question which process there is.
    Other(FetchedResponse),
}
