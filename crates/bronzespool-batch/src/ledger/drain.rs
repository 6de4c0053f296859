//! Drained data centres: nothing more is started there until the drain is revoked.
//!
//! Covers an operator who takes a data centre out of use before a power cut or a repair, with commands
//! that are repeated, concurrent or delayed. Each command is based on the revision that was read for
//! it, and each command that is applied raises the revision, even if the state is as requested
//! already. A delayed command therefore never undoes one that was acknowledged after it was sent.

use {
    crate::{
        id::JobId,
        ledger::{EventOutcome, Job, Ledger, StepState, Worker},
        spec::{Resources, Step},
    },
    serde::{Deserialize, Deserializer, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// State of a data centre. One that no command has named is at revision zero and not drained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CenterState {
    /// Rises with each command that is applied.
    pub revision: u64,
    /// Whether nothing more is started there.
    pub drained: bool,
}

/// States of all data centres that a command has named.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    centers: BTreeMap<Arc<str>, CenterState>,
}

impl Drains {
    /// Returns the state of a data centre.
    pub fn state(&self, center: &str) -> CenterState {
        self.centers.get(center).copied().unwrap_or_default()
    }

    /// Whether nothing more is started in a data centre.
    pub fn is_drained(&self, center: &str) -> bool {
        self.state(center).drained
    }

    /// Returns the data centres that a command has named, with their states.
    pub fn centers(&self) -> impl Iterator<Item = (&Arc<str>, CenterState)> {
        self.centers.iter().map(|(center, state)| (center, *state))
    }

    /// Whether no data centre is drained.
    pub fn is_empty(&self) -> bool {
        !self.centers.values().any(|c| c.drained)
    }
}

/// Reads the states, which snapshots of former versions end without.
pub(super) fn read_or_default<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Drains, D::Error> {
    // Reading fails only where the bytes end: they have a checksum, and left-over bytes are refused.
    Ok(Drains::deserialize(deserializer).unwrap_or_default())
}

impl Ledger {
    /// Returns the drained data centres.
    pub const fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Whether nothing more is started on a worker because its data centre is drained.
    pub fn is_worker_drained(&self, worker: &Worker) -> bool {
        self.drains.is_drained(&worker.spec.center)
    }

    /// Whether a worker or an earlier command has named a data centre.
    pub fn knows_center(&self, center: &str) -> bool {
        self.drains.centers.contains_key(center)
            || self.workers.values().any(|w| &*w.spec.center == center)
    }

    /// Returns all data centres that workers or commands have named.
    pub fn centers(&self) -> BTreeSet<&Arc<str>> {
        let named = self.drains.centers.keys();
        named.chain(self.workers.values().map(|w| &w.spec.center)).collect()
    }

    /// Applies a command that is based on a revision of the data centre's state.
    pub(super) fn set_drained(
        &mut self,
        center: &Arc<str>,
        base: u64,
        drained: bool,
    ) -> EventOutcome {
        let current = self.drains.state(center).revision;
        if current != base {
            return EventOutcome::Stale;
        }
        let state = CenterState { revision: current + 1, drained };
        self.drains.centers.insert(Arc::clone(center), state);
        EventOutcome::Applied
    }

    /// Returns the drained data centres without which a waiting step of a job would have room; none if
    /// drains do not hold the job back.
    pub(super) fn holding_drains(&self, id: JobId) -> Option<BTreeSet<Arc<str>>> {
        let job = self.job(id).filter(|j| j.phase.is_active() && !self.drains.is_empty())?;
        self.waiting_steps(job).find_map(|(spec, count)| self.drains_holding(job, spec, count))
    }

    /// As [`Self::holding_drains`], for tasks of one step that are started together. A step for which
    /// the other workers are too small even when idle counts as held by the drain, also if the drained
    /// workers are full.
    fn drains_holding(&self, job: &Job, spec: &Step, count: u64) -> Option<BTreeSet<Arc<str>>> {
        let service = self.service(job);
        let label = spec.label.as_ref();
        let may_run = |w: &&Worker| {
            let is_labelled = label.is_none_or(|l| w.spec.labels.contains(l));
            !w.spec.leaving && w.spec.service == *service && is_labelled
        };
        let workers: Vec<&Worker> = self.workers.values().filter(may_run).collect();
        let rooms: [fn(&Worker) -> Resources; 2] = [|w| w.spec.capacity, Worker::free];
        let limit = if spec.worker_max == 0 { u64::MAX } else { u64::from(spec.worker_max) };
        let places = |w: &Worker, room: fn(&Worker) -> Resources| {
            room(w).count(&spec.allocation()).min(limit)
        };
        let is_held = rooms.iter().any(|room| {
            let open = workers.iter().filter(|w| !self.is_worker_drained(w));
            let sum = |sum: u64, w: &&Worker| sum.saturating_add(places(w, *room));
            open.fold(0, sum) < count && workers.iter().fold(0, sum) >= count
        });
        let drained = workers.iter().filter(|w| self.is_worker_drained(w));
        is_held.then(|| drained.map(|w| Arc::clone(&w.spec.center)).collect())
    }

    /// Returns the steps of a job that have tasks to start, each with the number of tasks that are
    /// started together. Of the occurrences of which nothing has started, only the first one counts.
    fn waiting_steps<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = (&'a Step, u64)> {
        let next = self.unopened_occurrences(job, job.spec.occurrences()).next();
        let occurrences = job.occurrences.keys().copied().chain(next);
        occurrences.flat_map(move |occurrence| {
            let steps = job.spec.steps.iter().enumerate();
            steps.filter_map(move |(i, spec)| {
                let step = u16::try_from(i).ok()?;
                let state = job.step(occurrence, step);
                let is_ready = job.is_ready(occurrence, step);
                let waits = is_ready && state.is_none_or(|s| has_idle(s, spec));
                waits.then(|| (spec, if spec.gang { u64::from(spec.count) } else { 1 }))
            })
        })
    }
}

/// Whether tasks of a step are neither done nor assigned to a worker. Those of a gang wait for all
/// others to end.
fn has_idle(state: &StepState, spec: &Step) -> bool {
    let idle = state.tasks.iter().any(|t| !t.done && t.active_runs.is_empty());
    idle && !(spec.gang && state.has_active_run())
}
