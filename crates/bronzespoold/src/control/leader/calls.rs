//! Answers calls, one method for each.

use {
    crate::{
        clock::Clock,
        control::{
            batch::Batch,
            leader::{
                burn::Counted, cancel::Cancels, checkpoints::Checkpoints, presence::Hubs,
                shares::Granter,
            },
            replica::{Replica, Result},
            state::{Command, Effect},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Instance, Refusal, Shape},
        flow::{claim::Retention, view::Presence},
        schedule::Planner,
        wire::message::{Announce, Answered, Call, Reply},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// When to come back while there is no leader.
const LEADER_RETRY: Duration = Duration::from_millis(300);

/// The leader's part of a control instance; it answers only while this replica leads.
pub(in crate::control) struct Leader {
    pub(super) clock: Clock,
    pub(super) replica: Rc<Replica>,
    pub(in crate::control) batch: Rc<Batch>,
    pub(super) hubs: RefCell<Hubs>,
    pub(super) counted: RefCell<Counted>,
    pub(super) granter: RefCell<Granter>,
    pub(super) planner: RefCell<(u64, Planner)>,
    pub(super) checkpoints: RefCell<Checkpoints>,
    pub(super) cancels: Cancels,
    pub(super) horizon: Retention,
    pub(super) reserve: Option<Shape>,
    pub(super) lease: Duration,
}

impl Leader {
    /// The leader's part over a replica. `lease` is the hubs' lease with its margin.
    pub(in crate::control) fn new(
        clock: Clock,
        replica: Rc<Replica>,
        horizon: Retention,
        reserve: Option<Shape>,
        lease: Duration,
        own: Instance,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            batch: Batch::new(clock, Rc::clone(&replica), own),
            replica,
            hubs: RefCell::default(),
            counted: RefCell::default(),
            granter: RefCell::default(),
            planner: RefCell::default(),
            checkpoints: RefCell::default(),
            cancels: Cancels::default(),
            horizon,
            reserve,
            lease,
        })
    }

    /// Answers a call, if this replica leads.
    pub(in crate::control) async fn answer(&self, call: Call) -> Answered {
        if !self.replica.leads() {
            return Err(Refusal::from(Code::NoLeader).retry_after(LEADER_RETRY));
        }
        match call {
            Call::Claim(request) => self.claim(&request).await,
            Call::Look(id) => self.look(&id).await,
            Call::Complete { id, attempt, completion } => {
                self.complete(&id, attempt, &completion).await
            }
            Call::Publish { base, operation, digest, services, removed } => {
                self.publish(base, operation, digest, services, removed).await
            }
            Call::InForce(revision) => self.in_force(revision).await,
            Call::Submit { spec, digest } => self.submit(*spec, digest).await,
            Call::Cancel(jobs) => self.cancel(jobs).await,
            Call::Job(job) => self.job(&job).await,
            Call::Jobs => self.jobs().await,
            Call::Explain(job) => self.explain(&job).await,
            Call::Status => self.status().await,
            Call::Drain { instance, leaving } => self.drain(instance, leaving).await,
            Call::Announce(announce) => self.announce(announce).await,
            Call::Progress(progress) => self.progress(progress),
            Call::Answers { holder, counts } => Ok(self.answers(holder, counts)),
            Call::Burn => self.burn(),
            Call::Shares { holder, reports } => self.shares(holder, reports).await,
            Call::Report(report) => self.report(&report).await,
            Call::Batch(call) => self.batch.answer(call).await,
            // Every control instance answers this by itself.
            Call::Where => Err(Code::Internal.into()),
        }
    }

    async fn announce(&self, announce: Announce) -> Answered {
        let at = self.replica.log_time();
        let instance = announce.place.instance.clone();
        if let Some(incarnation) = self.unchanged(&announce).await? {
            let index = self.replica.state().index();
            return Ok(Reply::Announced { incarnation, index });
        }
        self.hubs.borrow_mut().announce(&instance, self.clock.now());
        match self.replica.propose(&Command::Announce { at, announce }).await? {
            Effect::Announced(incarnation) => {
                let index = self.replica.state().index();
                event::AgentAnnounced { instance: instance.clone(), incarnation }.tell();
                Ok(Reply::Announced { incarnation, index })
            }
            _ => Err(Code::Internal.into()),
        }
    }

    /// An agent that only changes its hub needs no record.
    async fn unchanged(&self, announce: &Announce) -> Result<Option<u64>> {
        self.replica.read().await?;
        let state = self.replica.state();
        let known = state.peers().get(&announce.place.instance).filter(|p| {
            p.nonce == announce.nonce
                && p.address == announce.address
                && p.services == announce.services
                && p.capacity == announce.capacity
                && p.place == announce.place
                && (p.presence == Presence::Draining) == announce.leaving
        });
        Ok(known.filter(|p| p.presence != Presence::Down).map(|p| p.incarnation))
    }

    async fn drain(&self, instance: Instance, leaving: bool) -> Answered {
        self.replica.read().await?;
        let incarnation = self.replica.state().peers().get(&instance).map(|p| p.incarnation);
        let Some(incarnation) = incarnation else {
            let message = format!("no instance {instance} is announced");
            return Err(Refusal::new(Code::UnknownInstance, message));
        };
        let presence = if leaving { Presence::Draining } else { Presence::Up };
        self.set_presence(instance, incarnation, presence).await?;
        Ok(Reply::Noted)
    }

    pub(super) async fn set_presence(
        &self,
        instance: Instance,
        incarnation: u64,
        presence: Presence,
    ) -> Result<()> {
        let at = self.replica.log_time();
        let command = Command::Presence { at, instance, incarnation, presence };
        match self.replica.propose(&command).await? {
            Effect::Refused(code) => Err(code.into()),
            _ => Ok(()),
        }
    }
}
