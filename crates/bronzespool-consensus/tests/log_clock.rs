//! Log time continues even if the log was not fully applied when the clock was first read.

use {bronzespool_consensus::LogClock, bronzespool_core::Time, std::time::Duration};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn read_new_term_continues_from_the_log() {
    let mut clock = LogClock::default();
    let applied = Time::from_secs(50);
    assert_eq!(clock.read(2, Time::from_secs(3), applied), applied);
    assert_eq!(clock.read(2, Time::from_secs(5), applied), applied + SECOND * 2);
    assert_eq!(clock.read(3, Time::from_secs(6), applied + SECOND), applied + SECOND);
}

/// After a restart, a replica applies its log only once an entry of the new term is committed.
#[test]
fn read_before_the_log_is_applied_does_not_stop_it() {
    let mut clock = LogClock::default();
    clock.read(2, Time::from_secs(3), Time::ZERO);
    let applied = Time::from_secs(50);
    let first = clock.read(2, Time::from_secs(4), applied);
    assert_eq!(first, applied);
    assert_eq!(clock.read(2, Time::from_secs(6), applied), applied + SECOND * 2);
}

#[test]
fn read_never_falls_within_a_term() {
    let mut clock = LogClock::default();
    let mut last = Time::ZERO;
    for i in 0..100_u64 {
        let applied = Time::from_millis(i * i % 7_000);
        let time = clock.read(4, Time::from_millis(i * 37), applied.max(last));
        assert!(time >= last);
        last = time;
    }
}
