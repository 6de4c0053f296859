//! Batch jobs on the leader: requests of callers, polls of agents and the planner. A batch job
//! consists of steps, and a step of tasks.

mod agents;
mod decision_log;
mod drain;
mod external;
mod gauges;
mod overload;
mod planner;
mod polls;
mod requests;
mod run_times;
mod storage;
mod waits;
mod wakes;

pub(in crate::control) use wakes::Wakes;

use {
    crate::{
        clock::Clock,
        control::{
            batch::{
                agents::Agents,
                decision_log::{DecisionLog, PriorState},
                external::ExternalState,
                overload::OverloadState,
                run_times::RunTimeLearner,
                storage::Storage,
            },
            replica::{Replica, Result},
            state::{Command, Effect},
        },
    },
    bronzespool::{
        batch::{
            Event, EventOutcome, Record,
            cold::ColdWorkers,
            departure::Departures,
            message,
            plan::{Planner, WaitReport},
        },
        core::{Code, Instance, Refusal, settings::JobPolicy},
        wire::message::{CallResult, Reply},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::task::spawn_local,
};

/// The leader component for batch jobs.
pub(in crate::control) struct BatchController {
    clock: Clock,
    replica: Rc<Replica>,
    agents: Rc<RefCell<Agents>>,
    decision_log: Rc<RefCell<DecisionLog>>,
    external: RefCell<ExternalState>,
    planner: RefCell<Planner>,
    run_times: Rc<RefCell<RunTimeLearner>>,
    cold: RefCell<ColdWorkers>,
    departures: RefCell<Departures>,
    overload: RefCell<OverloadState>,
    waits: RefCell<WaitReport>,
    storage: RefCell<Storage>,
    /// Name of this instance.
    instance: Instance,
}

impl BatchController {
    pub(in crate::control) fn new(
        clock: Clock,
        replica: Rc<Replica>,
        instance: Instance,
        policy: JobPolicy,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            replica,
            agents: Rc::default(),
            decision_log: Rc::default(),
            external: RefCell::default(),
            planner: RefCell::default(),
            run_times: Rc::new(RefCell::new(RunTimeLearner::new(policy.run_times))),
            cold: RefCell::default(),
            departures: RefCell::default(),
            overload: RefCell::new(OverloadState::new(policy.overload)),
            waits: RefCell::default(),
            storage: RefCell::default(),
            instance,
        })
    }

    /// Answers a call. The caller has checked that this replica leads.
    pub(in crate::control) async fn answer(&self, call: message::Call) -> CallResult {
        let reply = match call {
            message::Call::Job(caller, request) => self.job_request(&caller, request).await?,
            message::Call::Poll(poll) => self.poll(*poll).await?,
            message::Call::Crash(crash) => self.record_crash(crash).await?,
            message::Call::Explain(id) => self.explain(id).await?,
            message::Call::Configure(config) => self.configure(config).await?,
            message::Call::ReadConfig => self.read_config().await?,
            message::Call::OrderWave(spec) => self.order_wave(spec).await?,
            message::Call::ReadWave(id) => self.read_wave(id).await?,
            message::Call::ReadCenter(center) => self.read_center(&center).await?,
            message::Call::SetCenter(command) => self.set_center(command).await?,
            message::Call::ReportCold(report) => self.record_cold(report),
            message::Call::ReportDeparture(report) => self.record_departure(report),
            message::Call::External(request) => self.external_call(*request).await?,
            message::Call::Ping(relay) => {
                self.replica.read_barrier().await?;
                self.agents.borrow_mut().record_relay(self.clock.now(), relay);
                match self.replica.state().batch().config() {
                    Some(_) => message::Reply::Done,
                    None => message::Reply::Denied(message::Denial::NoConfig),
                }
            }
        };
        Ok(Reply::Batch(reply))
    }

    /// Processes that relay calls to the leader, as far as this instance knows them.
    pub(in crate::control) fn relays(&self) -> Vec<SocketAddr> {
        self.agents.borrow_mut().relays(self.clock.now())
    }

    /// Commits events to the log and waits until they are applied. They are logged even if the caller
    /// stops waiting, as a call does whose client has given up.
    async fn propose(&self, events: Vec<Event>) -> Result<Vec<EventOutcome>> {
        let begun = self.clock.now();
        let prior_state = PriorState::capture(self.replica.state().batch(), &events);
        let record = Record { at: self.replica.log_time(), events };
        let command = Command::Batch(record);
        let proposal = self.replica.start_proposal(&command)?;
        let (clock, replica) = (self.clock, Rc::clone(&self.replica));
        let (agents, decision_log) = (Rc::clone(&self.agents), Rc::clone(&self.decision_log));
        let (run_times, term) = (Rc::clone(&self.run_times), self.replica.term());
        let applied = spawn_local(async move {
            let effect = proposal.applied().await?;
            let took = clock.now().since(begun);
            metrics::histogram!("bronzespool_batch_commit_seconds").record(took.as_secs_f64());
            let (Command::Batch(record), Effect::Batch(outcomes)) = (&command, effect) else {
                return Err(Refusal::from(Code::Internal));
            };
            run_times.borrow_mut().record_applied(term, replica.state().batch(), record, &outcomes);
            let agents = agents.borrow();
            let poll_age =
                |agent: &Instance| agents.contacts.heard_at(agent).map(|at| begun.since(at));
            decision_log.borrow_mut().log_record(
                replica.state().batch(),
                &prior_state,
                record,
                &outcomes,
                took,
                poll_age,
            );
            Ok(outcomes)
        });
        applied.await.unwrap_or_else(|_| Err(Refusal::from(Code::Internal)))
    }

    async fn propose_one(&self, event: Event) -> Result<EventOutcome> {
        let outcomes = self.propose(vec![event]).await?;
        outcomes.first().copied().ok_or_else(|| Refusal::from(Code::Internal))
    }
}
