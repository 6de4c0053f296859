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
        plan::{ClusterView, TaskGroup, group::units, outlook::Outlook, precedence::standing},
        spec::Resources,
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{sync::Arc, time::Duration},
};

/// Time that an order takes to its worker: a permit that ends sooner is not used.
const ORDER: Duration = Duration::from_millis(400);
/// Workers that a question names: the allowed duration of a job counts a question of this size.
const NAMED: usize = 30;
/// Time after which a question without an answer is asked again.
const UNANSWERED: Duration = Duration::from_secs(3);
/// Time after which a step that still waits is asked about again.
const AGAIN: Duration = Duration::from_secs(1);

/// A permit for the tasks of a step on one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Permit {
    ticket: Arc<str>,
    /// When it ends.
    until: Time,
}

/// What is known of the service's answers; it begins anew with each leader.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    held: HashMap<(StepId, WorkerIncarnation), Permit>,
    asked: HashMap<StepId, Asked>,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
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
        for (incarnation, ticket) in permits {
            self.held.insert((step, incarnation), Permit { ticket, until });
        }
    }

    /// Forgets a permit that a worker has refused.
    pub fn revoke(&mut self, step: StepId, incarnation: &WorkerIncarnation) {
        self.held.remove(&(step, incarnation.clone()));
    }

    /// The permit for a step on a worker, if it lasts long enough for an order.
    pub fn get(
        &self,
        step: StepId,
        incarnation: &WorkerIncarnation,
        now: Time,
    ) -> Option<&Arc<str>> {
        let permit = self.held.get(&(step, incarnation.clone()))?;
        (now + ORDER < permit.until).then_some(&permit.ticket)
    }

    /// The question that matters most now, which counts as asked from now on.
    pub fn next_question(&mut self, ledger: &Ledger, scene: &ClusterView) -> Option<Question> {
        let now = scene.now;
        self.held.retain(|_, permit| now < permit.until);
        self.asked.retain(|step, _| ledger.job(step.job).is_some_and(|j| j.phase.is_active()));
        let order = standing(ledger);
        let waits = units(ledger, scene).into_iter().filter(|u| u.advised && self.is_due(u, now));
        let unit = waits.min_by_key(|u| order.rank(u, &Outlook::of(ledger, u, scene)))?;
        let workers = candidates(ledger, scene, &unit);
        if workers.is_empty() {
            return None;
        }
        self.asked.insert(unit.step, Asked { at: now, answered: false });
        Some(Question { step: unit.step, workers })
    }

    fn is_due(&self, unit: &TaskGroup<'_>, now: Time) -> bool {
        let Some(asked) = self.asked.get(&unit.step) else { return true };
        let pause = if asked.answered { AGAIN } else { UNANSWERED };
        now.since(asked.at) >= pause
    }
}

/// Workers to ask about: those with the most room, among others that could take a task.
fn candidates(ledger: &Ledger, scene: &ClusterView, unit: &TaskGroup<'_>) -> Vec<Arc<str>> {
    let service = ledger.service(unit.job);
    let need = unit.shape.allocation();
    let label = unit.shape.label.as_ref();
    let mut found: Vec<_> = ledger
        .workers()
        .filter(|w| !w.spec.leaving && scene.schedulable.contains(&w.spec.incarnation.worker))
        .filter(|w| w.spec.service == *service && w.spec.capacity.fits(&need))
        .filter(|w| label.is_none_or(|l| w.spec.labels.contains(l)))
        .collect();
    let near = |rack: &str| unit.shape.rack.as_deref().is_none_or(|r| r == rack);
    let order = |free: &Resources| std::cmp::Reverse((free.fits(&need), free.gpu, free.cpu));
    found.sort_by_cached_key(|w| (!near(w.spec.rack()), order(&w.free())));
    let named: HashSet<_> = found.iter().take(NAMED).map(|w| &w.spec.incarnation.worker).collect();
    let mut named: Vec<Arc<str>> = named.into_iter().cloned().collect();
    named.sort_unstable();
    named
}
