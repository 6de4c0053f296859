//! Reads a complete body, up to a maximum size.

use {
    crate::http::budget::{BodyBudget, BodyRoom, READ_GRACE},
    bronzespool::core::{Code, Refusal},
    bytes::{Bytes, BytesMut},
    displaydoc::Display,
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{ops::Deref, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until, timeout},
};

/// Largest body that needs no room in the budget. The bound of connections covers those of all callers;
/// a job of one step with its whole text has some 4 KiB.
const SMALL_BYTES: u64 = 8 << 10;
/// Longest pause within a body.
const PAUSE_MAX: Duration = Duration::from_secs(15);
/// Longest time in which a body arrives.
const BODY_TIME_MAX: Duration = Duration::from_secs(60);
/// Time after which a caller that was turned away may come back.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Result of reading a body.
type Result<T, E = ReadError> = std::result::Result<T, E>;

/// Why a body was not read completely.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ReadError {
    /// the body is over its limit of {0} bytes
    Large(u64),
    /// the body ended before its declared length
    Short,
}

impl std::error::Error for ReadError {}

/// Why the body of a request was not read completely. The request was not carried out.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RequestError {
    /// {0}
    Invalid(ReadError),
    /// the body did not arrive in time: nothing was run
    Slow,
    /// this process has no room for the body now: nothing was run
    NoRoom,
}

impl std::error::Error for RequestError {}

impl From<ReadError> for RequestError {
    fn from(error: ReadError) -> Self {
        Self::Invalid(error)
    }
}

impl RequestError {
    /// Result code.
    pub const fn code(&self) -> Code {
        match self {
            Self::Invalid(ReadError::Large(_)) => Code::BodyTooLarge,
            Self::Invalid(ReadError::Short) => Code::LengthMismatch,
            Self::Slow => Code::HeadersSlow,
            Self::NoRoom => Code::BoundReached,
        }
    }

    /// Cause as the counter of refused bodies names it.
    const fn cause(&self) -> &'static str {
        match self {
            Self::Invalid(ReadError::Large(_)) => "large",
            Self::Invalid(ReadError::Short) => "short",
            Self::Slow => "slow",
            Self::NoRoom => "memory",
        }
    }
}

impl From<RequestError> for Refusal {
    fn from(error: RequestError) -> Self {
        let refusal = Self::new(error.code(), error.to_string());
        if error == RequestError::NoRoom { refusal.retry_after(RETRY_DELAY) } else { refusal }
    }
}

/// Body of a request.
pub struct RequestBody {
    bytes: Bytes,
    room: Option<BodyRoom>,
}

/// Room that the body of a request takes, with what is made of it. It is kept until the request is
/// answered.
pub struct RequestRoom(#[expect(dead_code, reason = "it is held for its drop")] Option<BodyRoom>);

impl RequestBody {
    /// The bytes and their room.
    pub fn into_parts(self) -> (Bytes, RequestRoom) {
        (self.bytes, RequestRoom(self.room))
    }
}

impl Deref for RequestBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the body of a response to its end, at most `limit` bytes. The HTTP library checks the declared
/// length and reports a body that ends earlier as an error.
pub async fn read_body(mut body: Incoming, limit: u64) -> Result<Bytes> {
    if body.size_hint().lower() > limit {
        return Err(ReadError::Large(limit));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        append(&mut bytes, frame, limit)?;
    }
    Ok(bytes.freeze())
}

/// Reads the body of a request to its end, at most `limit` bytes, within the time for a body and the
/// process's budget for all bodies. A refused body is counted by its cause.
pub async fn read_request_body(body: Incoming, limit: u64) -> Result<RequestBody, RequestError> {
    let reader = RequestReader { body, limit, budget: BodyBudget::of_process() };
    let read = timeout(BODY_TIME_MAX, reader.read()).await.unwrap_or(Err(RequestError::Slow));
    if let Err(error) = &read {
        metrics::counter!("bronzespool_refused_bodies_total", "cause" => error.cause())
            .increment(1);
    }
    read
}

struct RequestReader {
    body: Incoming,
    limit: u64,
    budget: Rc<BodyBudget>,
}

impl RequestReader {
    async fn read(mut self) -> Result<RequestBody, RequestError> {
        let hint = self.body.size_hint();
        if hint.lower() > self.limit {
            return Err(ReadError::Large(self.limit).into());
        }
        // A body in chunks does not tell its length.
        let length = hint.exact().unwrap_or(self.limit);
        let mut bytes = BytesMut::new();
        let mut room = None;
        let mut since = Instant::now();
        let needs_room = length > SMALL_BYTES;
        if needs_room && hint.exact().is_some() {
            room = Some(self.budget.take(length).await.ok_or(RequestError::NoRoom)?);
            bytes.reserve(length as usize);
            since = Instant::now();
        }
        while let Some(frame) = self.next_frame(since, room.is_some()).await? {
            append(&mut bytes, frame, self.limit)?;
            if needs_room && room.is_none() && bytes.len() as u64 > SMALL_BYTES {
                room = Some(self.budget.take(length).await.ok_or(RequestError::NoRoom)?);
                since = Instant::now();
            }
        }
        Ok(RequestBody { bytes: bytes.freeze(), room })
    }

    /// The next frame. A body whose room or connection others need ends with an error once its grace is
    /// over, which began at `since`.
    async fn next_frame(
        &mut self,
        since: Instant,
        has_room: bool,
    ) -> Result<Option<Frame>, RequestError> {
        let budget = Rc::clone(&self.budget);
        let lose_room = async {
            sleep_until(since + READ_GRACE).await;
            budget.wanted(has_room).await;
        };
        tokio::select! {
            biased;
            frame = timeout(PAUSE_MAX, self.body.frame()) => frame.map_err(|_| RequestError::Slow),
            () = lose_room => Err(RequestError::NoRoom),
        }
    }
}

/// A piece of a body, or why there is none.
type Frame = std::result::Result<hyper::body::Frame<Bytes>, hyper::Error>;

fn append(bytes: &mut BytesMut, frame: Frame, limit: u64) -> Result<()> {
    let frame = frame.map_err(|_| ReadError::Short)?;
    let Ok(data) = frame.into_data() else { return Ok(()) };
    if (bytes.len() + data.len()) as u64 > limit {
        return Err(ReadError::Large(limit));
    }
    bytes.extend_from_slice(&data);
    Ok(())
}
