//! The agent of one worker: lists the worker's runs, polls the leader for orders and makes the
//! calls to the worker that remove the difference.

mod check_in;

pub use check_in::{CheckIn, CheckInOutcome};

use {
    crate::{
        batch::leader_client::LeaderClient,
        clock::Clock,
        http::Error,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            agent::{
                Action, Limits, ListFailure, ListRequest, Listing, Reconciler, StartOutcome,
                StopOutcome,
            },
            cold::ColdReport,
            departure::DepartureReport,
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

/// Time for which the worker holds a list request open until a run ends.
const LIST_WAIT: Duration = Duration::from_millis(400);
/// Pause after an answered list request.
const LIST_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a list request without an answer.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(150);
/// Pause while no worker has checked in.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a poll, including the time for which the leader holds it open.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait for the leader to record a crash. The poll after it does not wait longer.
const CRASH_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a report that the worker is cold or ends. It delays the next poll.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Polls in flight at once: one that waits for orders, and one that carries a change.
const POLLS_MAX: usize = 2;
/// Shortest time between two polls. The leader answers a poll at once while it has orders, also those
/// that the agent cannot carry out yet.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(25);
/// Pause after a failed poll.
const POLL_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interface of the worker that the agent serves.
pub trait Worker: 'static {
    /// Starts a run.
    fn start(&self, action: &Action) -> impl Future<Output = StartOutcome>;
    /// Stops a run.
    fn stop(&self, action: &Action) -> impl Future<Output = StopOutcome>;
    /// Limits a best-effort run to a share of its full speed.
    fn pace(&self, action: &Action) -> impl Future<Output = StopOutcome>;
    /// Lists the worker's runs and extends their leases; waits up to `wait` for a run to end.
    fn list(&self, request: &ListRequest, wait: Duration) -> impl Future<Output = ListOutcome>;
}

/// Outcome of a list request.
#[derive(Clone, Debug)]
pub enum ListOutcome {
    /// The worker's list.
    Listed(Listing),
    /// The worker has seen a higher fencing token than the request's, or the request had none.
    Fenced,
    /// No answer.
    Unanswered(ListFailure),
}

impl From<&Error> for ListOutcome {
    fn from(error: &Error) -> Self {
        Self::Unanswered(match error {
            Error::Refused(_) => ListFailure::Absent,
            _ if error.is_closed() => ListFailure::Closed,
            Error::Body(_) => ListFailure::Refused,
            _ => ListFailure::Silent,
        })
    }
}

/// Options of an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Instance of this process.
    pub instance: Instance,
    /// Limits that the platform sets.
    pub limits: Limits,
    /// Address at which this process relays the calls of others.
    pub relay: Option<SocketAddr>,
}

/// Agent of one worker.
pub struct Agent<W> {
    clock: Clock,
    leader_client: Rc<LeaderClient>,
    relay: Option<SocketAddr>,
    worker: W,
    reconciler: RefCell<Reconciler>,
    /// When the leader's last orders arrived.
    last_orders: Cell<Time>,
    /// Number of polls that this process has sent.
    polls_sent: Cell<u32>,
    /// When the next poll may be sent.
    next_poll: Cell<Time>,
    /// Report that the worker is cold, which the leader gets before the next poll.
    cold: RefCell<Option<ColdReport>>,
    /// Whether the worker was cold at its last check-in.
    was_cold: Cell<bool>,
    /// Report that the worker ends soon, which the leader gets before the next poll.
    departure: RefCell<Option<DepartureReport>>,
    /// Number of check-ins whose senders are being asked who they are.
    identifying: Cell<usize>,
    /// The latest check-in whose sender was not identified in time.
    unidentified: RefCell<Option<CheckIn>>,
    /// Wakes the poll loop when there is a change to report to the leader.
    poll_wakeup: Notify,
}

impl<W: Worker> Agent<W> {
    /// Creates an agent whose worker has not checked in yet.
    pub fn new(
        options: AgentOptions,
        clock: Clock,
        leader_client: Rc<LeaderClient>,
        worker: W,
    ) -> Rc<Self> {
        let process = fastrand::u32(..);
        let reconciler = Reconciler::new(options.instance, process, options.limits, clock.now());
        Rc::new(Self {
            clock,
            leader_client,
            relay: options.relay,
            worker,
            reconciler: RefCell::new(reconciler),
            last_orders: Cell::new(clock.now()),
            polls_sent: Cell::new(0),
            next_poll: Cell::new(clock.now()),
            cold: RefCell::default(),
            was_cold: Cell::default(),
            departure: RefCell::default(),
            identifying: Cell::default(),
            unidentified: RefCell::default(),
            poll_wakeup: Notify::new(),
        })
    }

    /// Starts the tasks that list the worker's runs and poll the leader. They never end.
    pub fn start(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).run_listing());
        spawn_local(Rc::clone(self).run_polls());
    }

    /// Reports to the leader that the worker is cold, before a poll reports the worker itself. A report
    /// without an answer is not repeated, since the next check-in creates another one.
    async fn report_cold(&self) {
        let Some(report) = self.cold.take() else { return };
        let call = Call::ReportCold(report);
        if let Err(error) = self.leader_client.call(call, REPORT_TIMEOUT).await {
            log::debug!(error:%; "the leader was not told that the worker is cold");
        }
    }

    /// Reports to the leader that the worker ends soon. A report without an answer is not repeated,
    /// since the next check-in creates another one.
    async fn report_departure(&self) {
        let Some(report) = self.departure.take() else { return };
        let call = Call::ReportDeparture(report);
        if let Err(error) = self.leader_client.call(call, REPORT_TIMEOUT).await {
            log::debug!(error:%; "the leader was not told that the worker ends");
        }
    }

    fn log_crash(&self) {
        let reconciler = self.reconciler.borrow();
        if let Some(crash) = reconciler.crash() {
            let runs = crash.runs.iter().map(|r| match r.age {
                Some(age) => format!("{} for {age} ms", r.run),
                None => format!("{} without an answer", r.run),
            });
            let runs = runs.collect::<Vec<_>>().join(", ");
            event::WorkerCrashed { life: crash.incarnation.clone(), runs }.emit();
        }
    }

    /// Logs the runs that are reported as not started from now on.
    fn log_not_started(&self) {
        let mut reconciler = self.reconciler.borrow_mut();
        for (run, ground) in reconciler.take_not_started() {
            let life = reconciler.incarnation().cloned();
            event::RunNotStarted { job: run.task.step.job, run, life, ground }.emit();
        }
    }

    async fn run_listing(self: Rc<Self>) {
        loop {
            let incarnation = self.reconciler.borrow().incarnation().cloned();
            if self.reconciler.borrow_mut().expire(self.clock.now()) {
                event::LeasesEnded { life: incarnation }.emit();
                self.log_crash();
                self.poll_wakeup.notify_one();
            }
            let answered = self.list(LIST_WAIT).await;
            if answered.is_none() {
                self.retry_check_in().await;
            }
            for action in self.reconciler.borrow_mut().stray_stops() {
                spawn_local(Rc::clone(&self).execute(action));
            }
            sleep(match answered {
                Some(true) => LIST_PAUSE,
                Some(false) => UNANSWERED_PAUSE,
                None => IDLE_PAUSE,
            })
            .await;
        }
    }

    /// Lists the worker's runs. Returns whether the worker answered, `None` before its first
    /// check-in.
    async fn list(self: &Rc<Self>, wait: Duration) -> Option<bool> {
        let request = self.reconciler.borrow_mut().list_request(self.clock.now())?;
        match self.worker.list(&request, wait).await {
            ListOutcome::Listed(listing) => {
                self.receive_listing(&request, listing);
                for action in self.reconciler.borrow_mut().pace_actions(self.clock.now()) {
                    spawn_local(Rc::clone(self).pace(action));
                }
                Some(true)
            }
            ListOutcome::Fenced => {
                self.note_fenced(request.epoch);
                Some(false)
            }
            ListOutcome::Unanswered(failure) => {
                let now = self.clock.now();
                self.reconciler.borrow_mut().list_unanswered(now, &request, failure);
                Some(false)
            }
        }
    }

    fn receive_listing(&self, request: &ListRequest, listing: Listing) {
        let had_departed = self.reconciler.borrow().has_departed();
        let has_news =
            self.reconciler.borrow_mut().receive_listing(self.clock.now(), request, listing);
        self.log_not_started();
        if had_departed && !self.reconciler.borrow().has_departed() {
            event::WorkerStays { life: request.incarnation.clone() }.emit();
        }
        if has_news {
            self.poll_wakeup.notify_one();
        }
    }

    /// Takes the worker's word that it has seen a higher fencing token.
    fn note_fenced(&self, epoch: Option<u64>) {
        event::WorkerFenced { epoch }.emit();
        self.reconciler.borrow_mut().fenced(self.clock.now(), epoch);
        self.poll_wakeup.notify_one();
    }

    /// Polls the leader. A change is sent in a second poll at once: the leader ends the poll in
    /// flight when the next one arrives.
    async fn run_polls(self: Rc<Self>) {
        let mut polls = FuturesUnordered::new();
        loop {
            if polls.is_empty() {
                polls.push(self.poll());
            }
            tokio::select! {
                _ = polls.next() => {}
                () = self.poll_wakeup.notified(), if polls.len() < POLLS_MAX => {
                    polls.push(self.poll());
                }
            }
        }
    }

    /// Waits until the next poll may be sent.
    async fn poll_slot(&self) {
        let now = self.clock.now();
        let slot = self.next_poll.get().max(now);
        self.next_poll.set(slot + POLL_INTERVAL_MIN);
        sleep(slot.since(now)).await;
    }

    /// Tells the leader of crashes, before a poll tells it of the next incarnation: it would start
    /// the tasks elsewhere without knowing of the crash.
    async fn report_crashes(&self) {
        loop {
            let Some(crash) = self.reconciler.borrow().crash().cloned() else { return };
            let incarnation = crash.incarnation.clone();
            let call = Call::Crash(Box::new(crash));
            match self.leader_client.call(call, CRASH_TIMEOUT).await {
                Ok(_) => self.reconciler.borrow_mut().crash_reported(&incarnation),
                Err(error) => {
                    let again = self.reconciler.borrow_mut().crash_unreported(&incarnation);
                    let error = error.to_string();
                    event::CrashUnreported { life: incarnation, again, error }.emit();
                    return;
                }
            }
        }
    }

    async fn poll(self: &Rc<Self>) {
        self.poll_slot().await;
        self.report_crashes().await;
        self.report_cold().await;
        self.report_departure().await;
        let sent = self.clock.now();
        self.polls_sent.set(self.polls_sent.get() + 1);
        let poll = self.reconciler.borrow().poll(sent, self.polls_sent.get());
        let poll = Poll { relay: self.relay, ..poll };
        match self.leader_client.call(Call::Poll(Box::new(poll.clone())), POLL_TIMEOUT).await {
            Ok(Reply::Orders(orders)) => self.receive_orders(sent, &poll, *orders),
            Ok(other) => {
                event::OrdersMismatched { reply: format!("{other:?}") }.emit();
                sleep(POLL_RETRY_PAUSE).await;
            }
            Err(error) => {
                event::PollLost { fault: error.to_string(), silent_ms: self.orders_age_millis() }
                    .emit();
                sleep(POLL_RETRY_PAUSE).await;
            }
        }
    }

    fn receive_orders(self: &Rc<Self>, sent: Time, poll: &Poll, orders: Orders) {
        self.reconciler.borrow_mut().receive_orders(sent, poll, orders);
        self.last_orders.set(self.clock.now());
        let actions = self.reconciler.borrow_mut().actions(self.clock.now());
        self.log_not_started();
        for action in actions {
            spawn_local(Rc::clone(self).execute(action));
        }
    }

    /// Age of the leader's last orders in milliseconds.
    fn orders_age_millis(&self) -> u64 {
        self.clock.now().since(self.last_orders.get()).as_millis() as u64
    }

    async fn pace(self: Rc<Self>, action: Action) {
        let Action::Pace { run, percent, incarnation, .. } = &action else { return };
        let outcome = self.worker.pace(&action).await;
        event::BestEffortShareChanged {
            run: *run,
            percent: *percent,
            verdict: format!("{outcome:?}"),
        }
        .emit();
        self.reconciler.borrow_mut().pace_answered(self.clock.now(), incarnation, *run, outcome);
    }

    async fn execute(self: Rc<Self>, action: Action) {
        let age_ms = self.orders_age_millis();
        match &action {
            Action::Start { start, incarnation, epoch, .. } => {
                let outcome = self.worker.start(&action).await;
                event::StartOrdered {
                    run: start.run,
                    life: incarnation.clone(),
                    epoch: *epoch,
                    age_ms,
                    verdict: format!("{outcome:?}"),
                }
                .emit();
                self.reconciler.borrow_mut().start_answered(
                    self.clock.now(),
                    incarnation,
                    start.run,
                    outcome,
                );
                self.log_not_started();
            }
            Action::Stop { run, incarnation, epoch } => {
                let outcome = self.worker.stop(&action).await;
                event::StopOrdered {
                    run: *run,
                    life: incarnation.clone(),
                    epoch: *epoch,
                    age_ms,
                    verdict: format!("{outcome:?}"),
                }
                .emit();
                self.reconciler.borrow_mut().stop_answered(
                    self.clock.now(),
                    incarnation,
                    *run,
                    outcome,
                );
            }
            Action::Pace { .. } => return self.pace(action).await,
        }
        // A list requested after the call shows its outcome.
        let _ = timeout(LIST_WAIT, self.list(Duration::ZERO)).await;
        self.poll_wakeup.notify_one();
    }
}
