//! The leader: its ledger, the polls that wait for orders, and the state of its planner.

use {
    crate::size::{
        counts::Counts,
        load::{PlannedJob, worker_spec},
    },
    bronzespool::{
        batch::{
            Event, JobId, Ledger, Phase, Record, RunId, Withdrawals,
            affected::RecordScope,
            exchange::poll_orders,
            grant::{Grants, WORKER_LEASE},
            ledger::StopCause,
            message::{Orders, Poll},
            plan::{ClusterView, Planner, Progress},
        },
        core::{HashMap, HashSet, Time},
    },
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Fencing token of the leader.
const EPOCH: u64 = 1;

/// A poll that waits for orders.
#[derive(Clone, Debug)]
pub(super) struct WaitingPoll {
    pub(super) serial: u64,
    pub(super) sent: Time,
    pub(super) poll: Box<Poll>,
}

/// Orders for an agent, with the poll that they answer.
pub(super) type Answer = (usize, WaitingPoll, Box<Orders>);

/// The leader.
#[derive(Debug, Default)]
pub(super) struct Leader {
    pub(super) ledger: Ledger,
    /// Latest poll of each agent.
    polls: Vec<Option<Box<Poll>>>,
    serials: Vec<u64>,
    waiting: Vec<Vec<WaitingPoll>>,
    /// Agents with a waiting poll that a later one has superseded.
    superseded: BTreeSet<usize>,
    indexes: HashMap<Arc<str>, usize>,
    /// Runs whose end is recorded.
    ended: HashSet<RunId>,
    pub(super) double_ends: usize,
    pub(super) partial_starts: usize,
    pub(super) reclaimed: usize,
    pub(super) broken: usize,
    /// When each job ended.
    pub(super) finished: HashMap<JobId, Time>,
    pub(super) grants: Grants,
    planner: Planner,
    /// Wall time that all plans took.
    pub(super) plan_time: Duration,
}

impl Leader {
    pub(super) fn new(workers: usize) -> Self {
        let name = |i| worker_spec(i).incarnation.worker;
        Self {
            polls: vec![None; workers],
            serials: vec![0; workers],
            waiting: vec![Vec::new(); workers],
            indexes: (0..workers).map(|i| (name(i), i)).collect(),
            ..Self::default()
        }
    }

    /// Stores an agent's poll and returns its serial number.
    pub(super) fn record_poll(&mut self, agent: usize, poll: &Poll) -> u64 {
        self.polls[agent] = Some(Box::new(poll.clone()));
        self.serials[agent] += 1;
        if !self.waiting[agent].is_empty() {
            self.superseded.insert(agent);
        }
        self.serials[agent]
    }

    /// Answers a poll if there are orders; otherwise it waits.
    pub(super) fn answer_or_wait(&mut self, agent: usize, poll: WaitingPoll) -> Option<Answer> {
        let orders = self.orders(&poll);
        if !is_idle(&orders) {
            return Some((agent, poll, Box::new(orders)));
        }
        self.waiting[agent].push(poll);
        None
    }

    /// Answers a poll at once.
    pub(super) fn answer(&self, agent: usize, poll: WaitingPoll) -> Answer {
        let orders = self.orders(&poll);
        (agent, poll, Box::new(orders))
    }

    fn orders(&self, poll: &WaitingPoll) -> Orders {
        poll_orders(&self.ledger, &Withdrawals::default(), &poll.poll, EPOCH, WORKER_LEASE)
    }

    /// Answers a waiting poll whose time is over.
    pub(super) fn end_wait(&mut self, agent: usize, serial: u64) -> Option<Answer> {
        let at = self.waiting[agent].iter().position(|p| p.serial == serial)?;
        let poll = self.waiting[agent].remove(at);
        Some(self.answer(agent, poll))
    }

    /// Answers the waiting polls of an agent that have orders or are superseded, or all of them.
    fn wake(&mut self, agent: usize, all: bool) -> Vec<Answer> {
        let polls = std::mem::take(&mut self.waiting[agent]);
        self.superseded.remove(&agent);
        let mut answers = Vec::new();
        for poll in polls {
            if all || poll.serial < self.serials[agent] {
                answers.push(self.answer(agent, poll));
            } else {
                answers.extend(self.answer_or_wait(agent, poll));
            }
        }
        answers
    }

    /// Answers all waiting polls.
    pub(super) fn wake_all(&mut self) -> Vec<Answer> {
        (0..self.waiting.len()).flat_map(|a| self.wake(a, true)).collect()
    }

    /// Applies a record and answers the waiting polls that have orders then. As in the daemon, it
    /// wakes the polls of the agents whose orders the record can have changed.
    pub(super) fn apply(&mut self, record: &Record, counts: &mut Counts) -> Vec<Answer> {
        self.inspect(record);
        let scope = RecordScope::of(&self.ledger, record);
        self.ledger.apply(record);
        self.note_finished(record);
        counts.records += 1;
        counts.events += record.events.len() as u64;
        counts.record_bytes += encoded_len(record);
        let workers = scope.affected_workers(&self.ledger);
        let indexes = workers.iter().filter_map(|w| self.indexes.get(w).copied());
        let mut agents: BTreeSet<usize> = indexes.collect();
        counts.woken_polls += agents.iter().map(|a| self.waiting[*a].len() as u64).sum::<u64>();
        agents.extend(std::mem::take(&mut self.superseded));
        agents.into_iter().flat_map(|a| self.wake(a, false)).collect()
    }

    /// Checks and counts the events of a record before it is applied.
    fn inspect(&mut self, record: &Record) {
        for event in &record.events {
            match event {
                Event::Started(group) => {
                    let first = group.first().map(|a| a.run.task.step);
                    let spec = first.and_then(|s| self.ledger.job(s.job)?.step_spec(s.step));
                    let partial = spec.is_some_and(|s| s.gang && s.count as usize != group.len());
                    self.partial_starts += usize::from(partial);
                }
                Event::Stopping { runs, cause } => self.count_stops(runs, *cause),
                Event::Ended { incarnation, ends } => {
                    let cursor = self.ledger.worker(incarnation).map_or(0, |w| w.cursor);
                    for end in ends.iter().filter(|e| e.number > cursor) {
                        self.double_ends += usize::from(!self.ended.insert(end.run));
                    }
                }
                Event::Refused { run, .. } => {
                    let held = self.ledger.active_run(*run).is_some();
                    self.double_ends += usize::from(held && !self.ended.insert(*run));
                }
                _ => {}
            }
        }
    }

    fn count_stops(&mut self, runs: &[RunId], cause: StopCause) {
        let is_new = |r: &&RunId| self.ledger.active_run(**r).is_some_and(|a| !a.stopping);
        let count = runs.iter().filter(is_new).count();
        match cause {
            StopCause::Reclaimed(_) => self.reclaimed += count,
            _ => self.broken += count,
        }
    }

    /// Notes when the jobs that a record has completed ended.
    fn note_finished(&mut self, record: &Record) {
        let ended = record.events.iter().flat_map(|event| match event {
            Event::Ended { ends, .. } => ends.iter().map(|e| e.run.task.step.job).collect(),
            Event::Refused { run, .. } => vec![run.task.step.job],
            _ => Vec::new(),
        });
        for id in ended.collect::<BTreeSet<_>>() {
            if self.ledger.job(id).is_some_and(|j| j.phase == Phase::Completed) {
                self.finished.entry(id).or_insert(record.at);
            }
        }
    }

    /// Plans and returns the proposed events.
    pub(super) fn plan(&mut self, now: Time) -> Vec<Event> {
        let view = self.cluster_view(now);
        let begun = Instant::now();
        let events = self.planner.plan(&self.ledger, &view);
        self.plan_time += begun.elapsed();
        events
    }

    fn cluster_view(&self, now: Time) -> ClusterView {
        let mut view = ClusterView { now, wall: now.as_millis(), ..ClusterView::default() };
        for poll in self.polls.iter().flatten() {
            let Some(worker) = &poll.worker else { continue };
            view.schedulable.insert(worker.incarnation.worker.clone());
            for status in &poll.running {
                let (checkpoint, percent) = (status.checkpoint.clone(), status.percent);
                view.progress.insert(status.run, Progress { checkpoint, percent });
            }
        }
        view
    }

    /// Whether a job of the stream has ended.
    pub(super) fn has_ended(&self, job: &PlannedJob) -> bool {
        self.finished.contains_key(&job.spec.id)
    }
}

const fn is_idle(orders: &Orders) -> bool {
    orders.starts.is_empty() && orders.stops.is_empty()
}

/// Returns the length of a message's encoding.
pub(super) fn encoded_len<T: serde::Serialize>(message: &T) -> u64 {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64)
}
