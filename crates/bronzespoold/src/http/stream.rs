//! Connection of a caller that may not read its answers, or go on sending a request that was refused.

use {
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Longest time for which a caller may leave an answer unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time for which the rest of a refused request is read.
const REST_TIME_MAX: Duration = Duration::from_secs(1);
/// Most bytes of the rest that are read at once.
const REST_BYTES: usize = 1_024;

/// Stream that ends if its peer takes no bytes for a time. When it is shut down, what the peer still
/// sends is read and dropped: a close with unread bytes would reset the connection before the peer has
/// read the refusal.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    /// Running while the peer takes no bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Running while the rest of a request is read.
    rest_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(super) const fn new(stream: TcpStream) -> Self {
        Self { stream, write_timer: None, rest_timer: None }
    }

    /// Starts or stops the time in which the peer has to take bytes.
    fn guard<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timer.as_mut().poll(cx));
        metrics::counter!("bronzespool_unread_answers_total").increment(1);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads and drops what the peer sends; ready when nothing is there at first, at its end, or after
    /// the time for it.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut rest = [0; REST_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut rest);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    let timer = || Box::pin(sleep(REST_TIME_MAX));
                    let timer = self.rest_timer.get_or_insert_with(timer);
                    if timer.as_mut().poll(cx).is_ready() {
                        return Poll::Ready(());
                    }
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => {
                    let Some(timer) = &mut self.rest_timer else { return Poll::Ready(()) };
                    return timer.as_mut().poll(cx);
                }
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.guard(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.guard(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.rest_timer.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        self.poll_rest(cx).map(Ok)
    }
}
