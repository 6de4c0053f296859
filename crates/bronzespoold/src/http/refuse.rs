//! Refusal of a connection beyond the bound of its listener.

use {
    crate::http::refusal_response,
    bronzespool::core::Refusal,
    http_body_util::{BodyExt, Collected},
    std::{fmt::Write as _, io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Longest time for which a refused connection stays open.
const REFUSAL_TIME_MAX: Duration = Duration::from_secs(1);
/// Size of the buffer for what the caller sends, which is dropped.
const DROPPED_BYTES: usize = 1_024;

/// Answers the first bytes of a request with the refusal and closes the connection. Without reading
/// what follows, the close would reset the connection before the caller has read the refusal.
pub(super) async fn refuse(stream: TcpStream, refusal: Refusal) {
    let answered = timeout(REFUSAL_TIME_MAX, answer(stream, &refusal)).await;
    if let Ok(Err(error)) = answered {
        log::debug!(error:%; "a refusal was not sent");
    }
}

async fn answer(mut stream: TcpStream, refusal: &Refusal) -> io::Result<()> {
    let mut dropped = [0; DROPPED_BYTES];
    // A client takes an answer before its request for an error.
    if stream.read(&mut dropped).await? == 0 {
        return Ok(());
    }
    stream.write_all(&response_bytes(refusal).await).await?;
    stream.shutdown().await?;
    while stream.read(&mut dropped).await? > 0 {}
    Ok(())
}

async fn response_bytes(refusal: &Refusal) -> Vec<u8> {
    let (parts, body) = refusal_response(refusal, "").into_parts();
    let body = body.collect().await.map(Collected::to_bytes).unwrap_or_default();
    let mut head = format!("HTTP/1.1 {}\r\nconnection: close\r\n", parts.status);
    // Writing to a string cannot fail.
    let _ = write!(head, "content-length: {}\r\n", body.len());
    for (name, value) in &parts.headers {
        let _ = write!(head, "{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    head.push_str("\r\n");
    [head.as_bytes(), &body].concat()
}
