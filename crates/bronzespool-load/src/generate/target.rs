//! Where requests are sent: the system's entries, or endpoints without the system.

use {
    crate::{
        Result,
        generate::{Class, Item, Pool, Reply},
    },
    bronzespool::core::{Code, Outcome},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request},
    serde_json::{Value, json},
    std::{cell::Cell, net::SocketAddr, rc::Rc},
    tokio::time::timeout,
};

/// One request to send.
#[derive(Clone, Debug)]
pub struct Wish {
    /// What is asked for.
    pub item: Item,
    /// Number of the request within the whole run; it makes the body its own.
    pub number: u64,
    /// Idempotency key of a protected kind.
    pub key: Option<String>,
}

impl Wish {
    /// The request at `path`.
    ///
    /// # Errors
    ///
    /// If a name is not fit for a header.
    pub fn request(&self, path: &str) -> Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(hyper::header::HOST, "load")
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .header("team", &self.item.team)
            .header("request-id", format!("load-{}", self.number))
            .header("deadline-ms", self.item.deadline.as_millis().to_string());
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        let body = json!({ "number": self.number }).to_string();
        Ok(request.body(Full::new(Bytes::from(body)))?)
    }

    /// Path of the request at an endpoint.
    pub fn path(&self) -> String {
        format!("/{}/{}", self.item.service, self.item.kind)
    }

    /// Whether a body is the whole answer to this very request.
    pub fn answered(&self, body: &[u8]) -> bool {
        let Ok(value) = serde_json::from_slice::<Value>(body) else {
            return false;
        };
        value["body"]["number"] == self.number
            && value["team"] == self.item.team.as_str()
            && value["path"] == self.path()
    }
}

/// Something that answers requests.
pub trait Target: 'static {
    /// Sends a request and tells what came back.
    fn send(&self, wish: &Wish) -> impl Future<Output = Class>;
}

/// The entries of the system, taken in turn as a balancer does.
pub struct Entries {
    pools: Vec<Pool>,
    next: Cell<usize>,
}

impl Entries {
    /// A target of these addresses.
    pub fn new(addresses: &[SocketAddr]) -> Rc<Self> {
        let pools = addresses.iter().copied().map(Pool::new).collect();
        Rc::new(Self { pools, next: Cell::new(0) })
    }
}

impl Target for Entries {
    async fn send(&self, wish: &Wish) -> Class {
        let pool = turn(&self.pools, &self.next);
        let path = format!("/v1/services/{}/{}", wish.item.service, wish.item.kind);
        let Ok(request) = wish.request(&path) else {
            return Class::Failed;
        };
        match timeout(wish.item.deadline * 2, pool.send(request)).await {
            Ok(Ok(reply)) => class(wish, &reply),
            Ok(Err(_)) | Err(_) => Class::Failed,
        }
    }
}

/// Endpoints called directly, in turn, without limits and without retries.
pub struct Direct {
    pools: Vec<Pool>,
    next: Cell<usize>,
}

impl Direct {
    /// A target of these addresses.
    pub fn new(addresses: &[SocketAddr]) -> Rc<Self> {
        let pools = addresses.iter().copied().map(Pool::new).collect();
        Rc::new(Self { pools, next: Cell::new(0) })
    }
}

impl Target for Direct {
    async fn send(&self, wish: &Wish) -> Class {
        let pool = turn(&self.pools, &self.next);
        let Ok(request) = wish.request(&wish.path()) else {
            return Class::Failed;
        };
        match timeout(wish.item.deadline, pool.send(request)).await {
            Ok(Ok(reply)) => plain_class(wish, &reply),
            Ok(Err(_)) | Err(_) => Class::Failed,
        }
    }
}

/// The next one in turn.
pub(super) fn turn<'a, T>(all: &'a [T], next: &Cell<usize>) -> &'a T {
    let number = next.get();
    next.set(number.wrapping_add(1));
    &all[number % all.len()]
}

/// What an endpoint's answer is, without result codes.
pub(super) fn plain_class(wish: &Wish, reply: &Reply) -> Class {
    if !reply.status.is_success() {
        return Class::Failed;
    }
    if wish.answered(&reply.body) { Class::Good } else { Class::Wrong }
}

fn class(wish: &Wish, reply: &Reply) -> Class {
    let number = reply.headers.get("result-code").and_then(|v| v.to_str().ok());
    let code = number.and_then(|t| t.parse::<u16>().ok()).and_then(|n| Code::try_from(n).ok());
    match code.map(Code::outcome) {
        Some(Outcome::Done) => plain_class(wish, reply),
        Some(Outcome::NotRun) => Class::NotRun,
        Some(Outcome::Unknown) => Class::Unknown,
        None => Class::Failed,
    }
}
