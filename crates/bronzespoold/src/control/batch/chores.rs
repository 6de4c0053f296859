//! Chores that processes beside control instances do for the leader, and waves of maintenance.

use {
    crate::{
        control::{addresses::named, batch::Batch, replica::Result},
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
            plan::{MaintenancePlanner, Permits},
        },
        core::{Code, Refusal, Time},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest time for which a wish for a question waits.
const PARK: Duration = Duration::from_millis(400);
/// Age of the list of machines at which it is read again.
const LIST_AGE: Duration = Duration::from_secs(1);
/// Time in a term before machines are ordered: the former leader's orders are over by then, so that
/// holders do not take turns.
const TURN: Duration = Duration::from_millis(3_500);

/// What the leader knows from outside services; it begins anew with each term.
#[derive(Debug, Default)]
pub(super) struct Outside {
    term: u64,
    /// When this replica began to lead in the term, on the process's clock.
    since: Time,
    pub(super) permits: Permits,
    pub(super) fleet: MaintenancePlanner,
    /// When the machines were listed last.
    listed: Option<Time>,
    /// Whether the platform has refused this term's fencing token.
    fenced: bool,
}

impl Outside {
    fn enter(&mut self, term: u64, now: Time) {
        if self.term != term {
            *self = Self { term, since: now, ..Self::default() };
        }
    }
}

impl Batch {
    pub(super) async fn order_wave(&self, spec: Arc<WaveSpec>) -> Result<Reply> {
        if let Err(error) = spec.check() {
            return Err(Refusal::new(Code::ConfigInvalid, error.to_string()));
        }
        self.replica.read().await?;
        if self.replica.state().batch().wave(spec.id).is_none() {
            self.propose_one(Event::WaveOrdered(spec)).await?;
        }
        Ok(Reply::Done)
    }

    pub(super) async fn read_wave(&self, id: u64) -> Result<Reply> {
        self.replica.read().await?;
        let state = self.replica.state();
        let wave = state.batch().wave(id);
        Ok(wave.map_or(Reply::Denied(Denial::NoWave), |w| Reply::Wave(w.is_done())))
    }

    /// Takes what came of a chore and gives out the next.
    pub(super) async fn help(&self, helper: ExternalCallRequest) -> Result<Reply> {
        let idle = !is_needed(self.replica.state().batch(), helper.kind);
        if idle && helper.result.is_none() {
            return Ok(Reply::External(Err(false)));
        }
        self.replica.read().await?;
        self.outside.borrow_mut().enter(self.replica.status().term, self.clock.now());
        if let Some(outcome) = helper.result {
            event::ExternalCallDone { outcome: format!("{outcome:?}") }.emit();
            self.take(outcome).await?;
            self.kick.notify_one();
        }
        let chore = match helper.kind {
            ExternalCallKind::Questions => self.question().await,
            ExternalCallKind::Machines if named(helper.control).as_ref() == Some(&self.own) => {
                self.machines().await?
            }
            ExternalCallKind::Machines => None,
        };
        if let Some(chore) = &chore {
            event::ExternalCallAssigned { chore: format!("{chore:?}") }.emit();
        }
        Ok(Reply::External(chore.ok_or(true)))
    }

    async fn take(&self, outcome: ExternalResult) -> Result<()> {
        match outcome {
            ExternalResult::Permitted(permitted) => self.note_permits(permitted),
            ExternalResult::Listed(machines) => {
                let mut outside = self.outside.borrow_mut();
                outside.fleet.set_machines(machines);
                outside.listed = Some(self.clock.now());
            }
            ExternalResult::TakenDown {
                wave,
                machine,
                word: TakedownResult::Done | TakedownResult::Foreign,
            } => {
                self.propose_one(Event::MaintenanceBegun { wave, machine }).await?;
            }
            ExternalResult::TakenDown { word: TakedownResult::Fenced, .. } => {
                self.outside.borrow_mut().fenced = true;
            }
            ExternalResult::TakenDown {
                word: TakedownResult::Busy | TakedownResult::Unknown,
                ..
            } => {}
        }
        Ok(())
    }

    fn note_permits(&self, permitted: Permitted) {
        let Permitted { step, tickets, valid } = permitted;
        let until = self.replica.log_time() + Duration::from_millis(valid);
        let state = self.replica.state();
        let life = |worker: &str| {
            let known = state.batch().workers().find(|w| &*w.spec.incarnation.worker == worker);
            known.map(|w| w.spec.incarnation.clone())
        };
        let permits = tickets.into_iter().filter_map(|(w, ticket)| Some((life(&w)?, ticket)));
        self.outside.borrow_mut().permits.record(step, until, permits);
    }

    /// The next question, for which it waits a while.
    async fn question(&self) -> Option<ExternalCall> {
        let end = self.clock.now() + PARK;
        let mut watch = self.replica.watch();
        loop {
            watch.borrow_and_update();
            let asked = self.ask_once();
            let left = end.since(self.clock.now());
            if asked.is_some() || left.is_zero() || !self.replica.leads() {
                return asked.map(ExternalCall::Ask);
            }
            // Either end of the wait leads to the same next step.
            let _ = timeout(left, watch.changed()).await;
        }
    }

    fn ask_once(&self) -> Option<Question> {
        let scene = self.scene();
        let state = self.replica.state();
        self.outside.borrow_mut().permits.next_question(state.batch(), &scene)
    }

    /// The next order for a machine, or a look at all of them.
    async fn machines(&self) -> Result<Option<ExternalCall>> {
        let now = self.clock.now();
        let (old, early, epoch) = {
            let outside = self.outside.borrow();
            let old = outside.listed.is_none_or(|at| now.since(at) > LIST_AGE);
            (old, outside.fenced || now.since(outside.since) < TURN, outside.term)
        };
        if old {
            return Ok(Some(ExternalCall::List));
        }
        if early {
            return Ok(None);
        }
        let scene = self.scene();
        let (events, down) = {
            let state = self.replica.state();
            self.outside.borrow_mut().fleet.plan(state.batch(), &scene)
        };
        if !events.is_empty() {
            self.propose(events).await?;
        }
        self.kick.notify_one();
        Ok(down.map(|d| ExternalCall::TakeDown { wave: d.wave, machine: d.machine, epoch }))
    }
}

/// Whether there is anything of a kind to do.
fn is_needed(ledger: &Ledger, duty: ExternalCallKind) -> bool {
    match duty {
        ExternalCallKind::Questions => {
            ledger.config().is_some_and(|c| c.queues.iter().any(|q| q.advice.is_some()))
        }
        ExternalCallKind::Machines => MaintenancePlanner::needs_machines(ledger),
    }
}
