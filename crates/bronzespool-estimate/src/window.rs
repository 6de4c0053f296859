//! Bounded windows of samples by worker, step and kind.

use {
    crate::{
        estimates::{Speed, kind_checksum},
        fit::{HUBER, NOISE_PRIOR},
        kind::{KindFit, KindModel, Point, huber},
        sample::{Kind, Sample, StepKey},
    },
    bronzespool_core::{Center, HashMap, Instance, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Most samples that are held for a worker.
pub const WORKER_SAMPLES_MAX: usize = 16;
/// Most steps that are held for a kind in addition to those with runs in the windows of workers,
/// which are at most [`WORKER_SAMPLES_MAX`] for each worker.
pub const KIND_STEPS_MAX: usize = 64;
/// Most kinds that are held.
pub const KINDS_MAX: usize = 512;
/// Most workers that are held.
pub const WORKERS_MAX: usize = 4_096;

/// Weight of a sample that was extrapolated from progress: the noise of a percentage and of a short
/// age adds about as much variance again as tasks of one step have, and a rate may change.
const PROGRESS_WEIGHT: f64 = 0.5;
/// Largest weight, in complete runs, of runs of a step that have left the windows.
const PAST_WEIGHT_MAX: f64 = 16.0;
/// Smallest growth of the extrapolated duration of a run that was slowed, as a logarithm: 20 %.
const SLOWED_MIN: f64 = 0.18;
/// Number of runs up to which those of a worker are counted. Evidence about kinds is older than
/// the windows of workers, but fades too.
const RUNS_SEEN_MAX: u32 = 64;
/// Fewest runs of a step from whose mean single runs are measured.
const RESIDUAL_RUNS_MIN: u32 = 3;
/// Shortest duration that is taken as a logarithm, in seconds.
const DURATION_MIN_SECS: f64 = 0.001;

/// One run in the window of its worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) step: StepKey,
    pub(crate) number: u64,
    pub(crate) kind: u32,
    /// Logarithm of the declared seconds, if a duration was declared.
    pub(crate) declared: Option<f64>,
    /// Logarithm of the observed seconds.
    pub(crate) observed: f64,
    /// Logarithm of the seconds that were expected at the first sample of the run.
    pub(crate) expected: f64,
    pub(crate) complete: bool,
    /// Logarithm of the observed seconds in the first sample of the run.
    first: f64,
    /// Number of the sample that places the run in time: its first one while it is in progress,
    /// its last one when it is complete.
    pub(crate) order: u64,
    /// Number of the latest sample.
    pub(crate) latest: u64,
    at: Time,
}

impl Run {
    /// Weight in units of a complete sample.
    pub(crate) const fn weight(&self) -> f64 {
        if self.complete { 1.0 } else { PROGRESS_WEIGHT }
    }

    /// Whether the run may be a long task rather than one on a slow worker: its rate has been low
    /// from the start. Long tasks are in progress for longer, so that they are frequent among the
    /// runs in progress.
    pub(crate) fn may_be_long(&self) -> bool {
        !self.complete && self.observed - self.first < SLOWED_MIN
    }
}

/// Speed of a worker from a summary.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prior {
    /// Logarithm of the speed.
    pub(crate) speed: f64,
    /// Weight in units of a complete sample.
    pub(crate) weight: f64,
}

impl Prior {
    /// The speed as it is reported.
    pub(crate) fn reported(self) -> Speed {
        Speed { factor: self.speed.exp(), samples: self.weight as u32 }
    }
}

/// Window of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerWindow {
    /// Runs, the latest last.
    pub(crate) runs: VecDeque<Run>,
    /// Logarithm of the speed in the latest fit, before it is shrunk for the report.
    pub(crate) speed: f64,
    /// Logarithm of the speed that the latest fit reported.
    pub(crate) reported: Option<f64>,
    /// Speed from a summary, until it is outweighed by runs.
    pub(crate) prior: Option<Prior>,
    /// Whether the speed has changed and few runs have been seen since.
    pub(crate) changed: bool,
    /// Number of completed runs, at most [`RUNS_SEEN_MAX`].
    pub(crate) runs_seen: u32,
    pub(crate) center: Option<Center>,
    used: u64,
}

/// A step that the model holds.
#[derive(Clone, Debug)]
pub(crate) struct StepWindow {
    pub(crate) kind: u32,
    pub(crate) declared: Option<f64>,
    /// Instances of the runs in the windows of workers, by run.
    pub(crate) runs: BTreeMap<u64, Instance>,
    /// Logarithm of the work in the latest fit of speeds; `None` before the first one.
    pub(crate) effect: Option<f64>,
    /// Logarithm of the work with the speeds that are reported, and its variance.
    pub(crate) work: Option<(f64, f64)>,
    /// Number of runs behind `work`.
    pub(crate) samples: u32,
    /// Runs that have left the windows of their workers.
    pub(crate) past: Past,
    /// Whether the step is in the list of idle steps of its kind.
    idle: bool,
}

/// Evidence of a step's work from runs that have left the windows of their workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Past {
    /// Worker of the first run that left its window. Its sums are kept apart, because its own runs are
    /// no evidence of its speed.
    pub(crate) first: Option<Instance>,
    /// Weight and weighted logarithm of the work by this worker.
    pub(crate) own: (f64, f64),
    /// The same by all other workers.
    pub(crate) others: (f64, f64),
}

impl Past {
    fn add(&mut self, instance: &Instance, weight: f64, log_work: f64) {
        let own = self.first.get_or_insert_with(|| instance.clone()) == instance;
        let sums = if own { &mut self.own } else { &mut self.others };
        if sums.0 + weight <= PAST_WEIGHT_MAX {
            sums.0 += weight;
            sums.1 += weight * log_work;
        }
    }

    /// Weight and weighted logarithm of the work by all workers.
    pub(crate) fn sum(&self) -> (f64, f64) {
        (self.own.0 + self.others.0, self.own.1 + self.others.1)
    }

    /// Adapts the work to a typical worker that is faster by `shift`, in logarithms.
    pub(crate) fn shift(&mut self, shift: f64) {
        self.own.1 -= shift * self.own.0;
        self.others.1 -= shift * self.others.0;
    }
}

impl StepWindow {
    /// The step as an observation of its kind.
    pub(crate) fn point(&self) -> Option<Point> {
        let ((log_work, variance), x) = (self.work?, self.declared?);
        Some(Point { x, log_work, variance })
    }

    /// Logarithm of a run's work divided by that of the step, if the step has enough runs.
    pub(crate) fn residual(&self, log_work: f64) -> Option<f64> {
        let (step, _) = self.work.filter(|_| self.samples >= RESIDUAL_RUNS_MIN)?;
        Some(log_work - step)
    }
}

/// Window of a kind.
#[derive(Clone, Debug)]
pub(crate) struct KindWindow {
    pub(crate) kind: Kind,
    pub(crate) model: KindModel,
    /// Steps that had no runs in the windows of workers when they were added, the oldest first.
    idle: VecDeque<StepKey>,
    used: u64,
}

/// All windows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Windows {
    pub(crate) workers: BTreeMap<Instance, WorkerWindow>,
    pub(crate) kinds: BTreeMap<u32, KindWindow>,
    pub(crate) steps: BTreeMap<StepKey, StepWindow>,
    kind_ids: HashMap<Kind, u32>,
    next_kind: u32,
    /// Number of recorded samples; orders the use of workers and kinds.
    recorded: u64,
}

impl Windows {
    /// Adds a sample whose duration was expected to be `expected`, in logarithms of seconds.
    /// Returns the run once it is complete, with the expectation at its first sample.
    pub(crate) fn record(
        &mut self,
        sample: &Sample,
        expected: f64,
        restored: (Option<Prior>, impl Fn(u32) -> Option<KindFit>),
    ) -> Option<Run> {
        let observed = log_seconds(sample.observed)?;
        self.recorded += 1;
        let (instance, earlier) = self.take(sample).unzip();
        let outdated = |run: &Run| sample.at < run.at || (run.complete && !sample.complete);
        if earlier.as_ref().is_some_and(outdated) {
            self.insert(instance?, earlier?, restored.0);
            return None;
        }
        let declared = log_seconds(sample.declared);
        let kind = self.kind_id(sample, declared, restored.1);
        let run = Run {
            step: sample.step,
            number: sample.run,
            kind: self.add_step(sample.step, kind, declared),
            declared,
            observed,
            complete: sample.complete,
            first: earlier.as_ref().map_or(observed, |run| run.first),
            order: match &earlier {
                Some(run) if !sample.complete => run.order,
                _ => self.recorded,
            },
            expected: earlier.map_or(expected, |run| run.expected),
            latest: self.recorded,
            at: sample.at,
        };
        self.insert(sample.instance.clone(), run.clone(), restored.0);
        sample.complete.then_some(run)
    }

    /// Removes the earlier sample of the same run.
    fn take(&mut self, sample: &Sample) -> Option<(Instance, Run)> {
        let step = self.steps.get_mut(&sample.step)?;
        let instance = step.runs.remove(&sample.run)?;
        let worker = self.workers.get_mut(&instance)?;
        let same = |r: &Run| r.step == sample.step && r.number == sample.run;
        let at = worker.runs.iter().position(same)?;
        Some((instance, worker.runs.remove(at)?))
    }

    fn insert(&mut self, instance: Instance, run: Run, prior: Option<Prior>) {
        if let Some(step) = self.steps.get_mut(&run.step) {
            step.runs.insert(run.number, instance.clone());
        }
        let worker = self.worker(instance.clone(), prior);
        worker.runs_seen = RUNS_SEEN_MAX.min(worker.runs_seen + u32::from(run.complete));
        worker.runs.push_back(run);
        let (speed, over) = (worker.speed, worker.runs.len() > WORKER_SAMPLES_MAX);
        let oldest = over.then(|| worker.runs.pop_front()).flatten();
        oldest.iter().for_each(|run| self.keep_past(run, &instance, speed));
    }

    /// Adds a run that leaves the window of its worker to the past evidence of its step.
    fn keep_past(&mut self, run: &Run, instance: &Instance, speed: f64) {
        let Some(step) = self.steps.get_mut(&run.step) else { return };
        if let Some(effect) = step.effect {
            let work = run.observed + speed;
            let weight = run.weight() * huber((work - effect) / NOISE_PRIOR, HUBER);
            step.past.add(instance, weight, work);
        }
        self.forget_run(run);
    }

    /// Removes a run from its step. The oldest steps without runs are evicted.
    fn forget_run(&mut self, run: &Run) {
        let Some(step) = self.steps.get_mut(&run.step) else { return };
        step.runs.remove(&run.number);
        if !step.runs.is_empty() || step.idle {
            return;
        }
        step.idle = true;
        let Some(kind) = self.kinds.get_mut(&step.kind) else { return };
        kind.idle.push_back(run.step);
        while kind.idle.len() > KIND_STEPS_MAX {
            let Some(key) = kind.idle.pop_front() else { return };
            let Some(step) = self.steps.get_mut(&key) else { continue };
            step.idle = false;
            if step.runs.is_empty() {
                step.point().iter().for_each(|point| kind.model.evict(point));
                self.steps.remove(&key);
            }
        }
    }

    /// Returns the window of a worker, which starts from `prior` if it is new.
    pub(crate) fn worker(&mut self, instance: Instance, prior: Option<Prior>) -> &mut WorkerWindow {
        if !self.workers.contains_key(&instance) && self.workers.len() >= WORKERS_MAX {
            self.evict_worker();
        }
        let speed = prior.map_or(0.0, |p| p.speed);
        let fresh = || WorkerWindow { prior, speed, ..WorkerWindow::default() };
        let worker = self.workers.entry(instance).or_insert_with(fresh);
        worker.used = self.recorded;
        worker
    }

    /// Removes a worker with its runs.
    pub(crate) fn remove_worker(&mut self, instance: &Instance) {
        if let Some(worker) = self.workers.remove(instance) {
            worker.runs.iter().for_each(|run| self.forget_run(run));
        }
    }

    /// Drops the runs of a worker whose latest sample is before that with number `first`, and its
    /// prior.
    pub(crate) fn truncate(&mut self, instance: &Instance, first: u64) {
        let Some(worker) = self.workers.get_mut(instance) else { return };
        worker.prior = None;
        worker.changed = true;
        let (kept, dropped) = worker.runs.drain(..).partition(|run| run.latest >= first);
        worker.runs = kept;
        let dropped: VecDeque<Run> = dropped;
        dropped.iter().for_each(|run| self.forget_run(run));
    }

    fn evict_worker(&mut self) {
        let oldest = self.workers.iter().min_by_key(|(_, w)| w.used).map(|(i, _)| i.clone());
        oldest.iter().for_each(|instance| self.remove_worker(instance));
    }

    fn kind_id(
        &mut self,
        sample: &Sample,
        declared: Option<f64>,
        restored: impl Fn(u32) -> Option<KindFit>,
    ) -> u32 {
        if let Some(id) = self.kind_ids.get(&sample.kind) {
            if let Some(window) = self.kinds.get_mut(id) {
                window.used = self.recorded;
            }
            return *id;
        }
        if self.kinds.len() >= KINDS_MAX {
            self.evict_kind();
        }
        let id = self.next_kind;
        self.next_kind = self.next_kind.wrapping_add(1);
        let fit = restored(kind_checksum(&sample.kind));
        let window = KindWindow {
            kind: sample.kind.clone(),
            model: KindModel::new(declared.unwrap_or(0.0), fit),
            idle: VecDeque::new(),
            used: self.recorded,
        };
        self.kinds.insert(id, window);
        self.kind_ids.insert(sample.kind.clone(), id);
        id
    }

    /// Removes the kind that was used least recently, with its steps and runs.
    fn evict_kind(&mut self) {
        let Some(id) = self.kinds.iter().min_by_key(|(_, k)| k.used).map(|(id, _)| *id) else {
            return;
        };
        let window = self.kinds.remove(&id);
        window.iter().for_each(|window| _ = self.kind_ids.remove(&window.kind));
        let workers = &mut self.workers;
        self.steps.retain(|key, step| {
            if step.kind != id {
                return true;
            }
            for instance in step.runs.values() {
                workers
                    .get_mut(instance)
                    .into_iter()
                    .for_each(|w| w.runs.retain(|r| r.step != *key));
            }
            false
        });
    }

    /// Adds a step. Returns its kind, which is that of its first sample.
    fn add_step(&mut self, key: StepKey, kind: u32, declared: Option<f64>) -> u32 {
        let step = self.steps.entry(key).or_insert_with(|| StepWindow {
            kind,
            declared,
            runs: BTreeMap::new(),
            effect: None,
            work: None,
            samples: 0,
            past: Past::default(),
            idle: false,
        });
        step.kind
    }

    /// Number of samples that are held.
    pub(crate) fn len(&self) -> usize {
        self.workers.values().map(|w| w.runs.len()).sum()
    }
}

/// Logarithm of the seconds of a duration; `None` for zero.
pub(crate) fn log_seconds(duration: Duration) -> Option<f64> {
    (!duration.is_zero()).then(|| duration.as_secs_f64().max(DURATION_MIN_SECS).ln())
}
