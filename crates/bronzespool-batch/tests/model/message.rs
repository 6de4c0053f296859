//! Messages in flight between leader, agent and worker.

use {
    bronzespool_batch::{
        RunId, WorkerIncarnation,
        agent::{Action, ListRequest, Listing, StartOutcome, StopOutcome},
        ledger::WorkerSpec,
        message::{Orders, Poll},
    },
    bronzespool_core::Time,
};

/// Kind of a message. A move names a message by its kind and its place among those in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Poll,
    Orders,
    Start,
    Stop,
    Answer,
    List,
    Listing,
    CheckIn,
}

impl Kind {
    /// All kinds.
    pub(crate) const ALL: [Self; 8] = [
        Self::Poll,
        Self::Orders,
        Self::Start,
        Self::Stop,
        Self::Answer,
        Self::List,
        Self::Listing,
        Self::CheckIn,
    ];

    /// Whether the message is a call to the worker.
    pub(crate) const fn is_call(self) -> bool {
        matches!(self, Self::Start | Self::Stop | Self::List)
    }

    /// Whether the message goes to the agent.
    pub(crate) const fn is_for_agent(self) -> bool {
        matches!(self, Self::Orders) || self.is_from_worker()
    }

    /// Whether the message goes from the worker to its agent.
    pub(crate) const fn is_from_worker(self) -> bool {
        matches!(self, Self::Answer | Self::Listing | Self::CheckIn)
    }
}

/// Outcome of a list request.
#[derive(Clone, Debug)]
pub(crate) enum ListAnswer {
    Listed(Listing),
    Fenced,
    Unanswered,
}

/// Content of a message.
#[derive(Clone, Debug)]
pub(crate) enum Body {
    Poll(Box<Poll>),
    Orders(Box<Poll>, Box<Orders>),
    Call(Action),
    StartAnswer(WorkerIncarnation, RunId, StartOutcome),
    StopAnswer(WorkerIncarnation, RunId, StopOutcome),
    List(ListRequest),
    Listing(ListRequest, ListAnswer),
    CheckIn(Box<WorkerSpec>, u64),
}

/// A message in flight.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    /// When the exchange began that this message is part of.
    pub(crate) sent: Time,
    /// Whether the process that began the exchange still waits for its outcome.
    pub(crate) awaited: bool,
    pub(crate) body: Body,
}

impl Message {
    /// Returns a message of an exchange whose outcome the agent waits for.
    pub(crate) const fn new(sent: Time, body: Body) -> Self {
        Self { sent, awaited: true, body }
    }

    /// Returns the kind of the message.
    pub(crate) const fn kind(&self) -> Kind {
        match &self.body {
            Body::Poll(_) => Kind::Poll,
            Body::Orders(..) => Kind::Orders,
            Body::Call(Action::Start { .. }) => Kind::Start,
            Body::Call(_) => Kind::Stop,
            Body::StartAnswer(..) | Body::StopAnswer(..) => Kind::Answer,
            Body::List(_) => Kind::List,
            Body::Listing(..) => Kind::Listing,
            Body::CheckIn(..) => Kind::CheckIn,
        }
    }
}
