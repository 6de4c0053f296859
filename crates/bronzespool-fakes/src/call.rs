//! Small HTTP client for tests: one request on a connection of its own.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{error::Error, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of a call.
pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Number of the result code in the headers, zero without one.
    pub fn code(&self) -> u16 {
        let text = self.headers.get("result-code").and_then(|v| v.to_str().ok());
        text.and_then(|t| t.parse().ok()).unwrap_or_default()
    }

    /// The outcome in the headers.
    pub fn outcome(&self) -> &str {
        self.headers.get("outcome").and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// The body as JSON, null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl Call {
    /// A request without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// A GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    /// A POST request with a JSON body.
    pub fn post(path: impl Into<String>, body: &Value) -> Self {
        let mut call = Self::new(Method::POST, path);
        call.body = Bytes::from(body.to_string());
        call
    }

    /// A PUT request with a JSON body.
    pub fn put(path: impl Into<String>, body: &Value) -> Self {
        Self { method: Method::PUT, ..Self::post(path, body) }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sends the request and reads the answer whole.
    pub async fn send(&self, address: SocketAddr) -> Result<Answer> {
        timeout(ANSWER_TIMEOUT, self.exchange(address)).await?
    }

    async fn exchange(&self, address: SocketAddr) -> Result<Answer> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", "test")
            .header("content-type", "application/json");
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let answer = sender.send_request(request.body(Full::new(self.body.clone()))?).await?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        driver.abort();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }
}
