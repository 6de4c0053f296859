//! Clock that continues across terms: each leader starts from the time recorded in the log.

use {crate::entry::Term, bronzespool_core::Time};

/// Source of timestamps for the records that a leader appends.
///
/// ```
/// use {bronzespool_consensus::LogClock, bronzespool_core::Time, std::time::Duration};
///
/// let mut clock = LogClock::default();
/// let applied = Time::from_secs(100);
/// assert_eq!(clock.read(1, Time::from_secs(5), applied), applied);
/// let later = clock.read(1, Time::from_secs(6), applied);
/// assert_eq!(later.since(applied), Duration::from_secs(1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LogClock {
    term: Term,
    /// Log time at `process_start`.
    log_start: Time,
    /// Process time at which this segment of log time started.
    process_start: Time,
}

impl LogClock {
    /// Returns the log time at process time `now` in `term`. `applied` is the log time that the
    /// applied entries have reached.
    pub fn read(&mut self, term: Term, now: Time, applied: Time) -> Time {
        if self.term != term {
            *self = Self { term, log_start: applied, process_start: now };
        }
        let time = self.log_start + now.since(self.process_start);
        if applied <= time {
            return time;
        }
        // The log was not fully applied when this segment started. Without a restart, log time
        // would stand still until it caught up with `applied`.
        *self = Self { term, log_start: applied, process_start: now };
        applied
    }
}
