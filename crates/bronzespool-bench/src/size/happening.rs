//! What happens in the model. Agents and workers are given by their number.

use {
    crate::size::{leader::WaitingPoll, site::Timer},
    bronzespool::{
        batch::{
            Event,
            agent::{Action, ListRequest, Listing, StartOutcome, StopOutcome},
            message::{Orders, Poll},
        },
        core::Time,
    },
};

/// What goes on once a record is applied.
#[derive(Debug)]
pub(super) enum After {
    /// Nothing but a notification of the planner.
    Nothing,
    /// The poll that brought the events is answered.
    Answer(usize, WaitingPoll),
    /// The planner goes on.
    Plan,
}

/// Answer to a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallAnswer {
    /// Answer to a start.
    Start(StartOutcome),
    /// Answer to a stop.
    Stop(StopOutcome),
}

/// Something that happens at a point in time.
#[derive(Debug)]
pub(super) enum Happening {
    /// The first job may arrive.
    StreamBegins,
    /// The last job has arrived.
    StreamEnds,
    /// A job arrives at the leader.
    Submit(usize),
    /// A worker checks in.
    CheckIn(usize),
    /// A poll that was sent at a time arrives at the leader.
    PollArrives(usize, Time, Box<Poll>),
    /// A poll with a serial number has waited for orders for the longest time.
    WaitEnds(usize, u64),
    /// Orders arrive at the agent, with its poll and when it sent that.
    OrdersArrive(usize, Time, Box<Poll>, Box<Orders>),
    /// A record is applied.
    Commit(Vec<Event>, After),
    /// An agent requests the next list of its list loop.
    ListLoop(usize),
    /// A list request arrives at the worker; the flag tells whether it belongs to the list loop.
    ListArrives(usize, ListRequest, bool),
    /// A list request with a serial number has waited for news for the longest time.
    ListWaitEnds(usize, u64),
    /// A list arrives at the agent.
    ListAnswered(usize, ListRequest, Box<Listing>, bool),
    /// A call arrives at the worker.
    CallArrives(usize, Box<Action>),
    /// The answer to a call arrives at the agent.
    CallAnswered(usize, Box<Action>, CallAnswer),
    /// A run ends.
    RunEnds(Timer),
    /// A plan is made.
    Plan,
    /// The planner has waited for a change for the longest time.
    PlanDue(u64),
}
