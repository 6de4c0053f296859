//! HTTP client of the operators' interface.

use {
    crate::error::{Error, ErrorResponse, Result},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request,
        client::conn::http1,
        header::{CONTENT_TYPE, HOST},
    },
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest response body that is read.
const RESPONSE_BYTES_MAX: usize = 64 << 20;

/// Client of the operators' interface of one entry instance.
///
/// Each request uses a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    addr: SocketAddr,
    timeout: Duration,
}

/// A response that was read completely.
struct Response {
    status: u16,
    body: Bytes,
}

impl Client {
    /// Creates a client of the entry instance at `addr`, with `timeout` for each response.
    pub const fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout }
    }

    /// Gets the value at `path`. A lost response is reported as [`Error::Unreachable`], since a
    /// read changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry instance cannot be reached or refuses the request.
    pub async fn get(&self, path: &str) -> Result<Value> {
        match self.send(Method::GET, path, Bytes::new()).await {
            Err(Error::ResponseLost { at, cause }) => Err(Error::Unreachable { at, cause }),
            other => other,
        }
    }

    /// Posts `body` to `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry instance cannot be reached, refuses the request, or gives no
    /// complete response.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        self.send(Method::POST, path, body.to_string().into()).await
    }

    /// Deletes the resource at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry instance cannot be reached, refuses the request, or gives no
    /// complete response.
    pub async fn delete(&self, path: &str) -> Result<Value> {
        self.send(Method::DELETE, path, Bytes::new()).await
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Value> {
        let stream = self.connect().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Usage(error.to_string()))?;
        let response = match timeout(self.timeout, send_request(stream, request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(cause)) => return Err(self.response_lost(cause)),
            Err(_) => {
                return Err(self.response_lost(format!("no response within {:?}", self.timeout)));
            }
        };
        self.read_json(&response)
    }

    async fn connect(&self) -> Result<TcpStream> {
        let unreachable = |cause| Error::Unreachable { at: self.addr, cause };
        match timeout(CONNECT_TIMEOUT.min(self.timeout), TcpStream::connect(self.addr)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(unreachable(error.to_string())),
            Err(_) => Err(unreachable("connection timed out".to_owned())),
        }
    }

    fn read_json(&self, response: &Response) -> Result<Value> {
        if (200..300).contains(&response.status) {
            let value = serde_json::from_slice(&response.body);
            return value
                .map_err(|error| self.response_lost(format!("the response is not JSON: {error}")));
        }
        match serde_json::from_slice::<ErrorResponse>(&response.body) {
            Ok(error) => Err(Error::Refused(Box::new(error))),
            Err(_) => {
                Err(self.response_lost(format!("status {} without a result code", response.status)))
            }
        }
    }

    fn response_lost(&self, cause: String) -> Error {
        Error::ResponseLost { at: self.addr, cause }
    }
}

/// Sends one request on `stream` and reads the complete response.
async fn send_request(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> std::result::Result<Response, String> {
    let message = |error: hyper::Error| error.to_string();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(message)?;
    let response = async {
        let response = sender.send_request(request).await.map_err(message)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok(Response { status, body })
    };
    tokio::pin!(response);
    tokio::select! {
        response = &mut response => response,
        _ = connection => response.await,
    }
}
