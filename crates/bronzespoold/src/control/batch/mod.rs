//! Jobs of steps of tasks at the leader: callers' requests, agents' polls, the planner.

mod agents;
mod asks;
mod planner;
mod polls;

use {
    crate::{
        clock::Clock,
        control::{
            batch::agents::Agents,
            replica::{Replica, Result},
            state::{Command, Effect},
        },
    },
    bronzespool::{
        batch::{Event, Record, Verdict, message},
        core::{Code, Refusal},
        wire::message::{Answered, Reply},
    },
    std::{cell::RefCell, rc::Rc},
    tokio::sync::Notify,
};

/// The leader's part for jobs of steps of tasks.
pub(in crate::control) struct Batch {
    clock: Clock,
    replica: Rc<Replica>,
    agents: RefCell<Agents>,
    /// Wakes the planner.
    kick: Notify,
}

impl Batch {
    pub(in crate::control) fn new(clock: Clock, replica: Rc<Replica>) -> Rc<Self> {
        Rc::new(Self { clock, replica, agents: RefCell::default(), kick: Notify::new() })
    }

    /// Answers a call; the caller has checked that this replica leads.
    pub(in crate::control) async fn answer(&self, call: message::Call) -> Answered {
        let reply = match call {
            message::Call::Ask(caller, ask) => self.ask(&caller, ask).await?,
            message::Call::Poll(poll) => self.poll(*poll).await?,
            message::Call::Configure(config) => self.configure(config).await?,
            message::Call::ReadConfig => self.read_config().await?,
            message::Call::Ping => {
                self.replica.read().await?;
                match self.replica.state().batch().config() {
                    Some(_) => message::Reply::Done,
                    None => message::Reply::Denied(message::Denial::NoConfig),
                }
            }
        };
        Ok(Reply::Batch(reply))
    }

    async fn propose(&self, events: Vec<Event>) -> Result<Vec<Verdict>> {
        let record = Record { at: self.replica.log_time(), events };
        match self.replica.propose(&Command::Batch(record)).await? {
            Effect::Batch(verdicts) => Ok(verdicts),
            _ => Err(Refusal::from(Code::Internal)),
        }
    }

    async fn propose_one(&self, event: Event) -> Result<Verdict> {
        let verdicts = self.propose(vec![event]).await?;
        verdicts.first().copied().ok_or_else(|| Refusal::from(Code::Internal))
    }
}
