//! Jobs of steps of tasks at the leader: callers' requests, agents' polls, the planner.

mod agents;
mod asks;
mod chores;
mod gauges;
mod planner;
mod polls;
mod story;

use {
    crate::{
        clock::Clock,
        control::{
            batch::{
                agents::Agents,
                chores::Outside,
                story::{Held, Story},
            },
            replica::{Replica, Result},
            state::{Command, Effect},
        },
    },
    bronzespool::{
        batch::{Event, EventOutcome, Record, message},
        core::{Code, Instance, Refusal},
        wire::message::{CallResult, Reply},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::sync::Notify,
};

/// The leader's part for jobs of steps of tasks.
pub(in crate::control) struct Batch {
    clock: Clock,
    replica: Rc<Replica>,
    agents: RefCell<Agents>,
    story: RefCell<Story>,
    outside: RefCell<Outside>,
    /// Name of this instance.
    own: Instance,
    /// Wakes the planner.
    kick: Notify,
}

impl Batch {
    pub(in crate::control) fn new(clock: Clock, replica: Rc<Replica>, own: Instance) -> Rc<Self> {
        Rc::new(Self {
            clock,
            replica,
            agents: RefCell::default(),
            story: RefCell::default(),
            outside: RefCell::default(),
            own,
            kick: Notify::new(),
        })
    }

    /// Answers a call; the caller has checked that this replica leads.
    pub(in crate::control) async fn answer(&self, call: message::Call) -> CallResult {
        let reply = match call {
            message::Call::Job(caller, ask) => self.ask(&caller, ask).await?,
            message::Call::Poll(poll) => self.poll(*poll).await?,
            message::Call::Configure(config) => self.configure(config).await?,
            message::Call::ReadConfig => self.read_config().await?,
            message::Call::OrderWave(spec) => self.order_wave(spec).await?,
            message::Call::ReadWave(id) => self.read_wave(id).await?,
            message::Call::External(helper) => self.help(*helper).await?,
            message::Call::Ping(relay) => {
                self.replica.read().await?;
                self.agents.borrow_mut().note_relay(self.clock.now(), relay);
                match self.replica.state().batch().config() {
                    Some(_) => message::Reply::Done,
                    None => message::Reply::Denied(message::Denial::NoConfig),
                }
            }
        };
        Ok(Reply::Batch(reply))
    }

    /// Processes that pass on calls, as far as this instance knows.
    pub(in crate::control) fn relays(&self) -> Vec<SocketAddr> {
        self.agents.borrow_mut().relays(self.clock.now())
    }

    /// Puts events into the log and waits until they are applied.
    async fn propose(&self, events: Vec<Event>) -> Result<Vec<EventOutcome>> {
        let begun = self.clock.now();
        let held = Held::of(self.replica.state().batch(), &events);
        let command = Command::Batch(Record { at: self.replica.log_time(), events });
        let effect = self.replica.propose(&command).await?;
        let took = self.clock.now().since(begun);
        metrics::histogram!("bronzespool_batch_commit_seconds").record(took.as_secs_f64());
        let (Command::Batch(record), Effect::Batch(verdicts)) = (&command, effect) else {
            return Err(Refusal::from(Code::Internal));
        };
        let agents = self.agents.borrow();
        let heard = |agent: &Instance| agents.views.get(agent).map(|v| begun.since(v.seen));
        let mut story = self.story.borrow_mut();
        story.tell(self.replica.state().batch(), &held, record, &verdicts, heard);
        Ok(verdicts)
    }

    async fn propose_one(&self, event: Event) -> Result<EventOutcome> {
        let verdicts = self.propose(vec![event]).await?;
        verdicts.first().copied().ok_or_else(|| Refusal::from(Code::Internal))
    }
}
