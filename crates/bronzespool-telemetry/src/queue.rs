//! Writes log lines on a separate thread. If the reader stalls, lines are dropped and callers are
//! not blocked.

use {
    crate::LogBudget,
    flexi_logger::{DeferredNow, json_format, writers::LogWriter},
    log::Record,
    std::{
        collections::VecDeque,
        io::{self, Write},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum size of the queued lines; further lines are dropped.
const QUEUED_MAX_BYTES: usize = 256 * 1024;
/// Interval between two writes, in which lines are collected, since each write costs two context
/// switches. If the process is killed, the lines of one interval are lost.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Most bytes of one write, as far as lines are not longer: what a reader may take at once. Larger
/// writes could be cut within a line.
const WRITE_MAX_BYTES: usize = 8 * 1024;
/// Time limit for a flush.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct QueueState {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    budget: LogBudget,
    writing: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<QueueState>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A bounded queue of log lines to a writer.
#[derive(Clone, Debug)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

impl LogQueue {
    /// Starts the writer thread, which runs until the process exits or writing fails.
    pub fn start<W: Write + Send + 'static>(out: W) -> Self {
        let state = QueueState {
            lines: VecDeque::new(),
            bytes: 0,
            budget: LogBudget::new(Instant::now()),
            writing: false,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let writer_shared = Arc::clone(&shared);
        thread::spawn(move || write_lines(&writer_shared, out));
        Self { shared }
    }

    /// Queues a line of a kind, or counts it as dropped.
    pub fn push(&self, kind: &str, mut text: Vec<u8>) {
        text.push(b'\n');
        let mut state = self.shared.lock();
        let was_empty = state.lines.is_empty();
        let dropped = state.budget.advance(Instant::now());
        if dropped > 0 {
            metrics::counter!("bronzespool_log_lines_left_out_total").increment(dropped);
            let notice = format!(
                "{{\"level\":\"WARN\",\"text\":\"log lines were left out\",\"kv\":{{\"count\":{dropped}}}}}\n"
            );
            state.push_line(notice.into_bytes());
        }
        if state.bytes + text.len() > QUEUED_MAX_BYTES {
            state.budget.count_dropped();
        } else if state.budget.take(kind, text.len()) {
            state.push_line(text);
        }
        // The writer takes all queued lines at once, so only the first ones have to wake it.
        let wakes_writer = was_empty && !state.lines.is_empty();
        drop(state);
        if wakes_writer {
            self.shared.changed.notify_all();
        }
    }
}

impl QueueState {
    fn push_line(&mut self, text: Vec<u8>) {
        self.bytes += text.len();
        self.lines.push_back(text);
    }
}

impl LogWriter for LogQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::new();
        json_format(&mut text, now, record)?;
        // Lines without a static text, such as those of libraries, are counted by their module.
        let kind = record.args().as_str().or(record.module_path()).unwrap_or("");
        self.push(kind, text);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut state = self.shared.lock();
        while (!state.lines.is_empty() || state.writing) && Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let waited = self.shared.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        Ok(())
    }
}

fn write_lines<W: Write>(shared: &Shared, mut out: W) {
    loop {
        let batch = {
            let mut state = shared.lock();
            state.writing = false;
            shared.changed.notify_all();
            while state.lines.is_empty() {
                state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
            }
            state.bytes = 0;
            state.writing = true;
            std::mem::take(&mut state.lines)
        };
        for chunk in whole_line_chunks(batch) {
            if write_chunk(&mut out, &chunk).is_err() {
                // The reader is gone, and there is no other place to report it.
                return;
            }
        }
        thread::sleep(BATCH_INTERVAL);
    }
}

/// Joins lines to chunks of at most [`WRITE_MAX_BYTES`]; a longer line is a chunk by itself.
fn whole_line_chunks(lines: impl IntoIterator<Item = Vec<u8>>) -> Vec<Vec<u8>> {
    let mut chunks: Vec<Vec<u8>> = Vec::new();
    for line in lines {
        match chunks.last_mut() {
            Some(chunk) if chunk.len() + line.len() <= WRITE_MAX_BYTES => chunk.extend(line),
            _ => chunks.push(line),
        }
    }
    chunks
}

/// Writes a chunk. A reader that is behind is waited for: here only this thread waits.
fn write_chunk<W: Write>(out: &mut W, mut chunk: &[u8]) -> io::Result<()> {
    while !chunk.is_empty() {
        match out.write(chunk) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => chunk = &chunk[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                thread::sleep(BATCH_INTERVAL);
            }
            Err(error) => return Err(error),
        }
    }
    out.flush()
}
