//! Writes log lines on a thread of its own: a reader that stands still costs lines, not time.

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

/// Bytes that wait for the reader before lines are left out.
const QUEUED_MAX_BYTES: usize = 256 * 1024;
/// Pause between two writes, in which lines gather: each write costs two changes of thread. A kill
/// loses the lines of one pause.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait of a flush for the reader.
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

/// Log lines on their way to a writer.
#[derive(Clone, Debug)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

impl LogQueue {
    /// Starts the thread that writes; it lives as long as the process.
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

    /// Queues a line of a kind of event, or counts it as left out.
    pub fn push(&self, kind: &str, mut text: Vec<u8>) {
        text.push(b'\n');
        let mut state = self.shared.lock();
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
            return;
        }
        if state.budget.take(kind, text.len()) {
            state.push_line(text);
            // The writer takes all lines at once: it waits only for the first.
            let is_first = state.lines.len() == 1;
            drop(state);
            if is_first {
                self.shared.changed.notify_all();
            }
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
        // Lines without a text of their own, as those of libraries, count by where they come from.
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
        let bytes = Vec::from(batch).concat();
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more, and there is no other place to say so.
            return;
        }
        thread::sleep(BATCH_INTERVAL);
    }
}
