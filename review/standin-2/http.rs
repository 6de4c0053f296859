//! HTTP/1.1 over loopback: a client for one request, and a server with a thread per connection.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Status and body of an answer.
pub type Answer = (u16, String);

/// Sends one request over a connection of its own; none without a whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<Answer> {
    let end = Instant::now() + time;
    let mut stream = TcpStream::connect_timeout(&address, time).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    ));
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut bytes = Vec::new();
    loop {
        let left = end.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        if let Some((head, length)) = split_head(&bytes)
            && bytes.len() >= length.0 + length.1
        {
            let status = head.split_whitespace().nth(1)?.parse().ok()?;
            let body = bytes[length.0..length.0 + length.1].to_vec();
            return Some((status, String::from_utf8_lossy(&body).into_owned()));
        }
        let mut buffer = [0; 16_384];
        match stream.read(&mut buffer).ok()? {
            0 => return None,
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Returns the head of a message, and the lengths of head and body.
fn split_head(bytes: &[u8]) -> Option<(String, (usize, usize))> {
    let at = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    Some((head, (at + 4, length.unwrap_or(0))))
}

/// A server that can be ended like a process that is killed.
pub struct Server {
    up: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves an address until it is ended. No answer closes the connection.
    pub fn start<F>(address: SocketAddr, handle: F) -> std::io::Result<Self>
    where
        F: Fn(&Request) -> Option<Answer> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let (up, streams) = (Arc::new(AtomicBool::new(true)), Arc::default());
        let server = Self { up: Arc::clone(&up), streams: Arc::clone(&streams) };
        let handle = Arc::new(handle);
        thread::spawn(move || {
            while up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                streams.lock().unwrap().extend(stream.try_clone().ok());
                let (up, handle) = (Arc::clone(&up), Arc::clone(&handle));
                thread::spawn(move || serve(stream, &up, &*handle));
            }
        });
        Ok(server)
    }

    /// Ends the server at once: its listener and all of its connections are closed.
    pub fn end(&self) {
        self.up.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, up: &AtomicBool, handle: &dyn Fn(&Request) -> Option<Answer>) {
    let mut bytes = Vec::new();
    loop {
        if let Some((head, (start, length))) = split_head(&bytes)
            && bytes.len() >= start + length
        {
            let body = String::from_utf8_lossy(&bytes[start..start + length]).into_owned();
            bytes.drain(..start + length);
            let answer = handle(&read_request(&head, body));
            let Some((status, body)) = answer.filter(|_| up.load(Ordering::SeqCst)) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let mut buffer = [0; 16_384];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn read_request(head: &str, body: String) -> Request {
    let mut lines = head.lines();
    let mut words = lines.next().unwrap_or("").split_whitespace().map(str::to_owned);
    let path = words.nth(1).unwrap_or_default();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Request { path, headers: headers.collect(), body }
}
