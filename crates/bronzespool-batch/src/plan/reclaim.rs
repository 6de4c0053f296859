//! Which runs make room for a job inside its team's guarantee.
//!
//! Load it answers: a burst of first-priority jobs while others use the guaranteed accelerators.
//! Each task goes where its room costs the least work: a run that has saved its progress costs
//! little, and a member of a gang costs the whole gang.

use {
    crate::{
        id::{RunId, StepId, WorkerIncarnation},
        plan::{
            ClusterView, Precedence, TaskGroup, disruption,
            place::{Placement, Reach, fits_empty, tightness},
            room::{Room, Slot, is_trusted},
        },
        spec::Resources,
    },
    bronzespool_core::{HashMap, HashSet},
    std::{collections::BTreeSet, time::Duration},
};

/// Lost work that a run costs at least, in thousandths of a core for a millisecond: ending and
/// starting again take time even where progress is saved.
const RESTART: u64 = 300;

/// Time left to a run that is not worth stopping: a stop takes about as long.
const SOON: Duration = Duration::from_millis(700);

/// How room is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Means {
    /// Runs are stopped, those first whose end loses the least work.
    Stop,
    /// Runs come to their end, those first that have the least left to do.
    Wait,
}

/// A run that makes room.
struct Lent {
    run: RunId,
    taken: Resources,
    /// Lost work if it is stopped, its gang's included; milliseconds left if it is waited for.
    loss: u64,
    /// The step, if its tasks are a gang.
    gang: Option<StepId>,
    /// Whether it ends so soon that it need not be stopped.
    soon: bool,
    /// How many tasks of its step may still be stopped, if that is bounded.
    spare: Option<u32>,
}

/// Room as it is given out to the tasks of one unit.
struct Draft<'a, 'b> {
    unit: &'a TaskGroup<'a>,
    room: &'a Room<'b>,
    /// Runs that may be stopped, by slot.
    lent: Vec<Vec<Lent>>,
    have: Vec<Resources>,
    counts: Vec<u32>,
    victims: Vec<RunId>,
    gangs: HashSet<StepId>,
    /// Tasks at work that are stopped, by step.
    missed: HashMap<StepId, u32>,
    loss: u64,
}

/// A slot for one task and the runs that must be stopped for it.
struct Offer {
    slot: usize,
    victims: Vec<usize>,
    loss: u64,
}

/// A placement, the runs that must be stopped for it, and the work that is lost by that, in
/// thousandths of a core for a millisecond.
pub(super) type Found = (Placement, Vec<RunId>, u64);

/// The placement that costs the least work, and the runs that must be stopped for it.
pub(super) fn place_over(
    unit: &TaskGroup<'_>,
    room: &Room<'_>,
    standing: &Precedence,
    scene: &ClusterView,
    (reach, means): (Reach, Means),
) -> Option<Found> {
    let draft = || Draft::new(unit, room, standing, scene, means);
    match reach {
        Reach::Near => {}
        Reach::Far => return draft().fill(is_trusted),
        Reach::Any => return draft().fill(|_| true),
    }
    if unit.shape.single_rack && unit.tasks.len() > 1 {
        let racks: BTreeSet<&str> = room.slots.iter().map(Slot::rack).collect();
        let found =
            racks.iter().filter_map(|rack| draft().fill(|s| s.rack() == *rack && is_trusted(s)));
        if let Some(best) = found.min_by_key(|(_, _, loss)| *loss) {
            return Some(best);
        }
        if racks.iter().any(|rack| fits_empty(unit, room, rack)) {
            return None;
        }
    }
    match unit.shape.rack.as_deref() {
        Some(rack) if fits_empty(unit, room, rack) => {
            draft().fill(|s| s.rack() == rack && is_trusted(s))
        }
        _ => draft().fill(is_trusted),
    }
}

impl<'a, 'b> Draft<'a, 'b> {
    fn new(
        unit: &'a TaskGroup<'a>,
        room: &'a Room<'b>,
        standing: &Precedence,
        scene: &ClusterView,
        means: Means,
    ) -> Self {
        let steps = |s: &Slot<'_>| s.steps.get(&unit.step).copied().unwrap_or(0);
        let slots = room.slots.iter();
        Self {
            unit,
            room,
            lent: match means {
                Means::Stop => slots.map(|s| stoppable(unit, s, room, standing, scene)).collect(),
                Means::Wait => slots.map(|s| ending(s, room, scene)).collect(),
            },
            have: room.slots.iter().map(|s| s.free.plus(&s.coming)).collect(),
            counts: room.slots.iter().map(steps).collect(),
            victims: Vec::new(),
            gangs: HashSet::default(),
            missed: HashMap::default(),
            loss: 0,
        }
    }

    /// Places all tasks on allowed slots, if that can be done.
    fn fill(mut self, allowed: impl Fn(&Slot<'_>) -> bool) -> Option<Found> {
        let mut placement: Vec<WorkerIncarnation> = Vec::with_capacity(self.unit.tasks.len());
        for task in &self.unit.tasks {
            let offers = (0..self.room.slots.len()).filter(|i| allowed(&self.room.slots[*i]));
            let offers = offers.filter_map(|i| self.offer(i));
            let need = self.unit.shape.allocation();
            let best = offers.min_by_key(|o| {
                let slot = &self.room.slots[o.slot];
                let again = task.failed.contains(&slot.incarnation().worker);
                (again, slot.trust, o.loss, tightness(&self.have[o.slot], &need))
            })?;
            placement.push(self.room.slots[best.slot].incarnation().clone());
            self.accept(best);
        }
        Some((placement, self.victims, self.loss))
    }

    /// What it takes to place one more task on a slot.
    fn offer(&self, slot: usize) -> Option<Offer> {
        let shape = self.unit.shape;
        let full = shape.worker_max > 0 && self.counts[slot] >= shape.worker_max;
        if full || !self.room.admits(self.unit, &self.room.slots[slot]) {
            return None;
        }
        let need = shape.allocation();
        let mut have = self.have[slot];
        let mut offer = Offer { slot, victims: Vec::new(), loss: 0 };
        let mut order: Vec<usize> = (0..self.lent[slot].len()).collect();
        order.sort_by_key(|i| self.marginal(&self.lent[slot][*i]));
        for i in order {
            if have.fits(&need) {
                break;
            }
            let lent = &self.lent[slot][i];
            if self.is_over_budget(slot, &offer, lent) {
                continue;
            }
            have = have.plus(&lent.taken);
            offer.loss += self.marginal(lent);
            offer.victims.push(i);
        }
        have.fits(&need).then_some(offer)
    }

    /// Whether stopping a run beside those of an offer leaves too few of its step at work.
    fn is_over_budget(&self, slot: usize, offer: &Offer, lent: &Lent) -> bool {
        let Some(spare) = lent.spare else { return false };
        let step = lent.run.task.step;
        let beside = offer.victims.iter().map(|i| &self.lent[slot][*i]);
        let beside = beside.filter(|l| l.spare.is_some() && l.run.task.step == step).count();
        self.missed.get(&step).copied().unwrap_or(0) + beside as u32 >= spare
    }

    /// What stopping a run adds to the loss: nothing if its gang ends anyway.
    fn marginal(&self, lent: &Lent) -> u64 {
        if lent.gang.is_some_and(|g| self.gangs.contains(&g)) { 0 } else { lent.loss }
    }

    fn accept(&mut self, offer: Offer) {
        let Offer { slot, mut victims, loss } = offer;
        self.loss += loss;
        victims.sort_unstable_by_key(|i| std::cmp::Reverse(*i));
        for i in victims {
            let lent = self.lent[slot].swap_remove(i);
            self.have[slot] = self.have[slot].plus(&lent.taken);
            self.gangs.extend(lent.gang);
            if lent.spare.is_some() {
                *self.missed.entry(lent.run.task.step).or_default() += 1;
            }
            if !lent.soon {
                self.victims.push(lent.run);
            }
        }
        self.have[slot] = self.have[slot].minus(&self.unit.shape.allocation());
        self.counts[slot] += 1;
    }
}

/// Runs on a slot that may be stopped.
fn stoppable(
    unit: &TaskGroup<'_>,
    slot: &Slot<'_>,
    room: &Room<'_>,
    standing: &Precedence,
    scene: &ClusterView,
) -> Vec<Lent> {
    let runs = slot.worker.runs.iter().filter(|(run, _)| !room.leaving.contains(run));
    let lent = runs.filter_map(|(run, taken)| {
        let job = room.ledger.job(run.task.step.job)?;
        let shape = job.step_spec(run.task.step.step)?;
        if left(room, *run, scene) < SOON && !shape.long_lived {
            return Some(Lent {
                run: *run,
                taken: *taken,
                loss: 0,
                gang: None,
                soon: true,
                spare: None,
            });
        }
        if !standing.may_stop(unit, job) {
            return None;
        }
        let own = lost(room, *run, scene, shape.checkpoints).saturating_mul(taken.weight());
        let count = if shape.gang { u64::from(shape.count) } else { 1 };
        let gang = shape.gang.then_some(run.task.step);
        // Of two that cost alike, the one of the lower priority goes.
        let loss = own.saturating_mul(count) / (1 + u64::from(standing.priority(job).min(8)));
        let spare = disruption::spare(room, scene, job, *run);
        Some(Lent { run: *run, taken: *taken, loss, gang, soon: false, spare })
    });
    lent.collect()
}

/// Runs on a slot, by the time that they have left.
fn ending(slot: &Slot<'_>, room: &Room<'_>, scene: &ClusterView) -> Vec<Lent> {
    let runs = slot.worker.runs.iter().filter(|(run, _)| !room.leaving.contains(run));
    let lent = runs.filter_map(|(run, taken)| {
        let shape = room.ledger.job(run.task.step.job)?.step_spec(run.task.step.step)?;
        let loss = left(room, *run, scene).as_millis() as u64;
        let lent = Lent { run: *run, taken: *taken, loss, gang: None, soon: true, spare: None };
        (!shape.long_lived).then_some(lent)
    });
    lent.collect()
}

/// Time that a run has left, by its progress where that is known, else as declared.
fn left(room: &Room<'_>, run: RunId, scene: &ClusterView) -> Duration {
    const WHOLE: u32 = 100;
    let Some(live) = room.ledger.active_run(run) else { return Duration::ZERO };
    let age = scene.now.since(live.assigned_at);
    let done = scene.progress.get(&run).map_or(0, |p| p.percent.min(WHOLE));
    if done > 0 && live.checkpoint.is_empty() {
        return age * (WHOLE - done) / done;
    }
    let shape = room.ledger.job(run.task.step.job).and_then(|j| j.step_spec(run.task.step.step));
    let whole = Duration::from_millis(shape.map_or(0, |s| s.estimate));
    if done > 0 { whole * (WHOLE - done) / WHOLE } else { whole.saturating_sub(age).max(SOON) }
}

/// Milliseconds of work that are lost if a run is stopped.
fn lost(room: &Room<'_>, run: RunId, scene: &ClusterView, checkpoints: bool) -> u64 {
    if checkpoints {
        return RESTART;
    }
    let since = room.ledger.active_run(run).map(|l| l.assigned_at);
    since.map_or(0, |s| scene.now.since(s).as_millis() as u64) + RESTART
}
