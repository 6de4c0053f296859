//! Placement decisions: which task runs where next, and which runs are preempted for it.
//!
//! [`Planner::plan`] reads the ledger and a [`ClusterView`]. The leader calls it again whenever
//! either has changed; the returned events take effect once they are committed to the log. Between
//! two plans the planner keeps only the placements for which it has stopped other runs.

mod apart;
mod candidate;
mod capacity;
mod disruption;
mod evacuate;
mod fair;
mod group;
mod headroom;
mod health;
mod hold;
mod inquiry;
mod late;
mod maintenance;
mod permit;
mod place;
mod places;
mod precedence;
mod reclaim;
mod speed;
mod steps;
mod time_left;
mod turns;
mod urgency;
mod wait;
mod withheld;

pub(crate) use precedence::{precedence_of, would_be_guaranteed};

pub use {
    group::TaskGroup,
    inquiry::{Inquiries, PermitWait},
    maintenance::{BlockedMachine, MaintenancePlanner, Takedown},
    permit::{Permits, usable_time},
    precedence::Precedence,
    steps::PlanSteps,
    wait::{Wait, WaitReport, WaitingStep, Workers, explain_wait},
    withheld::{Reason, Withheld, Withholding},
};

use {
    self::{
        candidate::{Candidates, ReleaseMode},
        capacity::{ClusterCapacity, Reservation},
        group::{LikeGroups, task_groups},
        headroom::{Headroom, UrgentDemand},
        hold::{HeldPlacements, HoldState},
        late::LateTurns,
        place::{Placement, PlacementScope, place},
        places::PlaceIndex,
        reclaim::{ReleasePlan, ReleaseSearch},
        speed::SpeedNeed,
        urgency::{Urgencies, Urgency},
    },
    crate::{
        cold::ColdWorkers,
        departure::Departures,
        id::{RunId, StepId},
        ledger::{Assignment, Event, Ledger, StopCause},
        overload::{
            Overload,
            budget::{self, PreemptionCounts, StopBudget},
        },
    },
    bronzespool_core::{HashMap, HashSet, Time},
    bronzespool_estimate::Estimates,
    std::{sync::Arc, time::Duration},
};

/// Waiting time after which a task group may run on any worker of a service that is mostly idle, and one
/// that lasts on workers of any rack.
const RELAX_AFTER: Duration = Duration::from_millis(1_200);
/// Waiting time after which capacity is reserved for a task group while other runs finish.
const RESERVE_AFTER: Duration = Duration::from_millis(500);
/// Number of workers per reservation of a plan; the number of reservations is rounded up.
const WORKERS_PER_RESERVATION: usize = 12;
/// Most tasks started by one plan; the rest follow once these are committed to the log.
const STARTS_MAX: usize = 256;

/// Progress of a run, from its worker's latest report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
}

/// The leader's knowledge of the cluster that is not part of the ledger.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Current log time.
    pub now: Time,
    /// Wall-clock time in milliseconds since 1970.
    pub wall: u64,
    /// Workers that may be assigned tasks because their agents are in contact.
    pub schedulable: HashSet<Arc<str>>,
    /// Progress of each run, from its worker's latest report.
    pub progress: HashMap<RunId, Progress>,
    /// Runs whose stops are proposed and not applied yet.
    pub stopping: HashSet<RunId>,
    /// Workers that are assigned no new tasks because their machines go down for maintenance next.
    pub draining: HashSet<Arc<str>>,
    /// Workers that are slow because they have just started.
    pub cold: ColdWorkers,
    /// Workers that have announced when they may end.
    pub departures: Departures,
    /// Permits issued by the advice service.
    pub permits: Permits,
    /// Learned run times and worker speeds.
    pub estimates: Estimates,
    /// Whether runs of lower priorities leave room for urgent jobs, by what these have recently used.
    pub urgent_headroom: bool,
    /// Services with more work than they can do in time.
    pub overload: Overload,
    /// What the latest plan withholds from steps that wait, for explanations.
    pub withheld: Withheld,
}

/// The scheduling policy, with the placements that it keeps between two plans.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    memory: Memory,
    steps: PlanSteps,
    withheld: Withheld,
}

/// What the planner keeps from one plan for the next ones.
#[derive(Clone, Debug, Default)]
struct Memory {
    held: HeldPlacements,
    urgent: UrgentDemand,
    late: LateTurns,
    stops: StopBudget,
}

impl Planner {
    /// Returns the preemptions that all plans have decided.
    pub const fn preemptions(&self) -> PreemptionCounts {
        self.memory.stops.counts()
    }

    /// Returns what the latest plan examined.
    pub const fn steps(&self) -> PlanSteps {
        self.steps
    }

    /// Returns what the latest plan withholds from steps that wait.
    pub const fn withheld(&self) -> &Withheld {
        &self.withheld
    }

    /// Returns the events that the scheduling policy proposes next.
    pub fn plan(&mut self, ledger: &Ledger, view: &ClusterView) -> Vec<Event> {
        let mut pass = PlanPass::new(ledger, view, &mut self.memory);
        if view.urgent_headroom {
            pass.headroom = pass.memory.urgent.headroom(&pass.precedence, &pass.capacity, view.now);
        }
        let broken = group::runs_of_broken_gangs(ledger);
        if !broken.is_empty() {
            pass.events.push(Event::Stopping { runs: broken, cause: StopCause::Broken });
        }
        let leaving = evacuate::runs_to_stop(ledger, view);
        if !leaving.is_empty() {
            pass.events.push(Event::Stopping { runs: leaving, cause: StopCause::Leaving });
        }
        let like_groups = pass.memory.held.set_apart(task_groups(ledger, view));
        let mut waiting = with_urgency(ledger, view, like_groups);
        pass.memory.held.retain_waiting(waiting.iter().map(|(_, like)| like));
        let last = pass.memory.late.apply(&mut waiting, &pass.precedence, view.now);
        pass.withheld.extend(last);
        waiting.sort_by_cached_key(|(urgency, like)| {
            let held = pass.memory.held.contains(&like.first);
            pass.precedence.rank(&like.first, urgency, held)
        });
        if view.overload.is_any() {
            waiting =
                fair::in_fair_order(ledger, view, &pass.precedence, &pass.memory.held, waiting);
        }
        pass.schedule_all(&waiting);
        let (events, withheld) = (pass.events, pass.withheld);
        self.steps = pass.capacity.steps.steps();
        self.withheld = withheld.into_iter().collect();
        events
    }
}

/// State of one planning pass.
struct PlanPass<'a> {
    view: &'a ClusterView,
    capacity: ClusterCapacity<'a>,
    precedence: Precedence,
    candidates: Candidates<'a>,
    places: PlaceIndex,
    memory: &'a mut Memory,
    events: Vec<Event>,
    /// What is withheld from steps that wait.
    withheld: HashMap<StepId, Withholding>,
    /// Accelerators to keep free for urgent jobs, by service.
    headroom: Headroom,
    /// Number of tasks started so far.
    starts: usize,
    /// Number of reservations that may still be made.
    reservations_left: usize,
}

impl<'a> PlanPass<'a> {
    fn new(ledger: &'a Ledger, view: &'a ClusterView, memory: &'a mut Memory) -> Self {
        let capacity = ClusterCapacity::new(ledger, view);
        let reservations_left = capacity.slots.len().div_ceil(WORKERS_PER_RESERVATION);
        let precedence = precedence_of(ledger);
        Self {
            view,
            capacity,
            precedence,
            candidates: Candidates::new(ledger, view),
            places: PlaceIndex::default(),
            memory,
            events: Vec::new(),
            withheld: HashMap::default(),
            headroom: Headroom::default(),
            starts: 0,
            reservations_left,
        }
    }

    /// Schedules task groups in the order of their precedence. A task like the one before it, for
    /// which nothing could be done, is passed over: the plan has not changed since.
    fn schedule_all(&mut self, waiting: &[(Urgency, LikeGroups<'_>)]) {
        let mut failed: Option<&TaskGroup<'_>> = None;
        for (urgency, like) in waiting {
            let is_like_failed = failed.is_some_and(|f| f.is_like(&like.first));
            if is_like_failed && !self.memory.held.contains(&like.first) {
                continue;
            }
            for group in like.groups() {
                if self.starts >= STARTS_MAX {
                    return;
                }
                self.capacity.steps.add_groups(1);
                let scheduled = self.schedule(&group, urgency);
                failed = (!scheduled).then_some(&like.first);
                if !scheduled {
                    break;
                }
            }
        }
    }

    /// Starts a task group, preempts other runs for it or reserves capacity for it, trying the
    /// strictest scope first. Returns false if none of these was possible.
    fn schedule(&mut self, group: &TaskGroup<'_>, urgency: &Urgency) -> bool {
        if self.follow_held(group, urgency) {
            return true;
        }
        if self.is_withheld(group) {
            return false;
        }
        if group.apart {
            return self.start_apart(group, urgency);
        }
        let scopes = scopes(group, urgency, &self.capacity, self.view);
        let is_scheduled = scopes.iter().enumerate().any(|(i, scope)| {
            let last = i + 1 == scopes.len();
            self.start(group, urgency, *scope)
                || self.preempt(group, urgency, *scope)
                || last && self.reserve(group, urgency, *scope)
        });
        if !is_scheduled && scopes == [PlacementScope::Local] {
            self.note_rack(group, urgency);
        }
        is_scheduled
    }

    /// Notes that a task group waits for room in a rack.
    fn note_rack(&mut self, group: &TaskGroup<'_>, urgency: &Urgency) {
        let reason = match &group.spec.rack {
            Some(rack) => Reason::Rack(Arc::clone(rack)),
            None if group.spec.single_rack => Reason::OneRack,
            None => return,
        };
        let until = match group.spec.long_lived {
            true => group.ready_at + RELAX_AFTER,
            false => self.view.now + urgency.remote_wait(),
        };
        self.withheld.insert(group.step, Withholding { reason, until, is_turn: false });
    }

    /// Whether accelerators that a task group would use are kept free for urgent jobs.
    fn is_withheld(&mut self, group: &TaskGroup<'_>) -> bool {
        let kept = self.headroom.used_by(group, &self.precedence, &self.capacity);
        let found =
            (kept > 0).then(|| self.memory.urgent.withhold(group, kept, self.view.now)).flatten();
        let is_withheld = found.is_some();
        self.withheld.extend(found.map(|withholding| (group.step, withholding)));
        is_withheld
    }

    /// Starts a task group under which a worker has crashed. Only a guaranteed one may stop others.
    fn start_apart(&mut self, group: &TaskGroup<'_>, urgency: &Urgency) -> bool {
        let is_guaranteed = self.precedence.is_guaranteed(group);
        let waits = !is_guaranteed && apart::may_wait(group, self.view.now);
        let found = apart::place_apart(group, &self.capacity, self.view.now, waits);
        if let Some(placement) = found {
            self.start_on(group, &placement);
            return true;
        }
        let scope = PlacementScope::AnyRack;
        is_guaranteed && self.preempt(group, urgency, scope) || self.reserve(group, urgency, scope)
    }

    /// Starts a task group on its held placement, or goes on waiting for it. Returns false if it
    /// has none that still holds.
    fn follow_held(&mut self, group: &TaskGroup<'_>, urgency: &Urgency) -> bool {
        let now = self.view.now;
        match self.memory.held.state(group, &self.capacity, now) {
            HoldState::Free(placement) => self.start_on(group, &placement),
            HoldState::Pending(placement) => {
                if group.apart || !self.start(group, urgency, PlacementScope::Local) {
                    let reservation = Reservation { group, placement: &placement, victims: &[] };
                    self.capacity.reserve(&reservation);
                }
            }
            HoldState::Gone => return false,
        }
        true
    }

    fn start(&mut self, group: &TaskGroup<'_>, urgency: &Urgency, scope: PlacementScope) -> bool {
        let need = SpeedNeed::of(urgency);
        let found = place(group, need, &self.capacity, &mut self.places, scope);
        let Some(placement) = found else { return false };
        self.start_on(group, &placement);
        true
    }

    fn start_on(&mut self, group: &TaskGroup<'_>, placement: &Placement) {
        self.starts += placement.len();
        self.memory.stops.count_starts(group.service, placement.len(), self.view.now);
        self.memory.urgent.record_start(group, self.view.now);
        self.memory.late.record_start(group, self.view.now);
        self.memory.held.release(group);
        self.capacity.allocate(group, placement);
        self.events.push(Event::Started(assignments(group, placement, self.view)));
    }

    fn preempt(&mut self, group: &TaskGroup<'_>, urgency: &Urgency, scope: PlacementScope) -> bool {
        let found = self.find_preemption(group, urgency, scope);
        let Some((placement, victims)) = found else { return false };
        self.capacity.reserve(&Reservation { group, placement: &placement, victims: &victims });
        self.memory.held.hold(group, placement, self.view.now);
        if !victims.is_empty() {
            self.candidates.remove_stopped(&victims, &self.capacity);
            self.memory.stops.count(victims.len(), self.precedence.is_guaranteed(group));
            let cause = StopCause::Reclaimed(group.step.job);
            self.events.push(Event::Stopping { runs: victims, cause });
        }
        true
    }

    fn reserve(&mut self, group: &TaskGroup<'_>, urgency: &Urgency, scope: PlacementScope) -> bool {
        if self.reservations_left == 0 {
            return false;
        }
        let Some(placement) = self.find_reservation(group, urgency, scope) else { return false };
        self.reservations_left -= 1;
        self.capacity.reserve(&Reservation { group, placement: &placement, victims: &[] });
        true
    }

    /// Finds a placement for a task group and the runs to preempt for it. A job outside its team's
    /// guarantee must not discard more work than it contributes.
    fn find_preemption(
        &mut self,
        group: &TaskGroup<'_>,
        urgency: &Urgency,
        scope: PlacementScope,
    ) -> Option<(Placement, Vec<RunId>)> {
        let guaranteed = self.precedence.is_guaranteed(group);
        let first = guaranteed || self.precedence.priority(group.job) == 0;
        let waits = !first && urgency.can_wait();
        // A turn is no reason to discard the work of others.
        let is_late = urgency.misses_cutoff() || urgency.has_turn;
        if waits || (!guaranteed && is_late) {
            return None;
        }
        let count = group.tasks.len() as u64;
        let contributed =
            group.spec.allocation().times(count).weight().saturating_mul(group.spec.estimate);
        let is_limited = !guaranteed && self.view.overload.is_overloaded(group.service);
        let loss_max = match (guaranteed, is_limited) {
            (true, _) => u64::MAX,
            (_, true) => {
                budget::loss_max(group.job, group.spec, count, self.view, &fair::timing(urgency))
            }
            _ => contributed,
        };
        let (placement, victims, _) =
            self.release(group, urgency, scope, ReleaseMode::Preempt, loss_max)?;
        let (ledger, service, now) = (self.capacity.ledger, group.service, self.view.now);
        let allowed = !is_limited || self.memory.stops.take(ledger, service, &victims, now);
        allowed.then_some((placement, victims))
    }

    /// Finds a placement that a large task group can wait for. Without a reservation, small groups
    /// would take each piece of capacity as it is freed.
    fn find_reservation(
        &mut self,
        group: &TaskGroup<'_>,
        urgency: &Urgency,
        scope: PlacementScope,
    ) -> Option<Placement> {
        if urgency.misses_cutoff() || self.view.now.since(group.ready_at) < RESERVE_AFTER {
            return None;
        }
        let found = self.release(group, urgency, scope, ReleaseMode::Wait, u64::MAX);
        found.map(|(placement, ..)| placement)
    }

    fn release(
        &mut self,
        group: &TaskGroup<'_>,
        urgency: &Urgency,
        scope: PlacementScope,
        mode: ReleaseMode,
        loss_max: u64,
    ) -> Option<ReleasePlan> {
        let capacity = &self.capacity;
        let places = self.places.of_group(group, capacity);
        let (candidates, releases) =
            self.candidates.of_group(group, capacity, places, &self.precedence, mode);
        let need = SpeedNeed::of(urgency);
        ReleaseSearch { group, need, capacity, candidates, releases, places, loss_max }.place(scope)
    }
}

/// Adds the urgency to each task group. It is the same for all groups of a step, which follow each
/// other.
fn with_urgency<'a>(
    ledger: &Ledger,
    view: &ClusterView,
    groups: Vec<LikeGroups<'a>>,
) -> Vec<(Urgency, LikeGroups<'a>)> {
    let mut urgencies = Urgencies::new(ledger, view);
    let mut known: Option<(StepId, Urgency)> = None;
    let of_step = |like: LikeGroups<'a>| {
        let same = known.filter(|(step, _)| *step == like.first.step);
        let urgency = same.map_or_else(|| urgencies.of(&like.first), |(_, u)| u);
        known = Some((like.first.step, urgency));
        (urgency, like)
    };
    groups.into_iter().map(of_step).collect()
}

/// Placement scopes to try for a task group, the preferred one first.
fn scopes(
    group: &TaskGroup<'_>,
    urgency: &Urgency,
    capacity: &ClusterCapacity<'_>,
    view: &ClusterView,
) -> &'static [PlacementScope] {
    use PlacementScope::{AnyRack, AnyWorker, ClosedWorker, Local};
    let is_starved = is_starved(group, capacity, view);
    let may_use_closed = capacity.has_closed && apart::may_use_closed(group, view.now);
    let lasts = group.spec.long_lived;
    match (is_starved, may_use_closed) {
        (true, false) => &[Local, AnyRack, AnyWorker],
        (true, true) => &[Local, AnyRack, AnyWorker, ClosedWorker],
        (false, true) if lasts => &[Local, AnyRack, ClosedWorker],
        (false, _) if may_leave_rack(group, urgency, view) => &[Local, AnyRack],
        (false, _) => &[Local],
    }
}

/// Whether a task group may start away from its data or across racks. A task that lasts has no end that
/// this would delay, so that it waits for a moment only.
fn may_leave_rack(group: &TaskGroup<'_>, urgency: &Urgency, view: &ClusterView) -> bool {
    if group.spec.long_lived {
        return view.now.since(group.ready_at) >= RELAX_AFTER;
    }
    urgency.prefers_remote()
}

/// Whether a task group has waited too long although much of its service is idle.
fn is_starved(group: &TaskGroup<'_>, capacity: &ClusterCapacity<'_>, view: &ClusterView) -> bool {
    view.now.since(group.ready_at) > RELAX_AFTER && capacity.is_idle(group.service)
}

fn assignments(group: &TaskGroup, placement: &Placement, view: &ClusterView) -> Vec<Assignment> {
    let assign =
        |(task, incarnation): (&group::PendingTask, &crate::id::WorkerIncarnation)| Assignment {
            run: RunId { task: group.step.task(task.index), run: group.run(task) },
            incarnation: incarnation.clone(),
            checkpoint: task.checkpoint.clone(),
            permit: view.permits.get(group.step, incarnation, view.now).cloned(),
        };
    group.tasks.iter().zip(placement).map(assign).collect()
}
