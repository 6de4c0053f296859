//! Decisions: which task runs where next, and what has to make room.
//!
//! [`plan`] is a pure function of the ledger and a [`Scene`]. It is asked again whenever either
//! has changed; what it returns counts once it is in the log.

mod health;
mod order;
mod outlook;
mod place;
mod reclaim;
mod room;
mod unit;

pub use {order::Standing, unit::Unit};

use {
    self::{
        order::standing,
        outlook::Outlook,
        place::{Placement, Reach, place},
        reclaim::{Means, place_over},
        room::{Claim, Room},
        unit::units,
    },
    crate::{
        id::RunId,
        ledger::{Assignment, Cause, Event, Ledger},
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
    pub saved: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
}

/// What the leader knows beside the ledger.
#[derive(Clone, Debug, Default)]
pub struct Scene {
    /// Log time.
    pub now: Time,
    /// Time of day in milliseconds since 1970.
    pub wall: u64,
    /// Workers whose agents are in contact and that may be given tasks.
    pub usable: HashSet<Arc<str>>,
    /// Runs by their workers' latest word.
    pub progress: HashMap<RunId, Progress>,
}

/// The events that the policy wants next.
pub fn plan(ledger: &Ledger, scene: &Scene) -> Vec<Event> {
    let mut events = Vec::new();
    let broken = unit::broken(ledger);
    if !broken.is_empty() {
        events.push(Event::Stopping { runs: broken, cause: Cause::Broken });
    }
    let mut room = Room::new(ledger, scene);
    let waiting = units(ledger, scene);
    let standing = standing(ledger);
    let outlook = |u: &Unit<'_>| Outlook::of(ledger, u, scene);
    let mut waiting: Vec<_> = waiting.into_iter().map(|u| (outlook(&u), u)).collect();
    waiting.sort_by_key(|(outlook, unit)| standing.rank(unit, outlook));
    let mut starts = 0;
    let mut waits = 0;
    let waits_max = room.slots.len().div_ceil(WORKERS_A_WAIT);
    for (outlook, unit) in &waiting {
        if starts >= STARTS_MAX {
            break;
        }
        let reaches = reaches(unit, outlook, &room, scene);
        for reach in reaches {
            if let Some(placement) = place(unit, &room, *reach) {
                starts += placement.len();
                room.take(unit, &placement);
                events.push(Event::Started(assignments(unit, &placement)));
                break;
            }
            let made = make_room(unit, outlook, &room, &standing, scene, *reach);
            let made = made.or_else(|| {
                if Some(reach) != reaches.last() {
                    return None;
                }
                let held = wait_for_room(unit, outlook, &room, &standing, scene, *reach)?;
                waits += 1;
                (waits <= waits_max).then_some((held, Vec::new()))
            });
            if let Some((placement, victims)) = made {
                room.claim(&Claim { unit, placement: &placement, victims: &victims });
                if !victims.is_empty() {
                    let cause = Cause::Reclaimed(unit.step.job);
                    events.push(Event::Stopping { runs: victims, cause });
                }
                break;
            }
        }
    }
    events
}

/// What is tried for a unit, the best first.
fn reaches(unit: &Unit<'_>, outlook: &Outlook, room: &Room<'_>, scene: &Scene) -> &'static [Reach] {
    if is_stuck(unit, room, scene) {
        &[Reach::Near, Reach::Far, Reach::Any]
    } else if outlook.is_far_better() {
        &[Reach::Near, Reach::Far]
    } else {
        &[Reach::Near]
    }
}

/// Whether a unit waits although much of its service is idle.
fn is_stuck(unit: &Unit<'_>, room: &Room<'_>, scene: &Scene) -> bool {
    scene.now.since(unit.since) > STUCK && room.is_idle(room.ledger.service(unit.job))
}

/// Where a unit may take room from others, and from whom. Beyond its team's guarantee, it must not
/// throw away more work than it brings.
fn make_room(
    unit: &Unit<'_>,
    outlook: &Outlook,
    room: &Room<'_>,
    standing: &Standing,
    scene: &Scene,
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
    let brings = unit.shape.taken().times(count).weight() * unit.shape.estimate;
    (guaranteed || loss <= brings).then_some((placement, victims))
}

/// Where a large unit waits for others to end, so that small ones do not take each piece of room as
/// it comes free.
fn wait_for_room(
    unit: &Unit<'_>,
    outlook: &Outlook,
    room: &Room<'_>,
    standing: &Standing,
    scene: &Scene,
    reach: Reach,
) -> Option<Placement> {
    if outlook.is_hopeless() || scene.now.since(unit.since) < WAIT_MIN {
        return None;
    }
    let means = (reach, Means::Wait);
    place_over(unit, room, standing, scene, means).map(|(placement, ..)| placement)
}

fn assignments(unit: &Unit, placement: &Placement) -> Vec<Assignment> {
    let give = |(task, life): (&unit::Waiting, &crate::id::Life)| Assignment {
        run: RunId { task: unit.step.task(task.index), run: unit.run(task) },
        life: life.clone(),
        saved: task.saved.clone(),
        ticket: None,
    };
    unit.tasks.iter().zip(placement).map(give).collect()
}
