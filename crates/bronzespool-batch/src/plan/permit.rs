//! Permits of an outside service that names the workers which may run a step.
//!
//! Load it answers: many steps at once, where each question takes the service a while for every
//! worker named. A question names workers with room first, is asked once at a time for each step,
//! and again before its permits end.

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

/// Time that an order takes to its worker: a permit that ends sooner is not used.
const ORDER_DELAY: Duration = Duration::from_millis(400);
/// Workers that a question names: the allowed duration of a job counts a question of this size.
const QUESTION_WORKERS_MAX: usize = 30;
/// Time after which a question without an answer is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a step that still waits is asked about again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A permit for the tasks of a step on one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Permit {
    value: Arc<str>,
    /// When it ends.
    until: Time,
}

/// What is known of the service's answers; it begins anew with each leader.
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
    /// Notes permits for a step, which end at `until`.
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

    /// Forgets a permit that a worker has refused.
    pub fn revoke(&mut self, step: StepId, incarnation: &WorkerIncarnation) {
        self.permits.remove(&(step, incarnation.clone()));
    }

    /// The permit for a step on a worker, if it lasts long enough for an order.
    pub fn get(
        &self,
        step: StepId,
        incarnation: &WorkerIncarnation,
        now: Time,
    ) -> Option<&Arc<str>> {
        let permit = self.permits.get(&(step, incarnation.clone()))?;
        (now + ORDER_DELAY < permit.until).then_some(&permit.value)
    }

    /// The question that matters most now, which counts as asked from now on.
    pub fn next_question(&mut self, ledger: &Ledger, view: &ClusterView) -> Option<Question> {
        let now = view.now;
        self.permits.retain(|_, permit| now < permit.until);
        self.asked.retain(|step, _| ledger.job(step.job).is_some_and(|j| j.phase.is_active()));
        let precedence = precedence_of(ledger);
        let due_groups =
            task_groups(ledger, view).into_iter().filter(|u| u.needs_permit && self.is_due(u, now));
        let group = due_groups.min_by_key(|u| precedence.rank(u, &Urgency::of(ledger, u, view)))?;
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

/// Workers to ask about: those with the most room, among others that could take a task.
fn candidates(ledger: &Ledger, view: &ClusterView, group: &TaskGroup<'_>) -> Vec<Arc<str>> {
    let service = ledger.service(group.job);
    let need = group.spec.allocation();
    let label = group.spec.label.as_ref();
    let mut found: Vec<_> = ledger
        .workers()
        .filter(|w| !w.spec.leaving && view.schedulable.contains(&w.spec.incarnation.worker))
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
