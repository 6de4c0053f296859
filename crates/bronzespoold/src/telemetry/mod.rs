//! Logs and metrics of the process.

pub use {
    bronzespool_telemetry::{Event, event},
    metrics_exporter_prometheus::BuildError,
};

use {
    bronzespool::core::{
        Code, Kind, Service,
        bound::{Bound, BoundReport},
    },
    bronzespool_telemetry::LogQueue,
    metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle},
    std::{
        sync::OnceLock,
        time::{Duration, Instant},
    },
};

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Interval at which the metrics' histograms are cleaned up.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Bucket bounds of the latency histograms in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0];

/// Histogram of actual durations as multiples of expected ones, and its bucket bounds.
const RATIO_METRIC: &str = "bronzespool_batch_run_time_ratio";
const RATIO_BUCKETS: [f64; 12] = [0.125, 0.25, 0.5, 0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 8.0];

/// Starts the metrics recorder.
///
/// # Errors
///
/// If the recorder cannot be built.
pub fn start_metrics() -> Result<(), BuildError> {
    let builder = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_SECONDS)?
        .set_buckets_for_metric(Matcher::Full(RATIO_METRIC.to_owned()), &RATIO_BUCKETS)?;
    let handle = METRICS.get_or_init(|| {
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // Fails if the process has a global recorder already; that one stays in use.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
    handle.run_upkeep();
    Ok(())
}

/// Cleans up the metrics' histograms at an interval, so that they stay small. Never returns.
pub async fn run_upkeep() {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        if let Err(error) = start_metrics() {
            event::MetricsUpkeepFailed { error: error.to_string() }.emit();
        }
    }
}

/// All metrics in Prometheus text form.
pub fn render() -> String {
    METRICS.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Records the code and the latency of an answered request to a service.
pub fn record_request(service: &Service, kind: &Kind, code: Code, elapsed: Duration) {
    let labels = [
        ("service", service.to_string()),
        ("kind", kind.to_string()),
        ("code", code.number().to_string()),
    ];
    metrics::counter!("bronzespool_requests_total", &labels).increment(1);
    metrics::histogram!("bronzespool_request_seconds", &labels[..2]).record(elapsed.as_secs_f64());
}

/// Records the status, code and latency of the final answer to a call of the batch interface.
pub fn record_call(method: &str, status: u16, code: Option<Code>, elapsed: Duration) {
    let method = method.to_owned();
    metrics::histogram!("bronzespool_call_seconds", "method" => method.clone())
        .record(elapsed.as_secs_f64());
    let status = status.to_string();
    let code = code.map_or_else(String::new, |c| c.number().to_string());
    let labels = [("method", method), ("status", status), ("code", code)];
    metrics::counter!("bronzespool_calls_total", &labels).increment(1);
}

/// Records that something was turned away at a bound; logs the first one, and at most one line a
/// second while it goes on.
pub fn record_rejection(bound: &mut Bound, held: usize) {
    metrics::counter!("bronzespool_rejected_total", "bound" => bound.name()).increment(1);
    if let Some(report) = bound.reject(Instant::now(), held) {
        let BoundReport { name, max, held, rejected } = report;
        event::BoundReached { bound: name, max, held, rejected }.emit();
    }
}

/// Starts logging JSON lines to standard output. Lines beyond the log budget are left out, and
/// logging never waits for the reader.
///
/// # Errors
///
/// If a logger is already set or the level is not valid.
pub fn start_logs(
    level: &str,
) -> Result<flexi_logger::LoggerHandle, flexi_logger::FlexiLoggerError> {
    let queue = LogQueue::start(std::io::stdout());
    flexi_logger::Logger::try_with_str(level)?.log_to_writer(Box::new(queue)).start()
}
