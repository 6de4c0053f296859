//! Statistics of the results of requests.

use {
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

/// Significant decimal digits that the histograms keep of a value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of a request, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultClass {
    /// The complete response to this request.
    Good,
    /// A refusal; the request was not run.
    NotRun,
    /// A response that leaves the outcome unknown.
    Unknown,
    /// A failure of the endpoint or the connection, or no response in time.
    Failed,
    /// A response to another request, or an incomplete one.
    Wrong,
}

/// Number of requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Complete responses within the deadline.
    pub good: u64,
    /// Complete responses after the deadline.
    pub late: u64,
    /// Refused requests.
    pub not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Failed requests.
    pub failed: u64,
    /// Requests that got a wrong response.
    pub wrong: u64,
}

impl Counts {
    /// Number of all requests.
    pub const fn total(&self) -> u64 {
        self.good + self.late + self.not_run + self.unknown + self.failed + self.wrong
    }
}

/// Quantiles of durations in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

impl From<&Histogram<u64>> for Quantiles {
    fn from(histogram: &Histogram<u64>) -> Self {
        let at = |q| Duration::from_micros(histogram.value_at_quantile(q)).as_secs_f64() * 1e3;
        Self { p50: at(0.5), p90: at(0.9), p99: at(0.99), p999: at(0.999) }
    }
}

/// Result counts and histograms of durations in microseconds. Counts and response times are kept by
/// kind and team.
#[derive(Clone, Debug)]
pub struct RequestStats {
    groups: BTreeMap<(String, String), (Counts, Histogram<u64>)>,
    /// Time from the scheduled arrival to a refusal.
    refusals: Histogram<u64>,
    /// Time from sending to the complete response.
    sent: Histogram<u64>,
    /// Time from the scheduled arrival to sending.
    lag: Histogram<u64>,
    good_completions: u64,
}

impl Default for RequestStats {
    fn default() -> Self {
        Self {
            groups: BTreeMap::new(),
            refusals: empty_histogram(),
            sent: empty_histogram(),
            lag: empty_histogram(),
            good_completions: 0,
        }
    }
}

impl RequestStats {
    /// Records a request of a kind and team (`group`). It was sent `lag` and answered `took` after
    /// its scheduled arrival.
    pub fn record(
        &mut self,
        group: (&str, &str),
        class: ResultClass,
        took: Duration,
        lag: Duration,
        deadline: Duration,
    ) {
        let group = (group.0.to_owned(), group.1.to_owned());
        let (counts, times) =
            self.groups.entry(group).or_insert_with(|| (Counts::default(), empty_histogram()));
        match class {
            ResultClass::Good if took <= deadline => counts.good += 1,
            ResultClass::Good => counts.late += 1,
            ResultClass::NotRun => counts.not_run += 1,
            ResultClass::Unknown => counts.unknown += 1,
            ResultClass::Failed => counts.failed += 1,
            ResultClass::Wrong => counts.wrong += 1,
        }
        match class {
            ResultClass::Good => {
                record_span(times, took);
                record_span(&mut self.sent, took.saturating_sub(lag));
            }
            ResultClass::NotRun => record_span(&mut self.refusals, took),
            _ => {}
        }
        record_span(&mut self.lag, lag);
    }

    /// Records a response that arrived within the counted window, whether or not its request
    /// arrived within it.
    pub fn record_completion(&mut self, class: ResultClass, took: Duration, deadline: Duration) {
        self.good_completions += u64::from(class == ResultClass::Good && took <= deadline);
    }

    /// Number of complete responses within the deadline that arrived within the counted window.
    /// While requests queue, this is what was served, unlike the responses to the requests that
    /// arrived within the window.
    pub const fn good_completions(&self) -> u64 {
        self.good_completions
    }

    /// Adds other statistics to these.
    ///
    /// # Panics
    ///
    /// Never, since the histograms resize themselves.
    pub fn merge(&mut self, other: &Self) {
        for (group, (counts, times)) in &other.groups {
            let (total, total_times) = self
                .groups
                .entry(group.clone())
                .or_insert_with(|| (Counts::default(), empty_histogram()));
            total.good += counts.good;
            total.late += counts.late;
            total.not_run += counts.not_run;
            total.unknown += counts.unknown;
            total.failed += counts.failed;
            total.wrong += counts.wrong;
            total_times.add(times).expect("the histogram resizes itself");
        }
        self.refusals.add(&other.refusals).expect("the histogram resizes itself");
        self.good_completions += other.good_completions;
        self.sent.add(&other.sent).expect("the histogram resizes itself");
        self.lag.add(&other.lag).expect("the histogram resizes itself");
    }

    /// Counts and response times of all groups whose kind and team pass the filter.
    pub fn select(&self, filter: impl Fn(&str, &str) -> bool) -> (Counts, Quantiles) {
        let mut selected = Self::default();
        let matching = self.groups.iter().filter(|((kind, team), _)| filter(kind, team));
        for (_, value) in matching {
            let groups = BTreeMap::from([((String::new(), String::new()), value.clone())]);
            selected.merge(&Self { groups, ..Self::default() });
        }
        let total =
            selected.groups.into_values().next().unwrap_or((Counts::default(), empty_histogram()));
        (total.0, Quantiles::from(&total.1))
    }

    /// Counts and response times of all groups.
    pub fn totals(&self) -> (Counts, Quantiles) {
        self.select(|_, _| true)
    }

    /// Names of the recorded kinds.
    pub fn kinds(&self) -> Vec<String> {
        let mut kinds: Vec<_> = self.groups.keys().map(|(kind, _)| kind.clone()).collect();
        kinds.dedup();
        kinds
    }

    /// Names of the recorded teams.
    pub fn teams(&self) -> Vec<String> {
        let mut teams: Vec<_> = self.groups.keys().map(|(_, team)| team.clone()).collect();
        teams.sort_unstable();
        teams.dedup();
        teams
    }

    /// Time from the scheduled arrival to a refusal.
    pub fn refusals(&self) -> Quantiles {
        Quantiles::from(&self.refusals)
    }

    /// Time from sending to the complete response, without the lag of the generator.
    pub fn sent(&self) -> Quantiles {
        Quantiles::from(&self.sent)
    }

    /// Time from the scheduled arrival to sending: the lag of the generator itself.
    pub fn lag(&self) -> Quantiles {
        Quantiles::from(&self.lag)
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("the digits are in range")
}

/// Records a duration. The histogram resizes itself, so that no value is out of range.
fn record_span(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.record(micros(span)).expect("the histogram resizes itself");
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1)
}
