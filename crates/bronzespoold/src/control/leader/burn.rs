//! Error budget burn rates of the whole system, computed from the counts that entries report and
//! from ended jobs.

use {
    crate::control::leader::calls::Leader,
    bronzespool::{
        core::{HashSet, Job, Kind, Service, Target, Time},
        flow::burn::{BurnReport, BurnTrackers, WindowCounts},
        schedule::{JobOutcome, JobPhase, JobState},
        wire::message::{BurnView, CallResult, KindCounts, Reply},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Silence of an entry after which its counts are dropped.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);
/// Interval between two points of the history.
const HISTORY_INTERVAL: Duration = Duration::from_secs(10);
/// Most points in the history of one kind.
const HISTORY_POINTS_MAX: usize = 360;

type KindKey = (Service, Kind);

/// Counts of the leader's current term. After a change of leader the entries report their windows
/// to the new leader.
#[derive(Debug, Default)]
pub(super) struct BurnAggregator {
    term: u64,
    entry_counts: BTreeMap<u64, (Time, Vec<KindCounts>)>,
    jobs: BurnTrackers,
    /// Ended jobs that were counted, or had ended before the term.
    counted_jobs: HashSet<Job>,
    history: BTreeMap<KindKey, VecDeque<(Time, f64)>>,
    sampled_at: Time,
}

impl BurnAggregator {
    fn reports(&self, now: Time) -> Vec<BurnReport> {
        let mut sums: BTreeMap<KindKey, (Target, WindowCounts)> = BTreeMap::new();
        let jobs = self.jobs.windows(now);
        let reported = self.entry_counts.values().flat_map(|(_, counts)| counts);
        for (service, kind, target, windows) in reported.chain(&jobs) {
            let key = (service.clone(), kind.clone());
            let sum = sums.entry(key).or_insert((*target, WindowCounts::default()));
            sum.1 = sum.1.plus(*windows);
        }
        let report =
            |((service, kind), (target, windows))| BurnReport::new(service, kind, target, windows);
        sums.into_iter().map(report).collect()
    }

    fn sample(&mut self, now: Time) {
        if now.since(self.sampled_at) < HISTORY_INTERVAL {
            return;
        }
        self.sampled_at = now;
        self.entry_counts.retain(|_, (reported_at, _)| now.since(*reported_at) < ENTRY_TIMEOUT);
        for report in self.reports(now) {
            let points = self.history.entry((report.service, report.kind)).or_default();
            points.push_back((now, report.short_burn));
            if points.len() > HISTORY_POINTS_MAX {
                points.pop_front();
            }
        }
    }

    fn history(&self, report: &BurnReport, now: Time) -> Vec<(i64, f64)> {
        let key = (report.service.clone(), report.kind.clone());
        let seconds_ago = |at: Time| -i64::try_from(now.since(at).as_secs()).unwrap_or(i64::MAX);
        let points = self.history.get(&key).into_iter().flatten();
        points.map(|(at, burn)| (seconds_ago(*at), *burn)).collect()
    }
}

impl Leader {
    /// Stores the answer counts that an entry reports.
    pub(super) fn record_answers(&self, holder: u64, counts: Vec<KindCounts>) -> Reply {
        self.burn_aggregator.borrow_mut().entry_counts.insert(holder, (self.clock.now(), counts));
        Reply::Acknowledged
    }

    /// The burn rates of every kind.
    pub(super) fn burn_rates(&self) -> CallResult {
        let now = self.clock.now();
        let burn_aggregator = self.burn_aggregator.borrow();
        let reports = burn_aggregator.reports(now);
        let view =
            |report: &BurnReport| BurnView::new(report, burn_aggregator.history(report, now));
        Ok(Reply::Burn(reports.iter().map(view).collect()))
    }

    /// Counts the jobs that have ended since the last call.
    pub(super) fn count_jobs(&self) {
        let now = self.clock.now();
        let term = self.replica.status().term;
        let state = self.replica.state();
        let mut burn_aggregator = self.burn_aggregator.borrow_mut();
        let new_term = burn_aggregator.term != term;
        if new_term {
            *burn_aggregator = BurnAggregator { term, ..BurnAggregator::default() };
        }
        let ended =
            state.scheduler().jobs().filter(|job| matches!(job.phase, JobPhase::Ended { .. }));
        let ended: Vec<_> = ended.collect();
        for job in &ended {
            if burn_aggregator.counted_jobs.insert(job.spec.job.clone()) && !new_term {
                let kind = state.config().config().kind(&job.spec.service, &job.spec.kind);
                if let Some(spec) = kind {
                    burn_aggregator.count_job(now, job, spec.target);
                }
            }
        }
        if burn_aggregator.counted_jobs.len() > ended.len() {
            let names: HashSet<_> = ended.iter().map(|job| &job.spec.job).collect();
            burn_aggregator.counted_jobs.retain(|job| names.contains(job));
        }
        burn_aggregator.sample(now);
    }
}

impl BurnAggregator {
    /// Counts an ended job. It is good if it was done within the target time. A job that its caller
    /// cancelled is not counted.
    fn count_job(&mut self, now: Time, job: &JobState, target: Target) {
        let JobPhase::Ended { outcome, at } = &job.phase else {
            return;
        };
        if *outcome == JobOutcome::Cancelled {
            return;
        }
        let good = *outcome == JobOutcome::Done && at.since(job.submitted) <= target.within;
        let counts =
            bronzespool::flow::burn::AnswerCounts { good: u64::from(good), bad: u64::from(!good) };
        let burn = self.jobs.tracker(&job.spec.service, &job.spec.kind, target);
        burn.set_target(target);
        burn.add(now, counts);
    }
}
