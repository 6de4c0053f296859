//! Client of the operators' interface.

use {
    crate::error::{Error, Failure, Result},
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

/// Longest wait for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(3);
/// Largest answer in bytes.
const ANSWER_MAX: usize = 64 << 20;

/// Asks the operators' interface of one entry instance.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    at: SocketAddr,
    time: Duration,
}

/// A whole answer.
struct Answer {
    status: u16,
    body: Bytes,
}

impl Client {
    /// A client of the entry instance at `at` that waits at most `time` for an answer.
    pub const fn new(at: SocketAddr, time: Duration) -> Self {
        Self { at, time }
    }

    /// The value at `path`.
    ///
    /// # Errors
    ///
    /// The entry instance cannot be reached, or refuses.
    pub async fn get(&self, path: &str) -> Result<Value> {
        match self.send(Method::GET, path, Bytes::new()).await {
            Err(Error::Lost { at, cause }) => Err(Error::Unreachable { at, cause }),
            other => other,
        }
    }

    /// Sends `body` to `path`.
    ///
    /// # Errors
    ///
    /// The entry instance cannot be reached, refuses, or gave no whole answer.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        self.send(Method::POST, path, body.to_string().into()).await
    }

    /// Deletes what is at `path`.
    ///
    /// # Errors
    ///
    /// The entry instance cannot be reached, refuses, or gave no whole answer.
    pub async fn delete(&self, path: &str) -> Result<Value> {
        self.send(Method::DELETE, path, Bytes::new()).await
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Value> {
        let stream = self.connect().await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.at.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Usage(error.to_string()))?;
        let answer = match timeout(self.time, exchange(stream, request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => return Err(self.lost(cause)),
            Err(_) => return Err(self.lost(format!("nothing within {:?}", self.time))),
        };
        self.read(&answer)
    }

    async fn connect(&self) -> Result<TcpStream> {
        let fail = |cause| Error::Unreachable { at: self.at, cause };
        match timeout(CONNECT_TIME.min(self.time), TcpStream::connect(self.at)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(fail(error.to_string())),
            Err(_) => Err(fail("no connection in time".to_owned())),
        }
    }

    fn read(&self, answer: &Answer) -> Result<Value> {
        if (200..300).contains(&answer.status) {
            let value = serde_json::from_slice(&answer.body);
            return value.map_err(|error| self.lost(format!("the answer is not JSON: {error}")));
        }
        match serde_json::from_slice::<Failure>(&answer.body) {
            Ok(failure) => Err(Error::Refused(Box::new(failure))),
            Err(_) => Err(self.lost(format!("status {} without a result code", answer.status))),
        }
    }

    fn lost(&self, cause: String) -> Error {
        Error::Lost { at: self.at, cause }
    }
}

/// Sends one request on its own connection and reads the answer whole.
async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> std::result::Result<Answer, String> {
    let text = |error: hyper::Error| error.to_string();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(text)?;
    let answer = async {
        let answer = sender.send_request(request).await.map_err(text)?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), ANSWER_MAX).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok(Answer { status, body })
    };
    tokio::pin!(answer);
    tokio::select! {
        answer = &mut answer => answer,
        _ = connection => answer.await,
    }
}
