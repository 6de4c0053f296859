//! Connections to an endpoint: which ones may carry another request and which ones may not.

use {
    bronzespoold::http::{Connection, ConnectionPool, Error, ReadError},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, body::Body},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok";
const CLOSING: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
const UNREQUESTED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Idle time of the pools in these tests.
const IDLE_MAX: Duration = Duration::from_secs(60);
const BODY_BYTES_MAX: u64 = 1_000;

fn request() -> Request<Full<Bytes>> {
    Request::post("/s/k").header("host", "e").body(Full::new(Bytes::from_static(b"{}"))).unwrap()
}

/// Answers each request of one connection with the next text. Closes the connection after the last
/// one if `close` is set.
async fn serve_texts(mut stream: TcpStream, texts: &'static [&'static str], close: bool) {
    let mut head = vec![0; 4_096];
    for text in texts {
        let mut read = 0;
        while !head[..read].ends_with(b"\r\n\r\n{}") {
            match stream.read(&mut head[read..]).await {
                Ok(0) | Err(_) => return,
                Ok(count) => read += count,
            }
        }
        stream.write_all(text.as_bytes()).await.unwrap();
    }
    if !close {
        std::future::pending::<()>().await;
    }
}

/// Starts an endpoint that gives these responses on its first connection.
async fn start_endpoint(texts: &'static [&'static str], close: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve_texts(stream, texts, close).await;
    });
    address
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "the condition was not met in time");
        sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn exchange_whole_answer_connection_is_reused() {
    run(async {
        let address = start_endpoint(&[COMPLETE, COMPLETE], false).await;
        let mut pool = ConnectionPool::new(IDLE_MAX);
        let connection = Connection::open(address, TIMEOUT).await.unwrap();
        let (answer, connection) =
            connection.exchange(request(), BODY_BYTES_MAX, TIMEOUT).await.unwrap();
        assert_eq!(answer.body(), "ok");
        pool.put(Instant::now(), connection);
        wait_until(|| pool.take().map(|c| (c.is_ready(), pool.put(Instant::now(), c)).0).unwrap())
            .await;
        assert_eq!(pool.trim(Instant::now()), 0);
        let connection = pool.take().unwrap();
        // The endpoint accepts only one connection, so this is the same one.
        let (answer, _) = connection.exchange(request(), BODY_BYTES_MAX, TIMEOUT).await.unwrap();
        assert_eq!(answer.body(), "ok");
    });
}

#[test]
fn exchange_short_body_connection_is_gone() {
    run(async {
        let address = start_endpoint(&[TRUNCATED], true).await;
        let connection = Connection::open(address, TIMEOUT).await.unwrap();
        let error = connection.exchange(request(), BODY_BYTES_MAX, TIMEOUT).await.unwrap_err();
        assert!(matches!(error, Error::Body(ReadError::Short)), "{error}");
        assert!(!error.is_unsent());
    });
}

#[test]
fn exchange_timeout_connection_is_closed() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let connection = Connection::open(listener.local_addr().unwrap(), TIMEOUT).await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let time = Duration::from_millis(20);
        let error = connection.exchange(request(), BODY_BYTES_MAX, time).await.unwrap_err();
        assert!(matches!(error, Error::Timeout(_)), "{error}");
        let mut rest = Vec::new();
        // The endpoint sees the connection close, so a late response cannot reach another request.
        let _ = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut rest)).await.unwrap();
    });
}

#[test]
fn exchange_ended_connection_tells_unsent() {
    run(async {
        let address = start_endpoint(&[COMPLETE], true).await;
        let connection = Connection::open(address, TIMEOUT).await.unwrap();
        let (_, connection) =
            connection.exchange(request(), BODY_BYTES_MAX, TIMEOUT).await.unwrap();
        let body = request().body().size_hint().exact();
        assert_eq!(body, Some(2));
        // The endpoint has closed the connection. Once the client has seen that, it sends nothing.
        sleep(Duration::from_millis(50)).await;
        wait_until(|| !connection.is_ready()).await;
        let error = connection.exchange(request(), BODY_BYTES_MAX, TIMEOUT).await.unwrap_err();
        assert!(error.is_unsent(), "{error}");
    });
}

#[test]
fn trim_closed_and_old_connections_are_counted() {
    run(async {
        let mut pool = ConnectionPool::new(IDLE_MAX);
        for text in [&[COMPLETE], &[CLOSING], &[UNREQUESTED]] {
            let address = start_endpoint(text, false).await;
            let connection = Connection::open(address, TIMEOUT).await.unwrap();
            let (answer, connection) =
                connection.exchange(request(), BODY_BYTES_MAX, TIMEOUT).await.unwrap();
            assert_eq!(answer.body(), "ok");
            pool.put(Instant::now(), connection);
        }
        // Only the first connection may carry another request: the second one announced its close,
        // and the third one received a response without a request.
        let mut closed = 0;
        wait_until(|| {
            closed += pool.trim(Instant::now());
            closed == 2
        })
        .await;
        assert_eq!(pool.len(), 1);
        assert_eq!(pool.trim(Instant::now() + IDLE_MAX), 1, "idle for too long");
        assert!(pool.is_empty());
    });
}

#[test]
fn expire_idle_connections_are_closed() {
    run(async {
        let address = start_endpoint(&[COMPLETE], false).await;
        let mut pool = ConnectionPool::new(IDLE_MAX);
        let connection = Connection::open(address, TIMEOUT).await.unwrap();
        let (_, connection) =
            connection.exchange(request(), BODY_BYTES_MAX, TIMEOUT).await.unwrap();
        let now = Instant::now();
        pool.put(now, connection);
        pool.expire(now);
        assert_eq!(pool.trim(now), 1);
    });
}
