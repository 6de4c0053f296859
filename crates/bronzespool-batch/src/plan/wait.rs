//! Why a step that could start waits, for those who have submitted its job.

use {
    crate::{
        id::{JobId, RunId, StepId},
        ledger::{Ledger, Worker},
        plan::{
            ClusterView, Inquiries, PermitWait, TaskGroup,
            capacity::{ClusterCapacity, WorkerSlot, is_eligible},
            disruption,
            group::task_groups,
            precedence_of,
            withheld::Reason,
        },
        spec::Resources,
    },
    bronzespool_core::{HashMap, Time},
    displaydoc::Display,
    std::{fmt, sync::Arc, time::Duration},
};

/// Most workers that an explanation names.
const NAMES_MAX: usize = 3;
/// Waiting time from which the cause is logged.
const REPORT_AFTER: Duration = Duration::from_secs(3);
/// Shortest time between two passes of the report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Most steps that one pass of the report examines; the others follow in turn.
const REPORTED_MAX: usize = 4;

/// Why a step waits.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Wait {
    /// service {0} has no worker
    NoWorker(Arc<str>),
    /// no worker of service {0} has the label {1}
    NoLabel(Arc<str>, Arc<str>),
    /// all workers that could run it together are too small for it
    TooLarge,
    /// of the workers that could run it, too many leave, are drained or are out of contact
    Away,
    /// {0}
    Permit(PermitWait),
    /// the rest of {0} is kept free for a moment, as workers have crashed under a task that runs there
    KeptApart(Workers),
    /// {0} would have room, but too many tasks have failed there
    Quarantined(Workers),
    /// {0}; at the latest in {1} ms it may use what is free
    Withheld(Reason, u64),
    /// {0}; its turn comes in {1} ms, or after those of steps that have waited longer
    Turn(Reason, u64),
    /// the disruption budget of step {0} is used up, or not known to be left, so that its tasks are not stopped for it
    Budget(StepId),
    /// none of the {0} workers that could run it has room
    NoRoom(usize),
}

impl Wait {
    /// Name of the cause in logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::NoWorker(_) => "no worker",
            Self::NoLabel(..) => "no label",
            Self::TooLarge => "too large",
            Self::Away => "away",
            Self::Permit(PermitWait::Refused(..)) => "refused permit",
            Self::Permit(_) => "permit",
            Self::KeptApart(_) => "kept apart",
            Self::Quarantined(_) => "quarantined",
            Self::Withheld(reason, _) | Self::Turn(reason, _) => reason.name(),
            Self::Budget(_) => "disruption budget",
            Self::NoRoom(_) => "no room",
        }
    }
}

/// Some workers, the first of which are named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workers {
    names: Vec<Arc<str>>,
    count: usize,
}

impl Workers {
    fn of(slots: &[&WorkerSlot<'_>]) -> Self {
        let name = |s: &&WorkerSlot<'_>| Arc::clone(&s.incarnation().worker);
        Self { names: slots.iter().take(NAMES_MAX).map(name).collect(), count: slots.len() }
    }
}

impl fmt::Display for Workers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.names.join(", "))?;
        match self.count - self.names.len() {
            0 => Ok(()),
            others => write!(f, " and {others} more"),
        }
    }
}

/// A step that waits, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// Time since it could have started, as far as known.
    pub waited: Duration,
    /// Why it waits.
    pub cause: Wait,
}

/// Explains waits by the state of one moment.
struct Explainer<'a> {
    ledger: &'a Ledger,
    view: &'a ClusterView,
    inquiries: &'a Inquiries,
    capacity: ClusterCapacity<'a>,
}

impl<'a> Explainer<'a> {
    fn new(ledger: &'a Ledger, view: &'a ClusterView, inquiries: &'a Inquiries) -> Self {
        Self { ledger, view, inquiries, capacity: ClusterCapacity::new(ledger, view) }
    }

    /// Returns why a group waits; none if nothing holds it up, so that the next plan may start it.
    fn explain(&self, group: &TaskGroup<'_>) -> Option<WaitingStep> {
        let cause = self.missing(group).or_else(|| self.occupied(group))?;
        let waited = self.view.now.since(group.ready_at);
        Some(WaitingStep { step: group.step, waited, cause })
    }

    /// What the known workers lack for a group even if nothing runs on them.
    fn missing(&self, group: &TaskGroup<'_>) -> Option<Wait> {
        let of_service = |w: &&Worker| w.spec.service == *group.service;
        let workers: Vec<&Worker> = self.ledger.workers().filter(of_service).collect();
        if workers.is_empty() {
            return Some(Wait::NoWorker(Arc::clone(group.service)));
        }
        let label = group.spec.label.as_ref();
        let is_labelled = |w: &&&Worker| label.is_none_or(|l| w.spec.labels.contains(l));
        let labelled: Vec<&Worker> = workers.iter().filter(is_labelled).copied().collect();
        if let Some(label) = label.filter(|_| labelled.is_empty()) {
            return Some(Wait::NoLabel(Arc::clone(group.service), Arc::clone(label)));
        }
        let wanted = group.tasks.len() as u64;
        let places = |w: &&Worker| self.places(group, &w.spec.capacity);
        if labelled.iter().map(places).fold(0, u64::saturating_add) < wanted {
            return Some(Wait::TooLarge);
        }
        let here = self.matching(group);
        let places = |s: &&WorkerSlot<'_>| self.places(group, s.whole());
        (here.iter().map(places).fold(0, u64::saturating_add) < wanted).then_some(Wait::Away)
    }

    /// What holds up a group for which there are workers.
    fn occupied(&self, group: &TaskGroup<'_>) -> Option<Wait> {
        let matching = self.matching(group);
        let permitted: Vec<&WorkerSlot<'_>> =
            matching.into_iter().filter(|s| self.capacity.is_permitted(group, s)).collect();
        let wanted = group.tasks.len() as u64;
        let sum = |slots: &[&WorkerSlot<'_>], room: fn(&WorkerSlot<'_>) -> Resources| {
            let places = slots.iter().map(|s| self.free_places(group, s, room));
            places.fold(0, u64::saturating_add)
        };
        if sum(&permitted, |s| *s.whole()) < wanted {
            let permit = self.inquiries.explain(self.ledger, self.view, group.step.job);
            return permit.map(Wait::Permit);
        }
        let (eligible, quarantined): (Vec<_>, Vec<_>) =
            permitted.iter().partition(|s| is_eligible(s));
        if sum(&eligible, |s| s.free) >= wanted {
            return self.withheld(group);
        }
        if sum(&eligible, |s| s.free.plus(&s.closed)) >= wanted {
            let closed = |s: &&&WorkerSlot<'_>| s.closed.fits(&group.spec.allocation());
            let closed: Vec<_> = eligible.iter().filter(closed).copied().collect();
            return Some(Wait::KeptApart(Workers::of(&closed)));
        }
        if sum(&permitted, |s| s.free.plus(&s.closed)) >= wanted {
            return Some(Wait::Quarantined(Workers::of(&quarantined)));
        }
        let is_late = |w: &Wait| matches!(w, Wait::Turn(Reason::Late, _));
        let late = self.withheld(group).filter(is_late);
        let budget = || self.blocking_budget(group, &permitted).map(Wait::Budget);
        late.or_else(budget).or(Some(Wait::NoRoom(permitted.len())))
    }

    /// Returns a step whose disruption budget keeps its tasks from being stopped for a guaranteed group.
    fn blocking_budget(&self, group: &TaskGroup<'_>, slots: &[&WorkerSlot<'_>]) -> Option<StepId> {
        let precedence = precedence_of(self.ledger);
        if !precedence.is_guaranteed(group) {
            return None;
        }
        let is_kept = |run: &&RunId| {
            let job = self.ledger.job(run.task.step.job);
            let job = job.filter(|j| precedence.may_stop(group, j));
            let budget = |j| disruption::remaining_budget(&self.capacity, self.view, j, **run);
            job.and_then(budget) == Some(0)
        };
        let mut runs = slots.iter().flat_map(|s| s.worker.runs.keys());
        runs.find(is_kept).map(|run| run.task.step)
    }

    /// What the latest plan withholds from a group.
    fn withheld(&self, group: &TaskGroup<'_>) -> Option<Wait> {
        let withheld = self.view.withheld.of_step(group.step)?;
        let left = withheld.until.since(self.view.now).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX);
        let cause = if withheld.is_turn { Wait::Turn } else { Wait::Withheld };
        Some(cause(withheld.reason.clone(), left))
    }

    fn matching(&self, group: &TaskGroup<'_>) -> Vec<&WorkerSlot<'a>> {
        let slots = self.capacity.slots.iter();
        slots.filter(|s| s.meets_requirements(group.service, group.spec)).collect()
    }

    /// Number of a group's tasks that fit into resources of one worker.
    fn places(&self, group: &TaskGroup<'_>, room: &Resources) -> u64 {
        let limit = match group.spec.worker_max {
            0 => u64::MAX,
            limit => u64::from(limit),
        };
        room.count(&group.spec.allocation()).min(limit)
    }

    fn free_places(
        &self,
        group: &TaskGroup<'_>,
        slot: &WorkerSlot<'_>,
        room: fn(&WorkerSlot<'_>) -> Resources,
    ) -> u64 {
        self.places(group, &room(slot)).min(u64::from(slot.remaining_tasks(group)))
    }
}

/// Returns why the first waiting step of a job waits; none if no step does, or nothing holds it up.
pub fn explain_wait(
    ledger: &Ledger,
    view: &ClusterView,
    inquiries: &Inquiries,
    id: JobId,
) -> Option<WaitingStep> {
    let groups: Vec<_> = task_groups(ledger, view);
    let of_job = groups.iter().map(|like| &like.first).filter(|g| g.step.job == id);
    let explainer = Explainer::new(ledger, view, inquiries);
    of_job.filter_map(|group| explainer.explain(group)).next()
}

/// What was last reported of a step.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    at: Time,
    cause: Option<&'static str>,
}

/// Reports steps that wait for long, each time that the cause is another one.
#[derive(Clone, Debug, Default)]
pub struct WaitReport {
    examined_at: Time,
    steps: HashMap<StepId, Reported>,
}

impl WaitReport {
    /// Returns steps that have waited for long and whose cause has not been returned before. It
    /// examines a few at a time, those first that it has not examined for the longest time.
    pub fn update(
        &mut self,
        ledger: &Ledger,
        view: &ClusterView,
        inquiries: &Inquiries,
    ) -> Vec<WaitingStep> {
        let now = view.now;
        if now.since(self.examined_at) < REPORT_INTERVAL {
            return Vec::new();
        }
        self.examined_at = now;
        let groups = task_groups(ledger, view).into_iter().map(|like| like.first);
        let mut late: HashMap<StepId, TaskGroup<'_>> = HashMap::default();
        for group in groups.filter(|g| now.since(g.ready_at) >= REPORT_AFTER) {
            late.entry(group.step).or_insert(group);
        }
        self.steps.retain(|step, _| late.contains_key(step));
        if late.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<&TaskGroup<'_>> = late.values().collect();
        order.sort_by_key(|g| (self.steps.get(&g.step).map(|r| r.at), g.ready_at, g.step));
        let explainer = Explainer::new(ledger, view, inquiries);
        let examined = order.into_iter().take(REPORTED_MAX);
        examined.filter_map(|group| self.examine(&explainer, group)).collect()
    }

    /// Returns why a group waits unless that is known.
    fn examine(&mut self, explainer: &Explainer<'_>, group: &TaskGroup<'_>) -> Option<WaitingStep> {
        let found = explainer.explain(group);
        let reported = self.steps.entry(group.step).or_default();
        reported.at = explainer.view.now;
        let cause = found.as_ref().map(|f| f.cause.name());
        let before = reported.cause;
        reported.cause = cause.or(before);
        found.filter(|_| before != cause)
    }
}
