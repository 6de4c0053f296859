//! Keep-alive connections to one address, as callers hold them.

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

/// A whole response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Connections to one address; each carries one request at a time.
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl Pool {
    /// A pool without connections.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::new(Vec::new()) }
    }

    /// Sends a request and reads the response whole.
    ///
    /// # Errors
    ///
    /// If no connection can be made or the connection ends before the whole response.
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
            // The sender of the request is told of any error.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn pop_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        self.idle.borrow_mut().pop()
    }
}
