//! Which jobs are rejected, and when their callers should retry.
//!
//! Covers more work than can be done before its cutoff. A waiting job costs little, so a job is
//! rejected only if it is known that it cannot be served. It is rejected at submission, so that its
//! caller does not wait in vain.

use {
    crate::{
        id::JobId,
        ledger::Ledger,
        overload::{
            arrivals::{Arrival, Arrivals},
            demand::{Pool, TaskCapacity, Tasks, seconds_to_duration},
            forecast::{earliest_start, queue_ahead},
            times::{JobTimes, job_times, step_work},
        },
        plan::{ClusterView, would_be_guaranteed},
        spec::JobSpec,
    },
    bronzespool_core::{HashMap, HashSet, Time},
    displaydoc::Display,
    std::{collections::BTreeMap, hash::BuildHasher, sync::Arc, time::Duration},
};

/// Shortest time after which a caller is told to retry, and for which a rejected job is not accepted.
/// An entry retries a call for this long, so a copy of the rejected submission may still arrive. If it
/// were accepted, the job would run although the answer says that it never runs.
const RETRY_MIN: Duration = Duration::from_secs(2);
/// Longest time after which a caller is told to retry. The load further ahead is unknown.
const RETRY_MAX: Duration = Duration::from_secs(60);
/// Shortest time over which retries are spread, since Retry-After is in whole seconds.
const SPREAD_MIN: Duration = Duration::from_secs(1);
/// Time after which an accepted job that is not in the ledger is no longer counted.
const COMMIT_MAX: Duration = Duration::from_secs(60);

/// Result of the admission of a job.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Why a job is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// it cannot be done before its cutoff even if it is started next
    Cutoff,
    /// the queue ahead of it takes longer than its cutoff
    Queue,
    /// it was rejected a moment ago
    Repeated,
}

impl Cause {
    /// Name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Cutoff => "cutoff",
            Self::Queue => "queue",
            Self::Repeated => "repeated",
        }
    }
}

/// A rejection with what decided it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The cause.
    pub cause: Cause,
    /// Time after which the caller should retry, in whole seconds.
    pub retry: Duration,
    /// Time until the job would be started.
    pub wait: Duration,
    /// Durations of the job.
    pub times: JobTimes,
    /// When the job was first submitted.
    pub first: Time,
}

/// An accepted job that the latest state of overload does not contain.
#[derive(Clone, Debug)]
pub(super) struct Accepted {
    at: Time,
    pub(super) priority: u32,
    pub(super) team: Option<Arc<str>>,
    /// Its tasks by pool.
    pub(super) work: BTreeMap<Pool, Vec<Tasks>>,
}

/// A job that is to be admitted.
pub(super) struct Candidate<'a> {
    pub(super) spec: &'a JobSpec,
    pub(super) priority: u32,
    /// When the job was first submitted.
    pub(super) first: Time,
    pub(super) times: JobTimes,
    pub(super) work: BTreeMap<Pool, Vec<Tasks>>,
}

/// Decides on submissions on the leader.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    arrivals: Arrivals,
    accepted: BTreeMap<JobId, Accepted>,
    places: Arc<HashMap<JobId, Time>>,
}

impl Admission {
    /// Decides on a job that is not in the ledger. `view` holds the latest state of overload,
    /// `silent` the workers with which contact is lost.
    pub fn decide(
        &mut self,
        ledger: &Ledger,
        view: &ClusterView,
        silent: &HashSet<Arc<str>>,
        spec: &JobSpec,
    ) -> Result<()> {
        self.forget_known(ledger, view);
        let queue = ledger.config().and_then(|c| c.queue(&spec.queue));
        let Some(queue) = queue else { return Ok(()) };
        if self.accepted.contains_key(&spec.id) || !is_bounded(spec) {
            return Ok(());
        }
        let times = job_times(ledger, spec, &view.estimates);
        let arrival = self.arrivals.get(spec.id);
        let first = arrival.map_or(view.now, |a| a.first);
        let held = arrival.filter(|a| a.rejected + RETRY_MIN > view.now).cloned();
        if let Some(arrival) = held {
            // This caller is told as well that the job never runs, so the hold begins again.
            self.arrivals.record(spec.id, Arrival { rejected: view.now, ..arrival });
            let (cause, retry) = (Cause::Repeated, whole_seconds(RETRY_MIN));
            return Err(Rejection { cause, retry, wait: Duration::ZERO, times, first });
        }
        let mut capacity = TaskCapacity::new(ledger, view, silent);
        let service = &queue.service;
        let work = work_of(spec, service, view, &mut capacity);
        let candidate = Candidate { spec, priority: queue.priority, first, times, work };
        if !would_be_guaranteed(ledger, spec)
            && let Some((cause, wait)) = self.obstacle(ledger, view, &capacity, &candidate)
        {
            let excess = wait.saturating_add(times.chain).saturating_sub(times.allowed);
            let retry = self.reject(&candidate, service, excess, view.now);
            return Err(Rejection { cause, retry, wait, times, first });
        }
        self.accept(candidate, view.now);
        Ok(())
    }

    /// Returns when jobs that were rejected before they were accepted were first submitted.
    pub fn places(&self) -> &Arc<HashMap<JobId, Time>> {
        &self.places
    }

    /// Returns why a job cannot be done before its cutoff, and when it would be started.
    fn obstacle(
        &self,
        ledger: &Ledger,
        view: &ClusterView,
        capacity: &TaskCapacity<'_>,
        candidate: &Candidate<'_>,
    ) -> Option<(Cause, Duration)> {
        let JobTimes { chain, cutoff, latest, .. } = candidate.times;
        // A job that no present worker could run is not rejected, since workers may join.
        let start = earliest_start(ledger, view, capacity, candidate)?;
        // Nothing is known of a job without a duration, not even that it is late.
        if chain.is_zero() {
            return None;
        }
        if start.saturating_add(chain) > latest {
            return Some((Cause::Cutoff, start));
        }
        let ahead = queue_ahead(&view.overload, &self.accepted, &self.places, candidate);
        ahead.filter(|wait| wait.saturating_add(chain) > cutoff).map(|wait| (Cause::Queue, wait))
    }

    fn accept(&mut self, candidate: Candidate<'_>, now: Time) {
        let Candidate { spec, priority, work, .. } = candidate;
        if let Some(first) = self.arrivals.remove(spec.id) {
            Arc::make_mut(&mut self.places).insert(spec.id, first);
        }
        let accepted = Accepted { at: now, priority, team: spec.team.clone(), work };
        self.accepted.insert(spec.id, accepted);
    }

    /// Records a rejection and returns the time after which its caller should retry: when the job
    /// could be served within its allowed duration, which is after `excess` and the work of jobs that
    /// were rejected earlier. A hash of the identifier spreads callers that are rejected together.
    fn reject(
        &mut self,
        candidate: &Candidate<'_>,
        service: &Arc<str>,
        excess: Duration,
        now: Time,
    ) -> Duration {
        let id = candidate.spec.id;
        let work = |tasks: &Vec<Tasks>| tasks.iter().map(Tasks::work).sum();
        let seconds: f64 = candidate.work.values().map(work).fold(0.0, f64::max);
        // Bounds the delay that one large job adds to the retries of all others.
        let seconds = seconds.min(RETRY_MAX.as_secs_f64());
        let before = seconds_to_duration(self.arrivals.outstanding(service, now));
        let spread = seconds_to_duration(seconds).max(SPREAD_MIN).mul_f64(position(id));
        let due = excess.saturating_add(before).saturating_add(spread);
        let latest = RETRY_MAX.mul_f64(f64::midpoint(1.0, position(id)));
        let retry = whole_seconds(if due > RETRY_MAX { latest } else { due });
        let arrival = Arrival {
            first: candidate.first,
            rejected: now,
            due: now + retry,
            service: Arc::clone(service),
            seconds,
        };
        self.arrivals.record(id, arrival);
        retry
    }

    /// Removes accepted jobs that the state of overload contains, and the places of jobs that are no
    /// longer active.
    fn forget_known(&mut self, ledger: &Ledger, view: &ClusterView) {
        let assessed = view.overload.assessed_at();
        let is_new = |id: &JobId| ledger.job(*id).is_none_or(|j| j.submitted >= assessed);
        self.accepted.retain(|id, a| is_new(id) && view.now.since(a.at) < COMMIT_MAX);
        let accepted = &self.accepted;
        let waits = |id: &JobId| {
            accepted.contains_key(id) || ledger.job(*id).is_some_and(|j| j.phase.is_active())
        };
        if self.places.keys().any(|id| !waits(id)) {
            Arc::make_mut(&mut self.places).retain(|id, _| waits(id));
        }
    }
}

/// Whether a job is to be done once, as soon as possible.
fn is_bounded(spec: &JobSpec) -> bool {
    spec.times == 0 && !spec.steps.iter().any(|s| s.long_lived)
}

/// Returns a job's tasks by the pools that they need.
fn work_of(
    spec: &JobSpec,
    service: &Arc<str>,
    view: &ClusterView,
    capacity: &mut TaskCapacity<'_>,
) -> BTreeMap<Pool, Vec<Tasks>> {
    let mut by_pool: BTreeMap<Pool, Vec<Tasks>> = BTreeMap::new();
    for step in &spec.steps {
        let pool = Pool { service: Arc::clone(service), label: step.label.clone() };
        let Some(share) = capacity.share(&pool, step, step.count as usize) else { continue };
        let work = step_work(&spec.queue, step, &view.estimates).expected;
        by_pool.entry(pool).or_default().push(Tasks { share, seconds: work.as_secs_f64() });
    }
    by_pool
}

/// Returns a number from zero to one that depends on a job's identifier only.
fn position(id: JobId) -> f64 {
    let hash = HashMap::<JobId, ()>::default().hasher().hash_one(id);
    hash as f64 / u64::MAX as f64
}

fn whole_seconds(time: Duration) -> Duration {
    let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    Duration::from_secs(seconds).clamp(RETRY_MIN, RETRY_MAX)
}
