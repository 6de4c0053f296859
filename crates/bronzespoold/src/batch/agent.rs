//! The agent beside one worker: looks at its list, polls the leader, carries out what differs.

use {
    crate::{
        batch::leader_client::LeaderClient,
        clock::Clock,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            agent::{Action, Limits, ListRequest, Listing, Reconciler, StartOutcome, StopOutcome},
            ledger::WorkerSpec,
            message::{Call, Orders, Poll, Reply},
        },
        core::{Instance, Time},
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time for which a look waits at the worker for an end.
const LOOK_WAIT: Duration = Duration::from_millis(400);
/// Shortest time between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a look without an answer.
const MISSED_PAUSE: Duration = Duration::from_millis(150);
/// Pause before the worker is known.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the leader's answer to a poll, its own wait included.
const POLL_TIME: Duration = Duration::from_millis(2_500);
/// Polls under way at once: one that waits for orders, and one with news.
const POLLS_MAX: usize = 2;
/// Pause after a poll without an answer.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// The worker beside the agent.
pub trait Worker: 'static {
    /// Starts a run.
    fn start(&self, action: &Action) -> impl Future<Output = StartOutcome>;
    /// Stops a run.
    fn stop(&self, action: &Action) -> impl Future<Output = StopOutcome>;
    /// Sets the share of a filler.
    fn pace(&self, action: &Action) -> impl Future<Output = StopOutcome>;
    /// Lists what the worker holds, extending its leases; waits up to `wait` for an end.
    fn list(&self, look: &ListRequest, wait: Duration) -> impl Future<Output = ListOutcome>;
}

/// Answer of a worker to a look.
#[derive(Clone, Debug)]
pub enum ListOutcome {
    /// The worker's list.
    Listed(Listing),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// No answer.
    Unanswered,
}

/// What an agent needs to know.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Instance of this process.
    pub instance: Instance,
    /// Bounds that the platform sets.
    pub limits: Limits,
    /// Address at which this process passes on calls of others.
    pub relay: Option<SocketAddr>,
}

/// The agent.
pub struct Agent<W> {
    clock: Clock,
    leader_client: Rc<LeaderClient>,
    relay: Option<SocketAddr>,
    worker: W,
    desk: RefCell<Reconciler>,
    /// When the leader's last orders arrived.
    ordered: Cell<Time>,
    /// Wakes the poll, since there is something new for the leader.
    news: Notify,
}

impl<W: Worker> Agent<W> {
    /// An agent that knows nothing of its worker yet.
    pub fn new(
        options: AgentOptions,
        clock: Clock,
        leader_client: Rc<LeaderClient>,
        worker: W,
    ) -> Rc<Self> {
        let nonce = fastrand::u64(..);
        let desk = Reconciler::new(options.instance, nonce, options.limits, clock.now());
        Rc::new(Self {
            clock,
            leader_client,
            relay: options.relay,
            worker,
            desk: RefCell::new(desk),
            ordered: Cell::new(clock.now()),
            news: Notify::new(),
        })
    }

    /// Starts to look and to poll, for as long as this process lives.
    pub fn start(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).run_looks());
        spawn_local(Rc::clone(self).run_polls());
    }

    /// Takes a check-in of the worker.
    pub fn check_in(&self, spec: WorkerSpec, seq: u64) {
        let before = self.desk.borrow().incarnation().cloned();
        let leaving = self.desk.borrow().is_leaving();
        let life = spec.incarnation.clone();
        if !self.desk.borrow_mut().check_in(self.clock.now(), spec, seq) {
            event::CheckInLate { life, seq }.emit();
            return;
        }
        if before.as_ref() != Some(&life) {
            event::CheckedIn { life: life.clone(), before }.emit();
        }
        let leaves = self.desk.borrow().is_leaving();
        if leaves != leaving {
            event::WorkerDrainingChanged { life, leaving: leaves }.emit();
            self.news.notify_one();
        }
    }

    /// Takes the word of the worker that it ends.
    pub fn leave(&self, worker: &str) {
        event::WorkerEnds { worker: worker.to_owned() }.emit();
        self.desk.borrow_mut().leave(worker);
        self.news.notify_one();
    }

    async fn run_looks(self: Rc<Self>) {
        loop {
            let life = self.desk.borrow().incarnation().cloned();
            if self.desk.borrow_mut().expire(self.clock.now()) {
                event::LeasesEnded { life }.emit();
                self.news.notify_one();
            }
            let answered = self.look(LOOK_WAIT).await;
            sleep(match answered {
                Some(true) => LOOK_PAUSE,
                Some(false) => MISSED_PAUSE,
                None => IDLE_PAUSE,
            })
            .await;
        }
    }

    /// Looks at the worker's list; tells whether it answered, none before it is known.
    async fn look(self: &Rc<Self>, wait: Duration) -> Option<bool> {
        let look = self.desk.borrow_mut().list_request(self.clock.now())?;
        match self.worker.list(&look, wait).await {
            ListOutcome::Listed(listing) => {
                if self.desk.borrow_mut().receive_listing(self.clock.now(), &look, listing) {
                    self.news.notify_one();
                }
                for action in self.desk.borrow_mut().pace_actions(self.clock.now()) {
                    spawn_local(Rc::clone(self).pace(action));
                }
                Some(true)
            }
            ListOutcome::Fenced => {
                event::WorkerFenced { epoch: look.epoch }.emit();
                self.desk.borrow_mut().fenced();
                self.news.notify_one();
                Some(false)
            }
            ListOutcome::Unanswered => {
                self.desk.borrow_mut().list_unanswered(&look);
                Some(false)
            }
        }
    }

    /// Polls the leader. News do not wait for the poll under way: the leader ends that one when
    /// the next arrives.
    async fn run_polls(self: Rc<Self>) {
        let mut polls = FuturesUnordered::new();
        loop {
            if polls.is_empty() {
                polls.push(self.poll());
            }
            tokio::select! {
                _ = polls.next() => {}
                () = self.news.notified(), if polls.len() < POLLS_MAX => polls.push(self.poll()),
            }
        }
    }

    async fn poll(self: &Rc<Self>) {
        let sent = self.clock.now();
        let poll = Poll { relay: self.relay, ..self.desk.borrow().poll(sent) };
        match self.leader_client.call(Call::Poll(Box::new(poll.clone())), POLL_TIME).await {
            Ok(Reply::Orders(orders)) => self.take(sent, &poll, *orders),
            Ok(other) => {
                event::OrdersMismatched { reply: format!("{other:?}") }.emit();
                sleep(POLL_PAUSE).await;
            }
            Err(fault) => {
                event::PollLost { fault: fault.to_string(), silent_ms: self.age() }.emit();
                sleep(POLL_PAUSE).await;
            }
        }
    }

    fn take(self: &Rc<Self>, sent: Time, poll: &Poll, orders: Orders) {
        self.desk.borrow_mut().receive_orders(sent, poll, orders);
        self.ordered.set(self.clock.now());
        let actions = self.desk.borrow_mut().actions(self.clock.now());
        for action in actions {
            spawn_local(Rc::clone(self).act(action));
        }
    }

    /// Age of the leader's last orders in milliseconds.
    fn age(&self) -> u64 {
        self.clock.now().since(self.ordered.get()).as_millis() as u64
    }

    async fn pace(self: Rc<Self>, action: Action) {
        let Action::Pace { run, percent, incarnation: life, .. } = &action else { return };
        let verdict = self.worker.pace(&action).await;
        event::BestEffortShareChanged {
            run: *run,
            percent: *percent,
            verdict: format!("{verdict:?}"),
        }
        .emit();
        self.desk.borrow_mut().pace_answered(life, *run, verdict);
    }

    async fn act(self: Rc<Self>, action: Action) {
        let age_ms = self.age();
        match &action {
            Action::Start { start, incarnation: life, epoch, .. } => {
                let verdict = self.worker.start(&action).await;
                event::StartOrdered {
                    run: start.run,
                    life: life.clone(),
                    epoch: *epoch,
                    age_ms,
                    verdict: format!("{verdict:?}"),
                }
                .emit();
                self.desk.borrow_mut().start_answered(life, start.run, verdict);
            }
            Action::Stop { run, incarnation: life, epoch } => {
                let verdict = self.worker.stop(&action).await;
                event::StopOrdered {
                    run: *run,
                    life: life.clone(),
                    epoch: *epoch,
                    age_ms,
                    verdict: format!("{verdict:?}"),
                }
                .emit();
                self.desk.borrow_mut().stop_answered(self.clock.now(), life, *run, verdict);
            }
            Action::Pace { .. } => return self.pace(action).await,
        }
        // A look that begins now tells the outcome.
        let _ = timeout(LOOK_WAIT, self.look(Duration::ZERO)).await;
        self.news.notify_one();
    }
}
