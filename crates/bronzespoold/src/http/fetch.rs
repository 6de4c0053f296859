//! A single request on a new connection.

use {
    crate::http::{Connection, ReadError},
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::Full,
    hyper::{Request, Response},
    std::{net::SocketAddr, time::Duration},
};

/// Result of a request.
pub type Result<T> = std::result::Result<T, Error>;

/// A response whose body was read completely.
pub type FetchedResponse = Response<Bytes>;

/// Why there is no complete response.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect to {0}
    Connect(SocketAddr),
    /// nothing listens at {0}
    Refused(SocketAddr),
    /// the connection ended before the request was sent
    Unsent,
    /// the request cannot be written: {0}
    Invalid(hyper::http::Error),
    /// the connection failed: {0}
    Transfer(hyper::Error),
    /// the answer was not read: {0}
    Body(ReadError),
    /// no whole answer within {0:?}
    Timeout(Duration),
}

impl std::error::Error for Error {}

impl Error {
    /// Whether no byte of the request was sent, so that the request cannot have run.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Refused(_) | Self::Unsent | Self::Invalid(_))
    }

    /// Whether an open connection was closed before the whole answer.
    pub const fn is_closed(&self) -> bool {
        matches!(self, Self::Unsent | Self::Transfer(_) | Self::Body(ReadError::Short))
    }
}

/// Sends a request on a new connection and reads the complete response. Connecting and the exchange
/// may each take `time`. The connection carries only this request and is closed afterwards.
pub async fn fetch(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: u64,
    time: Duration,
) -> Result<FetchedResponse> {
    let connection = Connection::open(address, time).await?;
    let (response, _) = connection.exchange(request, limit, time).await?;
    Ok(response)
}
