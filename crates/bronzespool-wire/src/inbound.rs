//! Bound of the bytes that large messages take while they are read from other processes.
//!
//! The size of a message stands at its beginning, and memory for all of it is taken then. Peers that stop
//! short of the end of a message would hold that memory for as long as they stay.

use {
    futures::io::AsyncRead,
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Sleep, sleep},
};

/// Largest message that is not counted.
const SMALL_BYTES: usize = 16 << 10;
/// Most bytes of large messages that are read at once, if the process names no figure.
const TOTAL_DEFAULT_BYTES: usize = 64 << 20;
/// Longest pause within a message. It covers a peer that is frozen for some seconds.
const PAUSE_MAX: Duration = Duration::from_secs(15);
/// Bytes of a word, by which messages are measured.
const WORD_BYTES: usize = 8;
/// Most segments of a message; the library allows no more.
const SEGMENTS_MAX: usize = 512;

/// Bytes that large messages on all connections of a listener may take together.
#[derive(Clone, Debug)]
pub struct InboundBudget {
    total: usize,
    used: Rc<Cell<usize>>,
}

impl Default for InboundBudget {
    fn default() -> Self {
        Self::new(TOTAL_DEFAULT_BYTES)
    }
}

impl InboundBudget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self { total, used: Rc::default() }
    }

    /// Bytes that are taken.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let used = self.used.get();
        if used > 0 && used.saturating_add(bytes) > self.total {
            metrics::counter!("bronzespool_rejected_total", "bound" => "memory for messages")
                .increment(1);
            return Err(io::Error::other("no room for a message of another process"));
        }
        self.used.set(used.saturating_add(bytes));
        Ok(())
    }
}

/// What of a message comes next.
#[derive(Debug)]
enum Expected {
    /// The table of segments; what of it has been read.
    Table(Vec<u8>),
    /// This many bytes of the segments, of which this many are counted.
    Segments { left: usize, counted: usize },
}

/// Reader that counts the large messages which it reads, and ends at a long pause within a message.
#[derive(Debug)]
pub(crate) struct InboundReader<R> {
    reader: R,
    budget: InboundBudget,
    expected: Expected,
    /// Running while a message is awaited to go on.
    pause: Option<Pin<Box<Sleep>>>,
}

impl<R> InboundReader<R> {
    pub(crate) const fn new(reader: R, budget: InboundBudget) -> Self {
        Self { reader, budget, expected: Expected::Table(Vec::new()), pause: None }
    }

    /// Whether a message has begun and not ended.
    fn is_within_message(&self) -> bool {
        !matches!(&self.expected, Expected::Table(table) if table.is_empty())
    }

    /// Follows the messages in bytes that were read.
    fn follow(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match &mut self.expected {
                Expected::Table(table) => {
                    table.push(bytes[0]);
                    bytes = &bytes[1..];
                    if let Some(size) = message_size(table) {
                        let counted = if size > SMALL_BYTES { size } else { 0 };
                        if counted > 0 {
                            self.budget.take(counted)?;
                        }
                        self.expected = Expected::Segments { left: size, counted };
                    }
                }
                Expected::Segments { left, .. } => {
                    let read = bytes.len().min(*left);
                    *left -= read;
                    bytes = &bytes[read..];
                }
            }
            if matches!(self.expected, Expected::Segments { left: 0, .. }) {
                self.release();
            }
        }
        Ok(())
    }

    /// Ends the message.
    fn release(&mut self) {
        let ended = std::mem::replace(&mut self.expected, Expected::Table(Vec::new()));
        if let Expected::Segments { counted, .. } = ended {
            self.budget.used.set(self.budget.used.get() - counted);
        }
    }
}

/// Bytes of the segments that a whole table announces; none if it is not whole. A table that the library
/// refuses announces none.
fn message_size(table: &[u8]) -> Option<usize> {
    let number = |at: usize| {
        let bytes = table.get(at * 4..at * 4 + 4)?.try_into().ok()?;
        usize::try_from(u32::from_le_bytes(bytes)).ok()
    };
    let segments = number(0)?.saturating_add(1);
    if segments > SEGMENTS_MAX {
        return Some(0);
    }
    let words = (segments + 2) / 2;
    if table.len() < words * WORD_BYTES {
        return None;
    }
    let sizes = (1..=segments).filter_map(number);
    Some(sizes.fold(0, |sum: usize, size| sum.saturating_add(size.saturating_mul(WORD_BYTES))))
}

impl<R> Drop for InboundReader<R> {
    fn drop(&mut self) {
        self.release();
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for InboundReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.reader).poll_read(cx, buffer) {
            Poll::Ready(Ok(count)) => {
                self.pause = None;
                Poll::Ready(self.follow(&buffer[..count]).map(|()| count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending if self.is_within_message() => {
                let pause = self.pause.get_or_insert_with(|| Box::pin(sleep(PAUSE_MAX)));
                pause.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
