//! Decisions: which task runs where next, and what has to make room.
//!
//! [`plan`] is a pure function of the ledger and a [`ClusterView`]. It is asked again whenever either
//! has changed; what it returns counts once it is in the log.

mod disruption;
mod group;
mod health;
mod maintenance;
mod outlook;
mod permit;
mod place;
mod precedence;
mod reclaim;
mod room;

pub use {
    group::TaskGroup,
    maintenance::{MaintenancePlanner, Takedown},
    permit::Permits,
    precedence::Precedence,
};

use {
    self::{
        group::units,
        outlook::Outlook,
        place::{Placement, Reach, place},
        precedence::standing,
        reclaim::{Means, place_over},
        room::{Claim, Room},
    },
    crate::{
        id::RunId,
        ledger::{Assignment, Event, Ledger, StopCause},
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{sync::Arc, time::Duration},
};

/// Wait after which a unit starts anywhere on a service that is mostly idle.
const STUCK: Duration = Duration::from_millis(1_200);
/// Wait after which room is held for a unit while others come to their end.
const WAIT_MIN: Duration = Duration::from_millis(500);
/// Workers for each unit for which room is held, at least one unit.
const WORKERS_A_WAIT: usize = 12;
/// Most tasks started by one plan: the rest follows once these are in the log.
const STARTS_MAX: usize = 256;

/// What a run has done so far, by its worker's latest word.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Last checkpoint, empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
}

/// What the leader knows beside the ledger.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Log time.
    pub now: Time,
    /// Time of day in milliseconds since 1970.
    pub wall: u64,
    /// Workers whose agents are in contact and that may be given tasks.
    pub schedulable: HashSet<Arc<str>>,
    /// Runs by their workers' latest word.
    pub progress: HashMap<RunId, Progress>,
    /// Workers that get nothing new, since their machines go down next.
    pub draining: HashSet<Arc<str>>,
    /// Permits of the service that names workers.
    pub permits: Permits,
}

/// The events that the policy wants next.
pub fn plan(ledger: &Ledger, scene: &ClusterView) -> Vec<Event> {
    let mut round = Round::new(ledger, scene);
    let broken = group::broken(ledger);
    if !broken.is_empty() {
        round.events.push(Event::Stopping { runs: broken, cause: StopCause::Broken });
    }
    let outlook = |u: &TaskGroup<'_>| Outlook::of(ledger, u, scene);
    let mut waiting: Vec<_> = units(ledger, scene).into_iter().map(|u| (outlook(&u), u)).collect();
    waiting.sort_by_key(|(outlook, unit)| round.standing.rank(unit, outlook));
    for (outlook, unit) in &waiting {
        if round.starts >= STARTS_MAX {
            break;
        }
        round.settle(unit, outlook);
    }
    round.events
}

/// One plan in the making.
struct Round<'a> {
    scene: &'a ClusterView,
    room: Room<'a>,
    standing: Precedence,
    events: Vec<Event>,
    /// Tasks started.
    starts: usize,
    /// Units for which room may still be held.
    holds: usize,
}

impl<'a> Round<'a> {
    fn new(ledger: &'a Ledger, scene: &'a ClusterView) -> Self {
        let room = Room::new(ledger, scene);
        let holds = room.slots.len().div_ceil(WORKERS_A_WAIT);
        let standing = standing(ledger);
        Self { scene, room, standing, events: Vec::new(), starts: 0, holds }
    }

    /// Starts a unit, makes room for it or holds room for it, the nearest way first.
    fn settle(&mut self, unit: &TaskGroup<'_>, outlook: &Outlook) {
        let reaches = reaches(unit, outlook, &self.room, self.scene);
        for (i, reach) in reaches.iter().enumerate() {
            let last = i + 1 == reaches.len();
            let settled = self.start(unit, *reach)
                || self.stop_others(unit, outlook, *reach)
                || last && self.hold(unit, outlook, *reach);
            if settled {
                return;
            }
        }
    }

    fn start(&mut self, unit: &TaskGroup<'_>, reach: Reach) -> bool {
        let Some(placement) = place(unit, &self.room, reach) else { return false };
        self.starts += placement.len();
        self.room.take(unit, &placement);
        self.events.push(Event::Started(assignments(unit, &placement, self.scene)));
        true
    }

    fn stop_others(&mut self, unit: &TaskGroup<'_>, outlook: &Outlook, reach: Reach) -> bool {
        let (room, standing, scene) = (&self.room, &self.standing, self.scene);
        let made = make_room(unit, outlook, room, standing, scene, reach);
        let Some((placement, victims)) = made else { return false };
        self.room.claim(&Claim { unit, placement: &placement, victims: &victims });
        if !victims.is_empty() {
            let cause = StopCause::Reclaimed(unit.step.job);
            self.events.push(Event::Stopping { runs: victims, cause });
        }
        true
    }

    fn hold(&mut self, unit: &TaskGroup<'_>, outlook: &Outlook, reach: Reach) -> bool {
        if self.holds == 0 {
            return false;
        }
        let (room, standing, scene) = (&self.room, &self.standing, self.scene);
        let held = wait_for_room(unit, outlook, room, standing, scene, reach);
        let Some(placement) = held else { return false };
        self.holds -= 1;
        self.room.claim(&Claim { unit, placement: &placement, victims: &[] });
        true
    }
}

/// What is tried for a unit, the best first.
fn reaches(
    unit: &TaskGroup<'_>,
    outlook: &Outlook,
    room: &Room<'_>,
    scene: &ClusterView,
) -> &'static [Reach] {
    if is_stuck(unit, room, scene) {
        &[Reach::Near, Reach::Far, Reach::Any]
    } else if outlook.is_far_better() {
        &[Reach::Near, Reach::Far]
    } else {
        &[Reach::Near]
    }
}

/// Whether a unit waits although much of its service is idle.
fn is_stuck(unit: &TaskGroup<'_>, room: &Room<'_>, scene: &ClusterView) -> bool {
    scene.now.since(unit.since) > STUCK && room.is_idle(unit.service)
}

/// Where a unit may take room from others, and from whom. Beyond its team's guarantee, it must not
/// throw away more work than it brings.
fn make_room(
    unit: &TaskGroup<'_>,
    outlook: &Outlook,
    room: &Room<'_>,
    standing: &Precedence,
    scene: &ClusterView,
    reach: Reach,
) -> Option<(Placement, Vec<RunId>)> {
    let guaranteed = standing.is_guaranteed(unit);
    let first = guaranteed || standing.priority(unit.job) == 0;
    let waits = !first && outlook.has_time();
    if waits || (!guaranteed && outlook.is_hopeless()) {
        return None;
    }
    let means = (reach, Means::Stop);
    let (placement, victims, loss) = place_over(unit, room, standing, scene, means)?;
    let count = unit.tasks.len() as u64;
    let brings = unit.shape.allocation().times(count).weight().saturating_mul(unit.shape.estimate);
    (guaranteed || loss <= brings).then_some((placement, victims))
}

/// Where a large unit waits for others to end, so that small ones do not take each piece of room as
/// it comes free.
fn wait_for_room(
    unit: &TaskGroup<'_>,
    outlook: &Outlook,
    room: &Room<'_>,
    standing: &Precedence,
    scene: &ClusterView,
    reach: Reach,
) -> Option<Placement> {
    if outlook.is_hopeless() || scene.now.since(unit.since) < WAIT_MIN {
        return None;
    }
    let means = (reach, Means::Wait);
    place_over(unit, room, standing, scene, means).map(|(placement, ..)| placement)
}

fn assignments(unit: &TaskGroup, placement: &Placement, scene: &ClusterView) -> Vec<Assignment> {
    let give = |(task, incarnation): (&group::Waiting, &crate::id::WorkerIncarnation)| Assignment {
        run: RunId { task: unit.step.task(task.index), run: unit.run(task) },
        incarnation: incarnation.clone(),
        checkpoint: task.saved.clone(),
        permit: scene.permits.get(unit.step, incarnation, scene.now).cloned(),
    };
    unit.tasks.iter().zip(placement).map(give).collect()
}
