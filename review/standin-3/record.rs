//! The record of a run: what was sent, answered and run, each line with its time.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file of lines, shared by all parts of a run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    since: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), since: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.since.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}
