//! The leader component, and the dispatch of calls to its methods.

use {
    crate::{
        clock::Clock,
        control::{
            batch::BatchController,
            leader::{
                burn::BurnAggregator, cancel::CancelQueue, checkpoints::Checkpoints,
                presence::Hubs, shares::ShareGranter,
            },
            replica::{Replica, Result},
            state::{Command, Effect},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Instance, Refusal, Shape, settings::JobPolicy},
        flow::{
            claim::{Incarnation, Retention},
            view::Presence,
        },
        schedule::Planner,
        wire::message::{Announce, Call, CallResult, Reply},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Retry delay that callers are given while there is no leader.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The leader component of a control instance. It answers calls only while this replica leads.
pub(in crate::control) struct Leader {
    pub(super) clock: Clock,
    pub(super) replica: Rc<Replica>,
    pub(in crate::control) batch: Rc<BatchController>,
    pub(super) hubs: RefCell<Hubs>,
    pub(super) burn_aggregator: RefCell<BurnAggregator>,
    pub(super) granter: RefCell<ShareGranter>,
    /// The planner, with the term that it belongs to.
    pub(super) planner: RefCell<(u64, Planner)>,
    pub(super) checkpoints: RefCell<Checkpoints>,
    pub(super) cancel_queue: CancelQueue,
    pub(super) retention: Retention,
    pub(super) reserve: Option<Shape>,
    pub(super) lease: Duration,
}

impl Leader {
    /// Creates the leader component of a replica. `lease` is the lease of the hubs including its
    /// margin.
    pub(in crate::control) fn new(
        clock: Clock,
        replica: Rc<Replica>,
        retention: Retention,
        reserve: Option<Shape>,
        lease: Duration,
        own: Instance,
        policy: JobPolicy,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            batch: BatchController::new(clock, Rc::clone(&replica), own, policy),
            replica,
            hubs: RefCell::default(),
            burn_aggregator: RefCell::default(),
            granter: RefCell::default(),
            planner: RefCell::default(),
            checkpoints: RefCell::default(),
            cancel_queue: CancelQueue::default(),
            retention,
            reserve,
            lease,
        })
    }

    /// Answers a call, if this replica leads.
    pub(in crate::control) async fn answer(&self, call: Call) -> CallResult {
        if !self.replica.leads() {
            return Err(Refusal::from(Code::NoLeader).retry_after(LEADER_RETRY_DELAY));
        }
        match call {
            Call::Claim(request) => self.claim(&request).await,
            Call::ReadClaim(id) => self.lookup_claim(&id).await,
            Call::Complete { id, attempt, completion } => {
                self.complete(&id, attempt, &completion).await
            }
            Call::Leave(incarnation) => self.leave(incarnation).await,
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
            Call::DrainIncarnation(incarnation) => self.drain_incarnation(incarnation).await,
            Call::Announce(announce) => self.announce(announce).await,
            Call::Progress(progress) => self.progress(progress),
            Call::Answers { holder, counts } => Ok(self.record_answers(holder, counts)),
            Call::Burn => self.burn_rates(),
            Call::Shares { holder, reports } => self.shares(holder, reports).await,
            Call::Report(report) => self.report(&report).await,
            Call::Center(center) => self.center(&center).await,
            Call::ChangeCenter(change) => self.change_center(change).await,
            Call::Batch(call) => self.batch.answer(call).await,
            // Every control instance answers the first call itself; the other one goes to relays.
            Call::LocateControl | Call::Relayed { .. } => Err(Code::Internal.into()),
        }
    }

    async fn announce(&self, announce: Announce) -> CallResult {
        let at = self.replica.log_time();
        let instance = announce.place.instance.clone();
        if let Some(incarnation) = self.unchanged_incarnation(&announce).await? {
            let index = self.replica.state().index();
            return Ok(Reply::Announced { incarnation, index });
        }
        self.hubs.borrow_mut().record_announcement(&instance, self.clock.now());
        match self.replica.propose(&Command::Announce { at, announce }).await? {
            Effect::Announced(incarnation) => {
                let index = self.replica.state().index();
                event::AgentAnnounced { instance: instance.clone(), incarnation }.emit();
                Ok(Reply::Announced { incarnation, index })
            }
            _ => Err(Code::Internal.into()),
        }
    }

    /// Incarnation of an agent that announces itself unchanged, as after moving to another hub.
    /// Such an announcement needs no log entry.
    async fn unchanged_incarnation(&self, announce: &Announce) -> Result<Option<u64>> {
        self.replica.read_barrier().await?;
        let state = self.replica.state();
        let known = state.endpoints().get(&announce.place.instance).filter(|p| {
            p.nonce == announce.nonce
                && p.address == announce.address
                && p.services == announce.services
                && p.capacity == announce.capacity
                && p.place == announce.place
                && (p.presence == Presence::Draining) == announce.leaving
        });
        Ok(known.filter(|p| p.presence != Presence::Down).map(|p| p.incarnation))
    }

    async fn drain(&self, instance: Instance, leaving: bool) -> CallResult {
        self.replica.read_barrier().await?;
        let incarnation = self.replica.state().endpoints().get(&instance).map(|p| p.incarnation);
        let Some(incarnation) = incarnation else {
            let message = format!("no instance {instance} is announced");
            return Err(Refusal::new(Code::UnknownInstance, message));
        };
        let presence = if leaving { Presence::Draining } else { Presence::Up };
        self.set_presence(instance, incarnation, presence).await?;
        Ok(Reply::Acknowledged)
    }

    /// Drains one incarnation of an agent. Whether it is the current one is decided when the record
    /// is applied.
    async fn drain_incarnation(&self, incarnation: Incarnation) -> CallResult {
        let Incarnation { instance, number } = incarnation;
        self.set_presence(instance, number, Presence::Draining).await?;
        Ok(Reply::Acknowledged)
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
