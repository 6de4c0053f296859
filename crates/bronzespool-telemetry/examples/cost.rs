//! Prints the time that emitting one event costs its caller.

use {
    bronzespool_batch::JobId,
    bronzespool_telemetry::{Event, LogQueue, event::JobEnded},
    std::time::Instant,
};

/// Number of events emitted.
const COUNT: u32 = 50_000;

fn main() -> Result<(), flexi_logger::FlexiLoggerError> {
    let queue = LogQueue::start(std::io::sink());
    let _logs =
        flexi_logger::Logger::try_with_str("info")?.log_to_writer(Box::new(queue)).start()?;
    let begun = Instant::now();
    for i in 0..COUNT {
        let phase = bronzespool_batch::Phase::Completed;
        JobEnded { job: JobId(u64::from(i)), phase, took_ms: 20, cause: None }.emit();
    }
    println!("{:?} an event", begun.elapsed() / COUNT);
    Ok(())
}
