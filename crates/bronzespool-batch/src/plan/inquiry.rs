//! Questions to the external advice service about the workers that may run a step.
//!
//! A question takes the service some time for each worker that it names, so that it names a part of
//! them: first those with the most free capacity, and then, as long as the step waits, all others in
//! turn. What the service has said of each worker is kept, so that later questions renew the permits
//! of allowed workers before they name refused ones again. Each step has at most one open question,
//! and a step that has been due for long goes before more urgent ones.

use {
    crate::{
        config::Advice,
        id::{JobId, StepId, WorkerIncarnation},
        ledger::{Ledger, Worker},
        message::Question,
        plan::{
            ClusterView, TaskGroup,
            group::task_groups,
            permit::{ORDER_DELAY, PERMIT_MARGIN},
            precedence::precedence_of,
            urgency::Urgencies,
        },
        spec::Resources,
    },
    bronzespool_core::{HashMap, HashSet, Time},
    displaydoc::Display,
    std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration},
};

/// Most workers in the first question about a step, and in one about workers that were refused; the
/// allowed duration of a job includes one question of this size.
const FIRST_WORKERS_MAX: usize = 30;
/// Most workers that the service takes in a question.
const WORKERS_MAX: usize = 100;
/// Shortest time after which a question counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that is added to half as much again as the queue states that its service takes, if that is
/// longer than [`ANSWER_TIMEOUT`].
const ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// Most doublings of the time for an answer, after questions without one: a service may be slower than
/// its queue states.
const TIMEOUT_DOUBLINGS_MAX: u32 = 2;
/// Longest time that the service has for an answer. A process asks one question at a time, so that no
/// other step has its turn there meanwhile.
const ANSWER_WAIT_MAX: Duration = Duration::from_secs(600);
/// Time after a question without an answer within which the answer may still come, so that it can be
/// taken for that of a later question.
const LATE_ANSWER_MAX: Duration = Duration::from_secs(10);
/// Time that the workers of a question may take the service, with its decision. A question about more
/// workers is divided, unless the decision takes longer than they do.
const QUESTION_TIME_MAX: Duration = Duration::from_secs(2);
/// Time within which no worker is named twice for a step.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a step is started once there is a permit for it.
const START_TIME: Duration = Duration::from_millis(250);
/// Time after which a step that is due goes before more urgent ones.
const OVERDUE: Duration = Duration::from_secs(2);
/// Time after which a step that was refused everywhere goes before others as well.
const REFUSED_WAIT_MAX: Duration = Duration::from_secs(30);
/// Time for which the answers about a step are kept once it waits no more.
const RETENTION: Duration = Duration::from_secs(30);
/// Most steps for which one call looks for workers to ask about.
const SEARCHES_MAX: usize = 16;

/// What the service has said of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// There was no answer, or it is not known to be of the question that named the worker.
    Unknown,
    /// It may run the step.
    Allowed,
    /// It may not.
    Refused,
}

/// The latest question that has named a worker.
#[derive(Clone, Copy, Debug)]
struct Answer {
    asked_at: Time,
    verdict: Verdict,
}

/// A question without an answer so far.
#[derive(Debug)]
struct OpenQuestion {
    asked_at: Time,
    /// Time that the service has for the answer.
    wait: Duration,
    /// Control instance whose process asks the service, once it is known.
    asker: Option<SocketAddr>,
    workers: Vec<WorkerIncarnation>,
    /// Whether all other workers that could run the step have been named before.
    is_last: bool,
}

/// The questions about one step.
#[derive(Debug)]
struct Inquiry {
    /// Since when the next question may be asked.
    due_at: Time,
    /// When the step was last seen to wait.
    waits_at: Time,
    /// When a question was last found to be unanswered.
    unanswered_at: Option<Time>,
    /// Number of questions without an answer since the last answer.
    unanswered: u32,
    open: Option<OpenQuestion>,
    answers: HashMap<WorkerIncarnation, Answer>,
    /// Whether no worker that could run the step is allowed.
    is_refused: bool,
}

impl Inquiry {
    fn new(now: Time) -> Self {
        Self {
            due_at: now,
            waits_at: now,
            unanswered_at: None,
            unanswered: 0,
            open: None,
            answers: HashMap::default(),
            is_refused: false,
        }
    }

    /// Notes that the step waits, and gives up a question that has been open for too long.
    fn update(&mut self, now: Time) {
        self.waits_at = now;
        if self.give_up(now, |q| now.since(q.asked_at) >= q.wait) {
            self.due_at = now;
        }
    }

    /// Gives up the open question if `is_lost`. Returns whether it is given up; the next one is asked
    /// after a pause.
    fn give_up(&mut self, now: Time, is_lost: impl FnOnce(&OpenQuestion) -> bool) -> bool {
        let is_given_up = self.open.take_if(|q| is_lost(q)).is_some();
        if is_given_up {
            self.unanswered_at = Some(now);
            self.unanswered = self.unanswered.saturating_add(1);
            self.due_at = now + REPEAT_INTERVAL;
        }
        is_given_up
    }

    fn is_due(&self, now: Time) -> bool {
        self.open.is_none() && self.due_at <= now
    }

    /// Records a question as asked. Returns the time that the service has for the answer.
    fn ask(&mut self, now: Time, ledger: &Ledger, chosen: &Chosen<'_>) -> Duration {
        // The first repetition may be due to a lost message.
        let doublings = self.unanswered.saturating_sub(1).min(TIMEOUT_DOUBLINGS_MAX);
        let wait = chosen.wait.saturating_mul(1 << doublings).min(ANSWER_WAIT_MAX);
        self.answers.retain(|worker, _| ledger.worker(worker).is_some());
        let incarnation = |w: &&Worker| w.spec.incarnation.clone();
        let workers: Vec<_> = chosen.workers.iter().map(incarnation).collect();
        for worker in &workers {
            let answer = Answer { asked_at: now, verdict: Verdict::Unknown };
            self.answers.insert(worker.clone(), answer);
        }
        let is_last = chosen.is_last;
        self.open = Some(OpenQuestion { asked_at: now, wait, asker: None, workers, is_last });
        wait
    }

    /// Records an answer that the process `asker` has got. One to a question that another process asks
    /// now tells only whom it allows. Returns the number of workers that could run the step once it is
    /// known that none of them is allowed.
    fn answer(
        &mut self,
        now: Time,
        asker: Option<SocketAddr>,
        allowed: &HashSet<WorkerIncarnation>,
    ) -> Option<usize> {
        self.due_at = if allowed.is_empty() { now } else { now + START_TIME };
        self.unanswered = 0;
        for worker in allowed {
            let answer = Answer { asked_at: now, verdict: Verdict::Allowed };
            self.answers.insert(worker.clone(), answer);
        }
        let question = self.open.take_if(|q| q.asker == asker)?;
        let late_max = question.wait.max(LATE_ANSWER_MAX);
        if self.unanswered_at.is_some_and(|at| now.since(at) < late_max) {
            return None;
        }
        for worker in question.workers.iter().filter(|w| !allowed.contains(*w)) {
            let answer = Answer { asked_at: question.asked_at, verdict: Verdict::Refused };
            self.answers.insert(worker.clone(), answer);
        }
        let is_refused = question.is_last
            && self.answers.values().all(|answer| answer.verdict == Verdict::Refused);
        let was_refused = std::mem::replace(&mut self.is_refused, is_refused);
        (is_refused && !was_refused).then_some(self.answers.len())
    }
}

/// All inquiries. This state is not replicated: each new leader starts without it.
#[derive(Debug, Default)]
pub struct Inquiries {
    steps: HashMap<StepId, Inquiry>,
}

/// Workers that a question names.
struct Chosen<'a> {
    workers: Vec<&'a Worker>,
    is_last: bool,
    /// Time that the service has for the answer, by what its queue states.
    wait: Duration,
}

impl Inquiries {
    /// Returns the next question, and records it as asked.
    pub fn next_question(&mut self, ledger: &Ledger, view: &ClusterView) -> Option<Question> {
        let now = view.now;
        let due = self.due_groups(ledger, view);
        for group in due.into_iter().take(SEARCHES_MAX) {
            let inquiry = self.steps.get_mut(&group.step)?;
            let Some(chosen) = choose(inquiry, ledger, view, &group) else {
                inquiry.due_at = now + REPEAT_INTERVAL;
                continue;
            };
            let wait = inquiry.ask(now, ledger, &chosen);
            let name = |w: &&Worker| Arc::clone(&w.spec.incarnation.worker);
            let mut workers: Vec<Arc<str>> = chosen.workers.iter().map(name).collect();
            workers.sort_unstable();
            return Some(Question::new(group.step, workers, wait));
        }
        None
    }

    /// Records which control instance's process asks the service about a step.
    pub fn record_asker(&mut self, step: StepId, asker: SocketAddr) {
        let question = self.steps.get_mut(&step).and_then(|inquiry| inquiry.open.as_mut());
        if let Some(question) = question {
            question.asker = Some(asker);
        }
    }

    /// Gives up the question that a process was asking: it requests another one, so that it has no
    /// answer, or never got the question.
    pub fn give_up(&mut self, now: Time, asker: SocketAddr) {
        for inquiry in self.steps.values_mut() {
            inquiry.give_up(now, |q| q.asker == Some(asker));
        }
    }

    /// Records the workers that an answer allows which the process `asker` has got, if it is known.
    /// Returns how many workers could run the step if it is now known that none of them may.
    pub fn record(
        &mut self,
        now: Time,
        step: StepId,
        asker: Option<SocketAddr>,
        allowed: &HashSet<WorkerIncarnation>,
    ) -> Option<usize> {
        self.steps.get_mut(&step)?.answer(now, asker, allowed)
    }

    /// Returns the steps about which a question may be asked, each with its first group: those that
    /// have been due for long by the time, then the others by precedence. Steps that were refused
    /// everywhere come last.
    fn due_groups<'a>(&mut self, ledger: &'a Ledger, view: &ClusterView) -> Vec<TaskGroup<'a>> {
        let now = view.now;
        let precedence = precedence_of(ledger);
        let mut due = Vec::new();
        let mut seen = HashSet::default();
        let mut urgencies = Urgencies::new(ledger, view);
        for group in task_groups(ledger, view).into_iter().map(|like| like.first) {
            if !group.needs_permit || !seen.insert(group.step) {
                continue;
            }
            let inquiry = self.steps.entry(group.step).or_insert_with(|| Inquiry::new(now));
            inquiry.update(now);
            if inquiry.is_due(now) {
                let waited = now.since(inquiry.due_at);
                let is_refused = inquiry.is_refused && waited < REFUSED_WAIT_MAX;
                let since = (waited >= OVERDUE).then_some(inquiry.due_at);
                let rank = precedence.rank(&group, &urgencies.of(&group), false);
                due.push(((is_refused, since.is_none(), since, rank), group));
            }
        }
        self.steps.retain(|_, inquiry| now.since(inquiry.waits_at) < RETENTION);
        due.sort_by_key(|(key, _)| *key);
        due.into_iter().map(|(_, group)| group).collect()
    }
}

/// Returns the workers to name in the next question about a step; none if all that is to be asked has
/// been asked lately.
fn choose<'a>(
    inquiry: &Inquiry,
    ledger: &'a Ledger,
    view: &ClusterView,
    group: &TaskGroup<'_>,
) -> Option<Chosen<'a>> {
    let advice = advice_of(ledger, group)?;
    let most = |limit| question_size(&advice, limit);
    let candidates = candidates(ledger, view, group);
    let need = group.spec.allocation();
    let mut new: Vec<&Worker> = Vec::new();
    let mut repeats = Repeats::default();
    let mut permitted = 0;
    for worker in candidates {
        let incarnation = &worker.spec.incarnation;
        let Some(answer) = inquiry.answers.get(incarnation) else {
            new.push(worker);
            continue;
        };
        let renewed_at = view.now + answer_time(&advice, FIRST_WORKERS_MAX);
        if view.permits.get(group.step, incarnation, renewed_at).is_some() {
            permitted += 1;
        } else if view.now.since(answer.asked_at) >= REPEAT_INTERVAL {
            repeats.of(answer.verdict).push((answer.asked_at, worker));
        }
    }
    if permitted >= WORKERS_MAX {
        repeats.expiring.retain(|(_, worker)| worker.free().fits(&need));
    }
    if !new.is_empty() {
        let limit = if inquiry.answers.is_empty() { FIRST_WORKERS_MAX } else { WORKERS_MAX };
        let is_last = new.len() <= most(limit);
        sort_by_room(&mut new, group);
        new.truncate(most(limit));
        let wait = answer_wait(&advice, new.len());
        return Some(Chosen { workers: new, is_last, wait });
    }
    let workers = repeats.choose(group, most)?;
    let wait = answer_wait(&advice, workers.len());
    Some(Chosen { workers, is_last: true, wait })
}

/// Workers that were named before, each with the time of the question.
#[derive(Default)]
struct Repeats<'a> {
    unknown: Vec<(Time, &'a Worker)>,
    /// Those that are allowed, but whose permits expire.
    expiring: Vec<(Time, &'a Worker)>,
    refused: Vec<(Time, &'a Worker)>,
}

impl<'a> Repeats<'a> {
    const fn of(&mut self, verdict: Verdict) -> &mut Vec<(Time, &'a Worker)> {
        match verdict {
            Verdict::Unknown => &mut self.unknown,
            Verdict::Allowed => &mut self.expiring,
            Verdict::Refused => &mut self.refused,
        }
    }

    /// Returns the workers of one kind: a worker about which the service does not answer does not hold
    /// up the others. Those that were refused are named if there are no others.
    fn choose(
        self,
        group: &TaskGroup<'_>,
        most: impl Fn(usize) -> usize,
    ) -> Option<Vec<&'a Worker>> {
        let Self { mut unknown, mut expiring, mut refused } = self;
        let need = group.spec.allocation();
        let oldest = |workers: &[(Time, &Worker)]| workers.iter().map(|(at, _)| *at).min();
        let (mut chosen, limit) = match (oldest(&unknown), oldest(&expiring)) {
            (None, None) => {
                refused.sort_by_key(|(at, _)| *at);
                (refused, FIRST_WORKERS_MAX)
            }
            (Some(at), other) if other.is_none_or(|o| at <= o) => {
                unknown.sort_by_key(|(at, _)| *at);
                (unknown, WORKERS_MAX)
            }
            _ => {
                expiring.sort_by_key(|(at, w)| (!w.free().fits(&need), *at));
                (expiring, WORKERS_MAX)
            }
        };
        chosen.truncate(most(limit));
        let workers: Vec<&Worker> = chosen.into_iter().map(|(_, worker)| worker).collect();
        (!workers.is_empty()).then_some(workers)
    }
}

fn advice_of(ledger: &Ledger, group: &TaskGroup<'_>) -> Option<Advice> {
    ledger.config()?.queue(&group.job.spec.queue)?.advice
}

/// Returns the workers that could run a task.
fn candidates<'a>(
    ledger: &'a Ledger,
    view: &ClusterView,
    group: &TaskGroup<'_>,
) -> impl Iterator<Item = &'a Worker> {
    let service = Arc::clone(group.service);
    let need = group.spec.allocation();
    let label = group.spec.label.clone();
    let is_open = |w: &&Worker| {
        let worker = &w.spec.incarnation.worker;
        let is_draining = view.draining.contains(worker) || ledger.is_worker_drained(w);
        !w.spec.leaving && view.schedulable.contains(worker) && !is_draining
    };
    let matches = move |w: &&Worker| {
        let is_labelled = label.as_ref().is_none_or(|l| w.spec.labels.contains(l));
        w.spec.service == service && w.spec.capacity.fits(&need) && is_labelled
    };
    ledger.workers().filter(matches).filter(is_open).collect::<Vec<_>>().into_iter()
}

/// Sorts workers: first the ones in the rack of the data, then the ones with the most free capacity.
fn sort_by_room(workers: &mut [&Worker], group: &TaskGroup<'_>) {
    let need = group.spec.allocation();
    let near = |rack: &str| group.spec.rack.as_deref().is_none_or(|r| r == rack);
    let by_free = |free: &Resources| Reverse((free.fits(&need), free.gpu, free.cpu));
    workers.sort_by_cached_key(|w| (!near(w.spec.rack()), by_free(&w.free())));
}

/// Time that a question takes the service.
fn answer_time(advice: &Advice, workers: usize) -> Duration {
    let of_workers = advice.per_worker.saturating_mul(workers as u64);
    Duration::from_millis(advice.call.saturating_add(of_workers))
}

/// Time that the service has for the answer to a question.
fn answer_wait(advice: &Advice, workers: usize) -> Duration {
    let stated = answer_time(advice, workers);
    let wait = stated.saturating_add(stated / 2).saturating_add(ANSWER_MARGIN);
    wait.clamp(ANSWER_TIMEOUT, ANSWER_WAIT_MAX)
}

/// Time for which permits are valid, as far as the configuration says.
const fn validity(advice: &Advice) -> Duration {
    match advice.validity {
        0 => Duration::MAX,
        millis => Duration::from_millis(millis),
    }
}

/// Returns how many workers a question may name, at least one: the answer has to come long before its
/// permits expire. Where the decision takes longer than its permits last, they count from the answer on.
fn question_size(advice: &Advice, limit: usize) -> usize {
    let decision = Duration::from_millis(advice.call);
    let of_workers = QUESTION_TIME_MAX.saturating_sub(decision).max(decision);
    let left = validity(advice).saturating_sub(decision) / 2;
    let of_workers = if left.is_zero() { of_workers } else { of_workers.min(left) };
    let millis = u64::try_from(of_workers.as_millis()).unwrap_or(u64::MAX);
    let in_time = millis.checked_div(advice.per_worker);
    in_time.map_or(limit, |n| limit.min(usize::try_from(n).unwrap_or(limit))).max(1)
}

/// How far the advice service has been asked about a step that waits.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PermitWait {
    /// the advice service has not been asked about step {0} yet
    Unasked(StepId),
    /// the advice service has been asked about {asked} of {all} workers that could run step {step}, and allows {allowed}
    Asked {
        /// The step.
        step: StepId,
        /// Workers that it was asked about.
        asked: usize,
        /// Workers that it allows.
        allowed: usize,
        /// Workers that could run the step.
        all: usize,
    },
    /// the advice service allows none of the {1} workers that could run step {0}
    Refused(StepId, usize),
    /// the advice service is being asked about step {0}, and has {1} ms left to answer
    Open(StepId, u64),
    /// the advice service needs {1} ms for one worker, which is too long to start step {0}
    TooSlow(StepId, u64),
    /// permits of the advice service are valid for {1} ms, which is too short to start step {0}
    TooShort(StepId, u64),
}

impl Inquiries {
    /// Returns how far the service has been asked about the first step of a job that waits for a
    /// permit; none if no step does.
    pub fn explain(&self, ledger: &Ledger, view: &ClusterView, id: JobId) -> Option<PermitWait> {
        let mut groups = task_groups(ledger, view).into_iter().map(|like| like.first);
        let group = groups.find(|g| g.step.job == id && g.needs_permit)?;
        let step = group.step;
        let advice = advice_of(ledger, &group)?;
        if validity(&advice) <= ORDER_DELAY + PERMIT_MARGIN {
            return Some(PermitWait::TooShort(step, advice.validity));
        }
        let shortest = answer_time(&advice, 1);
        if shortest >= ANSWER_WAIT_MAX {
            return Some(PermitWait::TooSlow(step, shortest.as_millis() as u64));
        }
        let all: Vec<&Worker> = candidates(ledger, view, &group).collect();
        let Some(inquiry) = self.steps.get(&step).filter(|i| !i.answers.is_empty()) else {
            return (!all.is_empty()).then_some(PermitWait::Unasked(step));
        };
        let verdict = |w: &&Worker| inquiry.answers.get(&w.spec.incarnation).map(|a| a.verdict);
        let verdicts: Vec<Verdict> = all.iter().filter_map(verdict).collect();
        let count = |wanted| verdicts.iter().filter(|v| **v == wanted).count();
        if let Some(question) = &inquiry.open
            && count(Verdict::Unknown) == verdicts.len()
        {
            let left = question.wait.saturating_sub(view.now.since(question.asked_at));
            return Some(PermitWait::Open(step, left.as_millis() as u64));
        }
        if !all.is_empty() && count(Verdict::Refused) == all.len() {
            return Some(PermitWait::Refused(step, all.len()));
        }
        let (asked, allowed) = (verdicts.len(), count(Verdict::Allowed));
        Some(PermitWait::Asked { step, asked, allowed, all: all.len() })
    }
}
