//! Record of all request starts by idempotency key.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// One start of a request at the fake endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Id of the request.
    pub request: String,
    /// Start time in milliseconds since the fake began.
    pub at: u64,
    /// Whether the request has been finished, with the answer ready to send.
    pub finished: bool,
}

/// All starts by idempotency key; requests without a key are only counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Starts by idempotency key.
    pub keys: BTreeMap<String, Vec<Start>>,
    /// Number of starts without a key.
    pub others: u64,
    /// Time of the latest start in milliseconds since the fake began.
    pub latest: u64,
    /// Number of requests in progress.
    pub running: u32,
    /// Largest number of requests in progress at once.
    pub peak: u32,
}

impl Record {
    /// Records the start of a request.
    pub fn start(&mut self, key: Option<&str>, request: &str, at: u64) {
        self.latest = at;
        self.running += 1;
        self.peak = self.peak.max(self.running);
        match key {
            Some(key) => {
                let start = Start { request: request.to_owned(), at, finished: false };
                self.keys.entry(key.to_owned()).or_default().push(start);
            }
            None => self.others += 1,
        }
    }

    /// Records the end of a request.
    pub fn finish(&mut self, key: Option<&str>, request: &str) {
        self.running -= 1;
        let starts = key.and_then(|k| self.keys.get_mut(k));
        let start = starts.and_then(|s| s.iter_mut().find(|s| s.request == request));
        if let Some(start) = start {
            start.finished = true;
        }
    }
}
