//! Writes log lines on a thread of its own: a reader that stands still costs lines, not time.

use {
    crate::Budget,
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
const WAITING_MAX_BYTES: usize = 256 * 1024;
/// Pause between two writes, in which lines gather: each write costs two changes of thread. A kill
/// loses the lines of one pause.
const GATHER: Duration = Duration::from_millis(100);
/// Longest wait of a flush for the reader.
const FLUSH_TIME: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Waiting {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    budget: Budget,
    writing: bool,
}

#[derive(Debug)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
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
        let waiting = Waiting {
            lines: VecDeque::new(),
            bytes: 0,
            budget: Budget::new(Instant::now()),
            writing: false,
        };
        let shared = Arc::new(Shared { waiting: Mutex::new(waiting), changed: Condvar::new() });
        let own = Arc::clone(&shared);
        thread::spawn(move || drain(&own, out));
        Self { shared }
    }

    /// Queues a line of a kind of event, or counts it as left out.
    pub fn push(&self, kind: &str, mut text: Vec<u8>) {
        text.push(b'\n');
        let mut waiting = self.shared.lock();
        let left_out = waiting.budget.renew(Instant::now());
        if left_out > 0 {
            metrics::counter!("bronzespool_log_lines_left_out_total").increment(left_out);
            let note = format!(
                "{{\"level\":\"WARN\",\"text\":\"log lines were left out\",\"kv\":{{\"count\":{left_out}}}}}\n"
            );
            waiting.add(note.into_bytes());
        }
        if waiting.bytes + text.len() > WAITING_MAX_BYTES {
            waiting.budget.lose();
            return;
        }
        if waiting.budget.take(kind, text.len()) {
            waiting.add(text);
            // The writer takes all lines at once: it waits only for the first.
            let first = waiting.lines.len() == 1;
            drop(waiting);
            if first {
                self.shared.changed.notify_all();
            }
        }
    }
}

impl Waiting {
    fn add(&mut self, text: Vec<u8>) {
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
        let end = Instant::now() + FLUSH_TIME;
        let mut waiting = self.shared.lock();
        while (!waiting.lines.is_empty() || waiting.writing) && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            let waited = self.shared.changed.wait_timeout(waiting, left);
            waiting = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        Ok(())
    }
}

fn drain<W: Write>(shared: &Shared, mut out: W) {
    loop {
        let batch = {
            let mut waiting = shared.lock();
            waiting.writing = false;
            shared.changed.notify_all();
            while waiting.lines.is_empty() {
                waiting = shared.changed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
            }
            waiting.bytes = 0;
            waiting.writing = true;
            std::mem::take(&mut waiting.lines)
        };
        let whole = Vec::from(batch).concat();
        if out.write_all(&whole).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more, and there is no other place to say so.
            return;
        }
        thread::sleep(GATHER);
    }
}
