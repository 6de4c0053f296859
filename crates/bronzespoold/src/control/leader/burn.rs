//! Service-level burn of the whole system, from what the entries tell and from ended jobs.

use {
    crate::control::leader::calls::Leader,
    bronzespool::{
        core::{HashSet, Job, Kind, Service, Target, Time},
        flow::burn::{BurnReport, BurnTrackers, WindowCounts},
        schedule::{JobOutcome, JobPhase, JobState},
        wire::message::{Answered, BurnView, KindCounts, Reply},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time after which the counts of a silent entry no longer count.
const HOLDER_TIME: Duration = Duration::from_secs(24 * 60 * 60);
/// Time between two points of the history.
const HISTORY_STEP: Duration = Duration::from_secs(10);
/// Points of the history.
const HISTORY_MAX: usize = 360;

type KindName = (Service, Kind);

/// What the leader has counted in its term; the entries tell their windows again to a new leader.
#[derive(Debug, Default)]
pub(super) struct Counted {
    term: u64,
    holders: BTreeMap<u64, (Time, Vec<KindCounts>)>,
    jobs: BurnTrackers,
    /// Ended jobs that were counted, or had ended before the term.
    seen: HashSet<Job>,
    history: BTreeMap<KindName, VecDeque<(Time, f64)>>,
    sampled: Time,
}

impl Counted {
    fn lines(&self, now: Time) -> Vec<BurnReport> {
        let mut sums: BTreeMap<KindName, (Target, WindowCounts)> = BTreeMap::new();
        let jobs = self.jobs.windows(now);
        let told = self.holders.values().flat_map(|(_, counts)| counts);
        for (service, kind, target, windows) in told.chain(&jobs) {
            let key = (service.clone(), kind.clone());
            let sum = sums.entry(key).or_insert((*target, WindowCounts::default()));
            sum.1 = sum.1.plus(*windows);
        }
        let line =
            |((service, kind), (target, windows))| BurnReport::new(service, kind, target, windows);
        sums.into_iter().map(line).collect()
    }

    fn sample(&mut self, now: Time) {
        if now.since(self.sampled) < HISTORY_STEP {
            return;
        }
        self.sampled = now;
        self.holders.retain(|_, (heard, _)| now.since(*heard) < HOLDER_TIME);
        for line in self.lines(now) {
            let points = self.history.entry((line.service, line.kind)).or_default();
            points.push_back((now, line.short_burn));
            if points.len() > HISTORY_MAX {
                points.pop_front();
            }
        }
    }

    fn history(&self, line: &BurnReport, now: Time) -> Vec<(i64, f64)> {
        let key = (line.service.clone(), line.kind.clone());
        let before = |at: Time| -i64::try_from(now.since(at).as_secs()).unwrap_or(i64::MAX);
        let points = self.history.get(&key).into_iter().flatten();
        points.map(|(at, burn)| (before(*at), *burn)).collect()
    }
}

impl Leader {
    /// Takes what an entry has answered.
    pub(super) fn answers(&self, holder: u64, counts: Vec<KindCounts>) -> Reply {
        self.counted.borrow_mut().holders.insert(holder, (self.clock.now(), counts));
        Reply::Noted
    }

    /// The burn of every kind.
    pub(super) fn burn(&self) -> Answered {
        let now = self.clock.now();
        let counted = self.counted.borrow();
        let lines = counted.lines(now);
        let view = |line: &BurnReport| BurnView::new(line, counted.history(line, now));
        Ok(Reply::Burn(lines.iter().map(view).collect()))
    }

    /// Counts the jobs that have ended since the last look.
    pub(super) fn count_jobs(&self) {
        let now = self.clock.now();
        let term = self.replica.status().term;
        let state = self.replica.state();
        let mut counted = self.counted.borrow_mut();
        let first = counted.term != term;
        if first {
            *counted = Counted { term, ..Counted::default() };
        }
        let ended = state.book().jobs().filter(|job| matches!(job.phase, JobPhase::Ended { .. }));
        let ended: Vec<_> = ended.collect();
        for job in &ended {
            if counted.seen.insert(job.spec.job.clone()) && !first {
                let kind = state.config().config().kind(&job.spec.service, &job.spec.kind);
                if let Some(spec) = kind {
                    counted.count(now, job, spec.target);
                }
            }
        }
        if counted.seen.len() > ended.len() {
            let names: HashSet<_> = ended.iter().map(|job| &job.spec.job).collect();
            counted.seen.retain(|job| names.contains(job));
        }
        counted.sample(now);
    }
}

impl Counted {
    /// A job is good if it was done in time; one that its caller cancelled does not count.
    fn count(&mut self, now: Time, job: &JobState, target: Target) {
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
