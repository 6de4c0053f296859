//! Calls to external services that other processes make for the leader, and maintenance waves. The
//! services are the advice service, which names the workers that may run a step, and the platform's
//! interface for its machines.

use {
    crate::{
        control::{addresses::name_from_address, batch::BatchController, replica::Result},
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            Event, Ledger,
            ledger::WaveSpec,
            message::{
                Denial, ExternalCall, ExternalCallKind, ExternalCallRequest, ExternalResult,
                Permitted, Question, Reply, TakedownResult,
            },
            plan::{Inquiries, MaintenancePlanner, Permits},
        },
        core::{Code, HashSet, Refusal, Time},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest time for which a request for an external call waits until there is a question for the
/// advice service.
const QUESTION_WAIT: Duration = Duration::from_millis(400);
/// Time since its request after which the list of machines is read again.
const LIST_AGE_MAX: Duration = Duration::from_secs(1);
/// Time after the start of a term before machines are ordered. The former leader's orders are
/// finished by then, so the platform does not see two lease holders alternate.
const ORDER_DELAY: Duration = Duration::from_millis(3_500);

/// What the leader knows from external services. It is reset at the start of each term.
#[derive(Debug, Default)]
pub(super) struct ExternalState {
    term: u64,
    /// When this replica became leader of the term, on the process's clock.
    term_start: Time,
    pub(super) permits: Permits,
    pub(super) inquiries: Inquiries,
    pub(super) maintenance: MaintenancePlanner,
}

impl ExternalState {
    fn enter_term(&mut self, term: u64, now: Time) {
        if self.term != term {
            let maintenance = MaintenancePlanner::new(term);
            *self = Self { term, term_start: now, maintenance, ..Self::default() };
        }
    }
}

impl BatchController {
    pub(super) async fn order_wave(&self, spec: Arc<WaveSpec>) -> Result<Reply> {
        if let Err(error) = spec.check() {
            return Err(Refusal::new(Code::ConfigInvalid, error.to_string()));
        }
        self.replica.read_barrier().await?;
        if self.replica.state().batch().wave(spec.id).is_none() {
            let room = self.take_storage(spec.stored_bytes());
            let _room = room.ok_or_else(|| Refusal::from(Code::BoundReached))?;
            self.propose_one(Event::WaveOrdered(spec)).await?;
        }
        Ok(Reply::Done)
    }

    pub(super) async fn read_wave(&self, id: u64) -> Result<Reply> {
        self.replica.read_barrier().await?;
        let state = self.replica.state();
        let wave = state.batch().wave(id);
        Ok(wave.map_or(Reply::Denied(Denial::NoWave), |w| Reply::Wave(w.is_done())))
    }

    /// Processes the result of a process's last external call and assigns the next one.
    pub(super) async fn external_call(&self, request: ExternalCallRequest) -> Result<Reply> {
        let idle = !is_needed(self.replica.state().batch(), request.kind);
        if idle && request.result.is_none() {
            // No call, and none expected soon.
            return Ok(Reply::External(Err(false)));
        }
        self.replica.read_barrier().await?;
        self.external.borrow_mut().enter_term(self.replica.status().term, self.clock.now());
        if let Some(result) = request.result {
            event::ExternalCallDone { outcome: format!("{result:?}") }.emit();
            self.record_result(request.control, result).await?;
            self.replica.batch_wakes().request_plan();
        }
        let call = match request.kind {
            ExternalCallKind::Questions => {
                self.external
                    .borrow_mut()
                    .inquiries
                    .give_up(self.replica.log_time(), request.control);
                self.next_question(request.control).await
            }
            ExternalCallKind::Machines
                if name_from_address(request.control).as_ref() == Some(&self.instance) =>
            {
                self.next_machine_call(request.control).await?
            }
            ExternalCallKind::Machines => None,
        };
        if let Some(call) = &call {
            event::ExternalCallAssigned { chore: format!("{call:?}") }.emit();
        }
        // Without a call, `true` tells that one may follow soon.
        Ok(Reply::External(call.ok_or(true)))
    }

    /// Processes the result of a call that the process beside the control instance at `control` has
    /// made.
    async fn record_result(&self, control: SocketAddr, result: ExternalResult) -> Result<()> {
        match result {
            ExternalResult::Permitted(permitted) => self.record_permits(control, permitted),
            ExternalResult::Listed(machines) => {
                self.external.borrow_mut().maintenance.receive_list(control, machines);
            }
            ExternalResult::TakenDown {
                wave,
                machine,
                word: TakedownResult::Done | TakedownResult::Foreign,
            } => {
                let worker = self.external.borrow().maintenance.worker_of(&machine).cloned();
                let mut events: Vec<Event> = worker.into_iter().map(Event::TakenDown).collect();
                events.push(Event::MaintenanceBegun { wave, machine });
                self.propose(events).await?;
            }
            ExternalResult::Fenced { epoch } => {
                self.external.borrow_mut().maintenance.record_fenced(epoch);
            }
            // A process of the former version reports a fenced order without its token. Only the
            // leader's own process is given orders, so this is none of the current term.
            ExternalResult::TakenDown {
                word: TakedownResult::Busy | TakedownResult::Unknown | TakedownResult::Fenced,
                ..
            } => {}
        }
        Ok(())
    }

    /// Records an answer of the advice service to the process beside the control instance at `control`.
    fn record_permits(&self, control: SocketAddr, permitted: Permitted) {
        let Permitted { step, tickets, valid } = permitted;
        let now = self.replica.log_time();
        let until = now + Duration::from_millis(valid);
        let state = self.replica.state();
        let incarnation_of = |worker: &str| {
            let worker = state.batch().workers().find(|w| &*w.spec.incarnation.worker == worker);
            worker.map(|w| w.spec.incarnation.clone())
        };
        let permits: Vec<_> = tickets
            .into_iter()
            .filter_map(|(w, permit)| Some((incarnation_of(&w)?, permit)))
            .collect();
        let allowed = permits.iter().map(|(incarnation, _)| incarnation.clone()).collect();
        let external = &mut *self.external.borrow_mut();
        external.permits.record(step, until, permits);
        if let Some(workers) = external.inquiries.record(now, step, Some(control), &allowed) {
            event::StepNotPermitted { job: step.job, step, workers }.emit();
        }
    }

    /// The next question for the advice service, waiting up to [`QUESTION_WAIT`] for one. The process
    /// beside the control instance at `control` asks it.
    async fn next_question(&self, control: SocketAddr) -> Option<ExternalCall> {
        let end = self.clock.now() + QUESTION_WAIT;
        let mut watch = self.replica.watch();
        loop {
            watch.borrow_and_update();
            let question = self.try_question();
            let left = end.since(self.clock.now());
            if let Some(question) = &question {
                self.external.borrow_mut().inquiries.record_asker(question.step, control);
            }
            if question.is_some() || left.is_zero() || !self.replica.leads() {
                return question.map(ExternalCall::Ask);
            }
            // A timeout and a change lead to the same next step.
            let _ = timeout(left, watch.changed()).await;
        }
    }

    fn try_question(&self) -> Option<Question> {
        self.external.borrow_mut().permits.expire(self.replica.log_time());
        let cluster_view = self.cluster_view();
        let state = self.replica.state();
        self.external.borrow_mut().inquiries.next_question(state.batch(), &cluster_view)
    }

    /// The next order for a machine, or a request to list all machines, for the process beside the
    /// control instance at `control`.
    async fn next_machine_call(&self, control: SocketAddr) -> Result<Option<ExternalCall>> {
        let (now, log_time) = (self.clock.now(), self.replica.log_time());
        let (list_stale, orders_blocked, epoch) = {
            let external = self.external.borrow();
            (
                external.maintenance.is_list_stale(log_time, LIST_AGE_MAX),
                external.maintenance.is_fenced() || now.since(external.term_start) < ORDER_DELAY,
                external.term,
            )
        };
        if list_stale {
            self.external.borrow_mut().maintenance.request_list(control, log_time);
            return Ok(Some(ExternalCall::List));
        }
        if orders_blocked {
            return Ok(None);
        }
        let cluster_view = self.cluster_view();
        let (events, takedown) = {
            let state = self.replica.state();
            let maintenance = &mut self.external.borrow_mut().maintenance;
            let planned = maintenance.plan(state.batch(), &cluster_view);
            let draining = maintenance.draining_workers().cloned().collect::<HashSet<_>>();
            if draining != cluster_view.draining {
                self.replica.batch_wakes().request_plan();
            }
            planned
        };
        self.report_blocked_machines();
        if !events.is_empty() {
            self.propose(events).await?;
        }
        Ok(takedown.map(|t| ExternalCall::TakeDown { wave: t.wave, machine: t.machine, epoch }))
    }
}

impl BatchController {
    /// Logs the machines that have begun to wait for a disruption budget.
    fn report_blocked_machines(&self) {
        for blocked in self.external.borrow_mut().maintenance.take_newly_blocked() {
            event::MachineBlocked {
                wave: blocked.wave,
                machine: blocked.machine.to_string(),
                step: blocked.step,
                most_ms: blocked.release_after.as_millis() as u64,
            }
            .emit();
        }
    }
}

/// Whether there is anything to do for a kind of external call.
fn is_needed(ledger: &Ledger, kind: ExternalCallKind) -> bool {
    match kind {
        ExternalCallKind::Questions => {
            ledger.config().is_some_and(|c| c.queues.iter().any(|q| q.advice.is_some()))
        }
        ExternalCallKind::Machines => MaintenancePlanner::needs_machines(ledger),
    }
}
