//! Pool of keep-alive connections to one address, as a caller would use.

use {
    crate::Result,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Request, StatusCode,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    std::{cell::RefCell, net::SocketAddr},
    tokio::{net::TcpStream, task::spawn_local},
};

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Connections to one address; each carries one request at a time. Their number is not limited.
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::new(Vec::new()) }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be made or it ends before the response is complete.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response> {
        let mut sender = self.idle_or_connect().await?;
        let response = sender.send_request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        self.idle.borrow_mut().push(sender);
        Ok(Response { status: parts.status, headers: parts.headers, body })
    }

    async fn idle_or_connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        while let Some(mut sender) = self.pop_idle() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        spawn_local(async move {
            // Errors are reported by the request itself.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn pop_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        self.idle.borrow_mut().pop()
    }
}
