//! Order of waiting work of the same precedence in an overloaded class.
//!
//! Covers a few large teams beside small ones, bursts, and large jobs beside many small ones. Work
//! that can still be done within its allowed duration goes before work that cannot. Within each of the
//! two, the team goes first whose runs, together with its waiting work ordered so far, use the least
//! of the service. Age decides within a team. The largest jobs go before all of these while they are
//! begun less than half as often as the others.

use {
    crate::{
        ledger::{Job, Ledger, Phase},
        overload::{Overload, budget::Timing, times::job_times},
        plan::ClusterView,
        spec::{Resources, Step},
    },
    bronzespool_core::{HashMap, Time},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Percentage by which the slowest task of a gang takes longer than expected: the durations of one
/// step's tasks differ by up to that much.
const GANG_SPREAD_PERCENT: u32 = 30;
/// Time for which a job that was submitted counts for how often the largest jobs are begun.
const SIZE_SPAN: Duration = Duration::from_secs(60);
/// Units of a whole service in which shares are counted.
const WHOLE: f64 = 1e9;

/// What decides the place of a task group among those of the same precedence.
#[derive(Clone, Copy, Debug)]
pub struct GroupInput<'a> {
    /// The job.
    pub job: &'a Job,
    /// Service whose workers run it.
    pub service: &'a Arc<str>,
    /// Priority of the job.
    pub priority: u32,
    /// Step of the group.
    pub step: &'a Step,
    /// Number of tasks.
    pub tasks: u64,
    /// Durations that decide whether the job is still in time.
    pub timing: Timing,
}

/// Tier of the order: a smaller one comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// One of the largest jobs, while those are begun too rarely.
    Large,
    /// Can be done within its allowed duration, or its class is not overloaded.
    #[default]
    InTime,
    /// Cannot be done within its allowed duration.
    Late,
}

/// Shares of the services that teams use.
pub struct TeamShares<'a> {
    overload: &'a Overload,
    whole: BTreeMap<&'a Arc<str>, Resources>,
    /// Shares in use, and those of waiting work that goes first.
    used: HashMap<(Arc<str>, Option<Arc<str>>), u64>,
}

impl<'a> TeamShares<'a> {
    /// Adds up the runs of each team on the workers of each service.
    pub fn new(ledger: &'a Ledger, view: &'a ClusterView) -> Self {
        let mut whole: BTreeMap<&Arc<str>, Resources> = BTreeMap::new();
        let mut used: HashMap<(Arc<str>, Option<Arc<str>>), Resources> = HashMap::default();
        for worker in ledger.workers() {
            let sum = whole.entry(&worker.spec.service).or_default();
            *sum = sum.plus(&worker.spec.capacity);
            for (run, allocation) in &worker.runs {
                let Some(job) = ledger.job(run.task.step.job) else { continue };
                let team = (Arc::clone(&worker.spec.service), job.spec.team.clone());
                let sum = used.entry(team).or_default();
                *sum = sum.plus(allocation);
            }
        }
        let share = |((service, team), sum): ((Arc<str>, _), Resources)| {
            let share = dominant_share(&sum, whole.get(&service));
            ((service, team), share)
        };
        let used = used.into_iter().map(share).collect();
        Self { overload: &view.overload, whole, used }
    }

    /// Returns the tier of a group. Groups of classes that are not overloaded are all alike.
    pub fn tier(&self, group: &GroupInput<'_>) -> Tier {
        let GroupInput { service, priority, .. } = *group;
        if !self.overload.is_class_overloaded(service, priority) {
            return Tier::default();
        }
        let large = self.overload.lagging_size(service, priority);
        if large.is_some_and(|size| job_size(group.job) >= size) {
            return Tier::Large;
        }
        let slowest = if group.step.gang { 100 + GANG_SPREAD_PERCENT } else { 100 };
        let Timing { elapsed, remaining, allowed } = group.timing;
        if elapsed.saturating_add(remaining.saturating_mul(slowest) / 100) <= allowed {
            Tier::InTime
        } else {
            Tier::Late
        }
    }

    /// Returns when a group's job was first submitted; zero if its class is not overloaded.
    pub fn arrived(&self, group: &GroupInput<'_>) -> Time {
        if !self.overload.is_class_overloaded(group.service, group.priority) {
            return Time::ZERO;
        }
        self.overload.place(group.job.spec.id).unwrap_or(group.job.submitted)
    }

    /// Returns the share that a group's team uses, and adds the group to it. It is zero if the group's
    /// class is not overloaded.
    pub fn take(&mut self, group: &GroupInput<'_>) -> u64 {
        if !self.overload.is_class_overloaded(group.service, group.priority) {
            return 0;
        }
        let need = group.step.allocation().times(group.tasks);
        let own = dominant_share(&need, self.whole.get(group.service));
        let team = (Arc::clone(group.service), group.job.spec.team.clone());
        let used = self.used.entry(team).or_default();
        let before = *used;
        *used = used.saturating_add(own);
        before
    }
}

/// Returns the largest share of a resource, in billionths.
fn dominant_share(used: &Resources, whole: Option<&Resources>) -> u64 {
    let Some(whole) = whole else { return 0 };
    let share = |used: u64, whole: u64| {
        if whole == 0 { 0.0 } else { used as f64 / whole as f64 * WHOLE }
    };
    let cpu = share(used.cpu, whole.cpu);
    let memory = share(used.memory, whole.memory);
    cpu.max(memory).max(share(used.gpu, whole.gpu)) as u64
}

/// Returns the weight of what has to be free at once for a job's largest task group.
pub fn job_size(job: &Job) -> u64 {
    let size = |s: &Step| {
        let tasks = if s.gang { u64::from(s.count) } else { 1 };
        s.allocation().times(tasks).weight()
    };
    job.spec.steps.iter().map(size).max().unwrap_or(0)
}

/// How many jobs of a class have begun, of those that should have.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    begun: u64,
    all: u64,
}

/// Returns the least size of the largest jobs of each class in which those are begun less than half
/// as often as the others. The largest are those above half of the largest size.
pub(super) fn lagging_sizes(ledger: &Ledger, view: &ClusterView) -> BTreeMap<(Arc<str>, u32), u64> {
    let recent = |j: &&Job| {
        j.phase != Phase::Cancelled && view.now.since(j.submitted) <= SIZE_SPAN && j.spec.times == 0
    };
    let mut by_class: BTreeMap<_, Vec<(u64, bool)>> = BTreeMap::new();
    for job in ledger.jobs().filter(recent) {
        let begun = job.phase != Phase::Queued;
        let slack = || job_times(ledger, &job.spec, &view.estimates).slack();
        if begun || view.now.since(job.submitted) > slack() {
            let class = (Arc::clone(ledger.service(job)), ledger.priority(job));
            by_class.entry(class).or_default().push((job_size(job), begun));
        }
    }
    let lagging = by_class.into_iter().filter_map(|(class, jobs)| {
        let least = jobs.iter().map(|(size, _)| size).max()? / 2 + 1;
        let (mut large, mut others) = (Served::default(), Served::default());
        for (size, begun) in jobs {
            let sum = if size >= least { &mut large } else { &mut others };
            sum.all += 1;
            sum.begun += u64::from(begun);
        }
        (large.begun * others.all * 2 < others.begun * large.all).then_some((class, least))
    });
    lagging.collect()
}
