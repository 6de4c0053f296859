//! Time that goes on over terms: each leader continues from the log's own time.

use {crate::entry::Term, bronzespool_core::Time};

/// Clock of the records that a replica would write now.
///
/// ```
/// use {bronzespool_consensus::LogClock, bronzespool_core::Time, std::time::Duration};
///
/// let mut clock = LogClock::default();
/// let held = Time::from_secs(100);
/// assert_eq!(clock.read(1, Time::from_secs(5), held), held);
/// let later = clock.read(1, Time::from_secs(6), held);
/// assert_eq!(later.since(held), Duration::from_secs(1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LogClock {
    term: Term,
    /// Log time at `since`.
    log_start: Time,
    /// Time of the process's clock.
    process_start: Time,
}

impl LogClock {
    /// Log time in a term, at a time of the process's clock, where the applied log has come to
    /// `held`.
    pub fn read(&mut self, term: Term, now: Time, applied: Time) -> Time {
        if self.term != term {
            *self = Self { term, log_start: applied, process_start: now };
        }
        let time = self.log_start + now.since(self.process_start);
        if applied <= time {
            return time;
        }
        // The log was not applied to its end when this term's time began: without a new start,
        // time would stand still until it has caught up.
        *self = Self { term, log_start: applied, process_start: now };
        applied
    }
}
