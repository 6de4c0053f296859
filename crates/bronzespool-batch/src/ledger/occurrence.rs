//! Occurrences of recurring jobs: those that are done, and those that may be started next.
//!
//! A job may recur thousands of millions of times, and most of these times may be past. So nothing
//! iterates over the occurrences that are due. Those that are done are kept as ranges, and the others
//! are opened a few at a time.

use {
    crate::{
        id::JobId,
        ledger::{Job, Ledger, StepState},
        spec::{JobSpec, TASKS_MAX},
    },
    serde::{Deserialize, Deserializer, Serialize},
    std::{collections::BTreeMap, iter::from_fn},
};

/// Most occurrences of a job with one step that one plan looks at for tasks to start, and most of which
/// nothing has started.
const WAITING_MAX: u32 = 16;
/// Most steps in these occurrences together, if there is more than one occurrence.
const WAITING_STEPS_MAX: u32 = 256;
/// Most tasks in the occurrences of a job of which something has started, if there is more than one.
const OPEN_TASKS_MAX: u32 = TASKS_MAX;

/// Occurrences of recurring jobs that are done and of which no worker holds a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneOccurrences {
    /// The last occurrence of each range by the first one. Ranges neither overlap nor touch.
    ranges: BTreeMap<JobId, BTreeMap<u32, u32>>,
}

impl DoneOccurrences {
    /// Whether an occurrence is one of these.
    pub fn contains(&self, job: JobId, occurrence: u32) -> bool {
        self.end_of_range(job, occurrence).is_some()
    }

    /// Returns the number of these occurrences of a job.
    pub fn count(&self, job: JobId) -> u64 {
        let ranges = self.ranges.get(&job).into_iter().flatten();
        ranges.map(|(first, last)| u64::from(last - first) + 1).sum()
    }

    /// Returns the last occurrence of the range that an occurrence is in.
    fn end_of_range(&self, job: JobId, occurrence: u32) -> Option<u32> {
        let (_, last) = self.ranges.get(&job)?.range(..=occurrence).next_back()?;
        (*last >= occurrence).then_some(*last)
    }

    fn insert(&mut self, job: JobId, occurrence: u32) {
        let ranges = self.ranges.entry(job).or_default();
        let before = ranges.range(..occurrence).next_back();
        let touching = before.filter(|(_, last)| **last + 1 == occurrence);
        let first = touching.map_or(occurrence, |(first, _)| *first);
        let after = occurrence.checked_add(1).and_then(|next| ranges.remove(&next));
        ranges.insert(first, after.unwrap_or(occurrence));
    }

    pub(super) fn forget(&mut self, job: JobId) {
        self.ranges.remove(&job);
    }
}

/// Reads the done occurrences, which snapshots of former versions end without.
pub(super) fn read_or_default<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<DoneOccurrences, D::Error> {
    // Only the end of the bytes can fail here, as with the crashes.
    Ok(DoneOccurrences::deserialize(deserializer).unwrap_or_default())
}

/// Returns the number of occurrences of a job that one plan looks at for each step.
pub(crate) fn waiting_max(spec: &JobSpec) -> usize {
    let steps = u32::try_from(spec.steps.len()).unwrap_or(u32::MAX);
    (WAITING_STEPS_MAX / steps.max(1)).clamp(1, WAITING_MAX) as usize
}

/// Returns the number of occurrences of a job that may be open at once.
fn open_max(spec: &JobSpec) -> usize {
    let tasks = spec.steps.iter().fold(0_u32, |sum, s| sum.saturating_add(s.count));
    (OPEN_TASKS_MAX / tasks.max(1)).max(1) as usize
}

impl Ledger {
    /// Returns the occurrences of recurring jobs that are done and of which no worker holds a run.
    pub const fn done_occurrences(&self) -> &DoneOccurrences {
        &self.done_occurrences
    }

    /// Returns the occurrences of a job that may have tasks to start at a time of day, in milliseconds
    /// since 1970: those that are open, and the next ones.
    pub(crate) fn startable_occurrences<'a>(
        &'a self,
        job: &'a Job,
        wall: u64,
    ) -> impl Iterator<Item = u32> + 'a {
        let room = open_max(&job.spec).saturating_sub(job.occurrences.len());
        let next = self.unopened_occurrences(job, job.spec.due_count(wall));
        let is_due = move |k: &u32| job.spec.due(*k) <= wall;
        let open = job.occurrences.keys().copied().filter(is_due);
        open.chain(next.take(room.min(waiting_max(&job.spec))))
    }

    /// Returns those of a job's first `count` occurrences of which nothing has started.
    pub(crate) fn unopened_occurrences<'a>(
        &'a self,
        job: &'a Job,
        count: u32,
    ) -> impl Iterator<Item = u32> + 'a {
        let mut next = Some(0);
        from_fn(move || {
            loop {
                let occurrence = next.filter(|k| *k < count)?;
                let done = self.done_occurrences.end_of_range(job.spec.id, occurrence);
                next = done.unwrap_or(occurrence).checked_add(1);
                if done.is_none() && !job.occurrences.contains_key(&occurrence) {
                    return Some(occurrence);
                }
            }
        })
    }

    /// Forgets the states of the tasks of an occurrence if all are done and no worker holds a run.
    /// The only occurrence of a job keeps them.
    pub(super) fn close_occurrence(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.spec.occurrences() > 1) else { return };
        let is_over = |s: &StepState| s.is_done() && !s.has_active_run();
        if job.occurrences.get(&occurrence).is_some_and(|steps| steps.iter().all(is_over)) {
            job.occurrences.remove(&occurrence);
            self.done_occurrences.insert(id, occurrence);
        }
    }

    /// Returns the number of occurrences of a job that are done.
    pub(super) fn count_done(&self, job: &Job) -> u64 {
        let is_done = |steps: &&Vec<StepState>| steps.iter().all(StepState::is_done);
        let open = job.occurrences.values().filter(is_done).count() as u64;
        self.done_occurrences.count(job.spec.id) + open
    }
}
