//! Small HTTP client for tests that opens a new connection for each request.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{error::Error, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout of a whole call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of a call.
pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Number of the result code in the header `result-code`, zero if it is missing or invalid.
    pub fn code(&self) -> u16 {
        let text = self.headers.get("result-code").and_then(|v| v.to_str().ok());
        text.and_then(|t| t.parse().ok()).unwrap_or_default()
    }

    /// Value of the header `outcome`, empty if it is missing.
    pub fn outcome(&self) -> &str {
        self.headers.get("outcome").and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// The body as JSON, null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A request to send.
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

    /// Sends the request and reads the whole response.
    pub async fn send(&self, address: SocketAddr) -> Result<Answer> {
        timeout(ANSWER_TIMEOUT, self.exchange(address)).await?
    }

    async fn exchange(&self, address: SocketAddr) -> Result<Answer> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = tokio::spawn(connection);
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
        connection.abort();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }
}
