//! The moves of a history.

use crate::{fault::FaultKind, message::Kind, state::ModelState};

/// One move. A message is named by its kind and its place among those in flight, the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Move {
    /// Time passes; the worker checks in.
    Tick,
    /// The agent polls the leader.
    Poll,
    /// The agent polls the leader and gets its orders at once, if the poll reports nothing new.
    PollNow,
    /// The agent requests the worker's list.
    List,
    /// The agent requests the worker's list and gets it at once.
    ListNow,
    /// A message arrives.
    Deliver(Kind, usize),
    /// The oldest record that is on its way is applied.
    Commit,
    /// The leader answers a poll.
    Answer(usize),
    /// The leader plans, and assigns free tasks to the worker.
    PlanHome,
    /// The leader plans, and assigns free tasks to another worker.
    PlanElsewhere,
    /// A run on the worker completes.
    Finish(usize),
    /// A run on another worker completes.
    FinishElsewhere(usize),
    /// The worker's answers and check-ins reach the agent again.
    Heal,
    /// The agent's process goes on.
    Thaw,
    /// A message is lost; the sender of a call learns that there is no answer.
    Lose(Kind, usize),
    /// The sender of a call learns that there is no answer; the call may still arrive.
    GiveUp(Kind, usize),
    /// A message arrives twice.
    Duplicate(Kind, usize),
    /// The worker refuses a call with nothing done.
    Refuse(Kind, usize),
    /// The leader ends the wait of a poll for its record, which may still be applied.
    FailPoll(usize),
    /// The leader ends the wait of a plan for its record, which may still be applied.
    FailPlan,
    /// Another leader takes over, with the records that are on their way.
    NewLeader,
    /// Another leader takes over, and the records that are on their way are lost.
    NewLeaderWithoutRecords,
    /// The agent's process is replaced.
    NewAgent,
    /// The worker is replaced by one with another name.
    NewWorker,
    /// The worker is replaced by one with another name that looks older.
    NewOlderWorker,
    /// The worker starts again under its name.
    RestartWorker,
    /// The worker's answers and check-ins do not reach the agent.
    Cut,
    /// The worker accepts no new tasks any more.
    Drain,
    /// The worker's data centre is drained, or the drain is revoked.
    ToggleCenter,
    /// The agent's process stands still.
    Freeze,
    /// A job is cancelled.
    Cancel(u64),
}

impl Move {
    /// Returns the kind of fault that the move is; none for a move without fault.
    pub(crate) const fn fault(self) -> Option<FaultKind> {
        match self {
            Self::Lose(..) | Self::GiveUp(..) => Some(FaultKind::Message),
            Self::Duplicate(Kind::Poll, _) => Some(FaultKind::Poll),
            Self::Duplicate(..) => Some(FaultKind::DoubleCall),
            Self::Refuse(..) => Some(FaultKind::Refusal),
            Self::FailPoll(_) | Self::FailPlan => Some(FaultKind::Record),
            Self::NewLeader | Self::NewLeaderWithoutRecords => Some(FaultKind::Leader),
            Self::NewAgent => Some(FaultKind::Agent),
            Self::NewWorker => Some(FaultKind::Replacement),
            Self::NewOlderWorker => Some(FaultKind::ClockSetBack),
            Self::RestartWorker => Some(FaultKind::Restart),
            Self::Cut => Some(FaultKind::Silence),
            Self::Drain => Some(FaultKind::Drain),
            Self::ToggleCenter => Some(FaultKind::CenterDrain),
            Self::Freeze => Some(FaultKind::Freeze),
            Self::Cancel(_) => Some(FaultKind::Cancel),
            _ => None,
        }
    }

    /// Returns how often a random history contains the move, relative to others.
    pub(crate) fn weight(self, state: &ModelState) -> usize {
        match self {
            Self::Deliver(kind, place) if state.lingers(kind, place) => 1,
            Self::Deliver(_, 0) => 8,
            Self::ListNow | Self::PollNow | Self::Commit | Self::Answer(_) => 5,
            Self::Tick => 4,
            Self::Poll | Self::List | Self::Heal | Self::Thaw => 2,
            Self::PlanHome | Self::PlanElsewhere => 3,
            _ => 1,
        }
    }
}

/// Returns the moves without fault that a state allows.
pub(crate) fn regular_moves(state: &ModelState) -> Vec<Move> {
    let mut moves = vec![Move::Tick];
    if state.may_list() {
        moves.push(Move::ListNow);
        moves.extend(state.scope.lists_wait.then_some(Move::List));
    }
    if state.may_poll() {
        moves.push(Move::Poll);
        moves.extend(state.scope.plans.then_some(Move::PollNow));
    }
    for kind in Kind::ALL {
        let places = state.places(kind).filter(|i| state.is_deliverable(kind, *i));
        moves.extend(places.map(|i| Move::Deliver(kind, i)));
    }
    if state.scope.plans && !state.leader.is_planning() {
        moves.extend([Move::PlanHome, Move::PlanElsewhere]);
    }
    if state.scope.records_wait {
        moves.extend(state.leader.has_proposals().then_some(Move::Commit));
        moves.extend(state.leader.answerable().map(Move::Answer));
    }
    moves.extend(state.cut.then_some(Move::Heal));
    moves.extend(state.frozen.then_some(Move::Thaw));
    moves.extend((0..state.worker.runs.len()).map(Move::Finish));
    moves.extend((0..state.leader.runs_elsewhere().count()).map(Move::FinishElsewhere));
    moves
}

/// Returns the moves of a kind of fault that a state allows.
pub(crate) fn fault_moves(state: &ModelState, fault: FaultKind) -> Vec<Move> {
    match fault {
        FaultKind::Message => message_faults(state),
        FaultKind::DoubleCall => call_moves(state, Move::Duplicate),
        FaultKind::Refusal => call_moves(state, Move::Refuse),
        FaultKind::Poll => {
            state.places(Kind::Poll).map(|i| Move::Duplicate(Kind::Poll, i)).collect()
        }
        FaultKind::Record => {
            let plan = state.leader.is_planning().then_some(Move::FailPlan);
            state.leader.unanswerable().map(Move::FailPoll).chain(plan).collect()
        }
        FaultKind::Leader => match state.leader.has_proposals() {
            true => vec![Move::NewLeader, Move::NewLeaderWithoutRecords],
            false => vec![Move::NewLeader],
        },
        FaultKind::Agent => vec![Move::NewAgent],
        FaultKind::Replacement => vec![Move::NewWorker],
        FaultKind::ClockSetBack => vec![Move::NewOlderWorker],
        FaultKind::Restart => vec![Move::RestartWorker],
        FaultKind::Silence => vec![Move::Cut],
        FaultKind::Drain => vec![Move::Drain],
        FaultKind::CenterDrain => vec![Move::ToggleCenter],
        FaultKind::Freeze => vec![Move::Freeze],
        FaultKind::Cancel => (1..=state.scope.jobs).map(Move::Cancel).collect(),
    }
}

fn message_faults(state: &ModelState) -> Vec<Move> {
    let mut moves = Vec::new();
    for kind in Kind::ALL {
        moves.extend(state.places(kind).map(|i| Move::Lose(kind, i)));
        if kind.is_call() {
            moves.extend(state.places(kind).map(|i| Move::GiveUp(kind, i)));
        }
    }
    moves
}

fn call_moves(state: &ModelState, make: fn(Kind, usize) -> Move) -> Vec<Move> {
    let kinds = [Kind::Start, Kind::Stop];
    kinds.into_iter().flat_map(|k| state.places(k).map(move |i| make(k, i))).collect()
}
