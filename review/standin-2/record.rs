//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Writes lines with the seconds since its start, and keeps them.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<(File, Vec<String>)>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        let lines = Arc::new(Mutex::new((File::create(path)?, Vec::new())));
        Ok(Self { begun: Instant::now(), lines })
    }

    pub fn age(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.begun.elapsed().as_secs_f64());
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines.0, "{line}");
        lines.1.push(text.to_owned());
    }

    /// Counts the lines so far that hold a text.
    pub fn count(&self, text: &str) -> usize {
        self.lines.lock().unwrap().1.iter().filter(|line| line.contains(text)).count()
    }
}
