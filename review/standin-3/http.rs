//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and single calls.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request with its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }
}

/// Status and body of an answer; none to close the connection without one.
pub type Answer = Option<(u16, String)>;

/// Answers requests.
pub type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

/// A server that can be closed like a process that ends: its listener and all connections go.
pub struct Server {
    closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_closed, open) = (Arc::clone(&closed), Arc::clone(&connections));
        let accepting = thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, is_closed) = (Arc::clone(&handler), Arc::clone(&is_closed));
                thread::spawn(move || serve(stream, &handler, &is_closed));
            }
        });
        Ok(Self { closed, connections, accepting: Some(accepting) })
    }

    /// Closes the listener and all connections.
    pub fn close(mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler, closed: &AtomicBool) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let answer = handler(&request);
        if closed.load(Ordering::SeqCst) {
            return;
        }
        let Some((status, body)) = answer else { break };
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        fill(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let mut request = Request { method, path, headers, body: String::new() };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while buffer.len() < end + length {
        fill(stream, buffer)?;
    }
    request.body = String::from_utf8_lossy(&buffer[end..end + length]).into_owned();
    buffer.drain(..end + length);
    Some(request)
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 65_536];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return None,
            Ok(count) => {
                buffer.extend_from_slice(&bytes[..count]);
                return Some(());
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

/// Makes one call on a connection of its own; none without a whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, time).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    loop {
        if let Some(whole) = read_answer(&answer) {
            return Some(whole);
        }
        fill(&mut stream, &mut answer)?;
    }
}

fn read_answer(bytes: &[u8]) -> Option<(u16, String)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.split("\r\n").find_map(|l| l.strip_prefix("content-length:"));
    let length: usize = length.map_or(0, |l| l.trim().parse().unwrap_or(0));
    let body = bytes.get(end..end + length)?;
    Some((status, String::from_utf8_lossy(body).into_owned()))
}
