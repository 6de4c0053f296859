//! Permits of the external advice service, which names the workers that may run a step.
//!
//! Covers many waiting steps at once while each question takes the service some time for every
//! worker in it. A question names the workers with the most free capacity. Each step has at most
//! one open question at a time, and its question is repeated before the permits expire.

use {
    crate::{
        id::{StepId, WorkerIncarnation},
        ledger::Ledger,
        message::Question,
        plan::{
            ClusterView, TaskGroup, group::task_groups, precedence::precedence_of, urgency::Urgency,
        },
        spec::Resources,
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{sync::Arc, time::Duration},
};

/// Time until a start order reaches its worker; a permit that expires sooner is not used.
const ORDER_DELAY: Duration = Duration::from_millis(400);
/// Most workers in a question; the allowed duration of a job includes one question of this size.
const QUESTION_WORKERS_MAX: usize = 30;
/// Time after which a question without an answer is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a question is repeated for a step that still waits.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A permit for the tasks of a step on one worker incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Permit {
    value: Arc<str>,
    /// When it expires.
    until: Time,
}

/// Permits and open questions. This state is not replicated: each new leader starts without it.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    permits: HashMap<(StepId, WorkerIncarnation), Permit>,
    asked: HashMap<StepId, AskedQuestion>,
}

#[derive(Clone, Copy, Debug)]
struct AskedQuestion {
    at: Time,
    answered: bool,
}

impl Permits {
    /// Records permits for a step, which expire at `until`.
    pub fn record(
        &mut self,
        step: StepId,
        until: Time,
        permits: impl IntoIterator<Item = (WorkerIncarnation, Arc<str>)>,
    ) {
        if let Some(asked) = self.asked.get_mut(&step) {
            asked.answered = true;
        }
        for (incarnation, value) in permits {
            self.permits.insert((step, incarnation), Permit { value, until });
        }
    }

    /// Removes a permit that the worker has refused.
    pub fn revoke(&mut self, step: StepId, incarnation: &WorkerIncarnation) {
        self.permits.remove(&(step, incarnation.clone()));
    }

    /// Returns the permit for a step on a worker if it stays valid for the time that an order
    /// takes.
    pub fn get(
        &self,
        step: StepId,
        incarnation: &WorkerIncarnation,
        now: Time,
    ) -> Option<&Arc<str>> {
        let permit = self.permits.get(&(step, incarnation.clone()))?;
        (now + ORDER_DELAY < permit.until).then_some(&permit.value)
    }

    /// Returns the most urgent question and records it as asked.
    pub fn next_question(&mut self, ledger: &Ledger, view: &ClusterView) -> Option<Question> {
        let now = view.now;
        self.permits.retain(|_, permit| now < permit.until);
        self.asked.retain(|step, _| ledger.job(step.job).is_some_and(|j| j.phase.is_active()));
        let precedence = precedence_of(ledger);
        // The groups of a step have the same rank, and one question is for all of them.
        let groups = task_groups(ledger, view).into_iter().map(|like| like.first);
        let due_groups = groups.filter(|g| g.needs_permit && self.is_due(g, now));
        let group =
            due_groups.min_by_key(|g| precedence.rank(g, &Urgency::of(ledger, g, view), false))?;
        let workers = candidates(ledger, view, &group);
        if workers.is_empty() {
            return None;
        }
        self.asked.insert(group.step, AskedQuestion { at: now, answered: false });
        Some(Question { step: group.step, workers })
    }

    fn is_due(&self, group: &TaskGroup<'_>, now: Time) -> bool {
        let Some(asked) = self.asked.get(&group.step) else { return true };
        let interval = if asked.answered { REPEAT_INTERVAL } else { ANSWER_TIMEOUT };
        now.since(asked.at) >= interval
    }
}

/// Returns the workers to ask about: of those that could run a task, first the ones in the rack of
/// the data, then the ones with the most free capacity.
fn candidates(ledger: &Ledger, view: &ClusterView, group: &TaskGroup<'_>) -> Vec<Arc<str>> {
    let service = ledger.service(group.job);
    let need = group.spec.allocation();
    let label = group.spec.label.as_ref();
    let mut found: Vec<_> = ledger
        .workers()
        .filter(|w| !w.spec.leaving && view.schedulable.contains(&w.spec.incarnation.worker))
        .filter(|w| !ledger.is_worker_drained(w))
        .filter(|w| w.spec.service == *service && w.spec.capacity.fits(&need))
        .filter(|w| label.is_none_or(|l| w.spec.labels.contains(l)))
        .collect();
    let near = |rack: &str| group.spec.rack.as_deref().is_none_or(|r| r == rack);
    let by_free = |free: &Resources| std::cmp::Reverse((free.fits(&need), free.gpu, free.cpu));
    found.sort_by_cached_key(|w| (!near(w.spec.rack()), by_free(&w.free())));
    let named: HashSet<_> =
        found.iter().take(QUESTION_WORKERS_MAX).map(|w| &w.spec.incarnation.worker).collect();
    let mut named: Vec<Arc<str>> = named.into_iter().cloned().collect();
    named.sort_unstable();
    named
}
