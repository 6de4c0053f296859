//! Searches for histories that violate an invariant.

use {
    crate::{
        fault::InjectedFault,
        invariant::Invariant,
        message::Kind,
        moves::{Move, fault_moves, regular_moves},
        scope::Scope,
        state::ModelState,
    },
    bronzespool_core::HashSet,
    std::{collections::VecDeque, fmt},
};

/// Most moves of a history in the search by breadth.
const BREADTH_MOVES_MAX: usize = 13;
/// Limits on the faults of a history in the search by breadth, tried in turn; with fewer faults it
/// gets deeper.
const BREADTH_FAULT_LIMITS: [u8; 3] = [0, 1, 2];
/// Most states that the search by breadth explores for each limit on faults.
const BREADTH_STATES_MAX: usize = 25_000;
/// Moves of a random history.
const RANDOM_MOVES: usize = 60;
/// Share of the moves of a random history that are faults, in percent.
const RANDOM_FAULT_PERCENT: u8 = 25;
/// Number of random histories of which one is checked for progress.
const PROGRESS_INTERVAL: u64 = 4;

/// Moves at the start of some random histories, as far as they are possible: the first task ends, and
/// the second one is assigned to the worker when all processes have run for a while.
const SETTLED_MOVES: &[Move] = &[
    Move::Deliver(Kind::Start, 0),
    Move::Deliver(Kind::Answer, 0),
    Move::ListNow,
    Move::Tick,
    Move::ListNow,
    Move::PollNow,
    Move::Tick,
    Move::ListNow,
    Move::PollNow,
    Move::Tick,
    Move::ListNow,
    Move::PollNow,
    Move::Finish(0),
    Move::ListNow,
    Move::PollNow,
    Move::Commit,
    Move::Answer(0),
    Move::Deliver(Kind::Orders, 0),
    Move::Tick,
    Move::ListNow,
    Move::PollNow,
    Move::Tick,
    Move::ListNow,
    Move::PollNow,
    Move::PlanHome,
    Move::Commit,
    Move::PollNow,
];
/// Moves at the start of some random histories, as far as they are possible: the agent drops a
/// silent worker, which comes back then.
const SILENT_MOVES: &[Move] = &[
    Move::Deliver(Kind::Start, 0),
    Move::Cut,
    Move::Tick,
    Move::ListNow,
    Move::Tick,
    Move::Tick,
    Move::Tick,
    Move::Tick,
    Move::Heal,
    Move::Deliver(Kind::CheckIn, 0),
    Move::ListNow,
];
/// Beginnings of random histories.
const BEGINNINGS: [&[Move]; 4] = [&[], &[], SETTLED_MOVES, SILENT_MOVES];

/// Moves at the start of every history, after which the start order is on its way to the worker.
pub(crate) const INITIAL_MOVES: [Move; 4] =
    [Move::ListNow, Move::Poll, Move::Deliver(Kind::Poll, 0), Move::Deliver(Kind::Orders, 0)];

/// A violated invariant, and the history that violates it.
pub(crate) struct Violation {
    pub(crate) invariant: Invariant,
    pub(crate) history: Vec<Move>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; after the initial moves:", self.invariant)?;
        self.history.iter().enumerate().try_for_each(|(i, m)| write!(f, "\n{:3} {m:?}", i + 1))
    }
}

/// A search for violations.
#[derive(Clone, Copy)]
pub(crate) struct Search<'a> {
    pub(crate) scope: Scope,
    pub(crate) injected: InjectedFault,
    /// Invariants that are checked.
    pub(crate) invariants: &'a [Invariant],
}

impl Search<'_> {
    /// Returns a search of the code as it is for violations of all invariants.
    pub(crate) const fn new(scope: Scope) -> Self {
        Self { scope, injected: InjectedFault::None, invariants: &Invariant::ALL }
    }

    fn first_state(&self) -> ModelState {
        let mut first = ModelState::new(self.scope, self.injected);
        for next in INITIAL_MOVES {
            assert!(first.apply_move(next) || first.scope.records_wait);
        }
        while first.apply_move(Move::Answer(0)) {}
        while first.apply_move(Move::Deliver(Kind::Orders, 0)) {}
        first.reset_rounds();
        first
    }

    fn violated(&self, state: &ModelState, with_progress: bool) -> Option<Invariant> {
        let checked = |i: &&Invariant| with_progress || **i != Invariant::Progress;
        self.invariants.iter().filter(checked).find(|i| i.is_violated(state)).copied()
    }

    /// Makes the moves of a history, apart from those that are not possible. Returns the first
    /// invariant that is violated, and the number of moves made until then.
    pub(crate) fn replay(&self, history: &[Move]) -> Option<(Invariant, usize)> {
        let mut state = self.first_state();
        for (i, next) in history.iter().enumerate() {
            if state.apply_move(*next)
                && let Some(invariant) = self.violated(&state, false)
            {
                return Some((invariant, i + 1));
            }
        }
        let invariant = self.violated(&state, true);
        invariant.map(|i| (i, history.len()))
    }

    /// Explores all histories, the shortest first, with a rising limit on faults. Returns the first
    /// one that violates an invariant, and the number of states seen.
    pub(crate) fn by_breadth(&self) -> (Option<Violation>, usize) {
        let mut states = 0;
        for faults_max in BREADTH_FAULT_LIMITS {
            let scope = Scope { faults_max, ..self.scope };
            let (violation, seen) = Self { scope, ..*self }.by_breadth_up_to();
            states += seen;
            if violation.is_some() {
                return (violation, states);
            }
        }
        (None, states)
    }

    fn by_breadth_up_to(&self) -> (Option<Violation>, usize) {
        let mut seen = HashSet::default();
        let mut queue = VecDeque::from([(self.first_state(), Vec::new())]);
        while let Some((state, history)) = queue.pop_front() {
            if history.len() == BREADTH_MOVES_MAX || seen.len() >= BREADTH_STATES_MAX {
                continue;
            }
            for candidate in all_moves(&state) {
                let mut next = state.clone();
                if !next.apply_move(candidate) || !seen.insert(next.digest()) {
                    continue;
                }
                let mut history: Vec<Move> = history.clone();
                history.push(candidate);
                if let Some(invariant) = self.violated(&next, false) {
                    return (Some(Violation { invariant, history }), seen.len());
                }
                queue.push_back((next, history));
            }
        }
        (None, seen.len())
    }

    /// Explores random histories, the same ones for the same seeds. Returns a violation, made as
    /// short as possible, and the number of histories.
    pub(crate) fn at_random(&self, seeds: std::ops::Range<u64>) -> (Option<Violation>, u64) {
        let mut count = 0;
        for seed in seeds {
            count += 1;
            if let Some(violation) = self.random_history(seed) {
                return (Some(self.shorten(violation)), count);
            }
        }
        (None, count)
    }

    /// Returns the violation of the random history with a seed.
    fn random_history(&self, seed: u64) -> Option<Violation> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut state, mut history) = self.begin(rng.choice(BEGINNINGS).unwrap_or_default());
        let end = history.len() + RANDOM_MOVES;
        let with_progress = seed.is_multiple_of(PROGRESS_INTERVAL);
        let faults_max = rng.u8(0..=self.scope.faults_max);
        while history.len() < end {
            let fault = state.faults < faults_max && rng.u8(0..100) < RANDOM_FAULT_PERCENT;
            let Some(next) = random_move(&mut rng, &state, fault) else { continue };
            if !state.apply_move(next) {
                continue;
            }
            history.push(next);
            let last = history.len() == end;
            if let Some(invariant) = self.violated(&state, with_progress && last) {
                return Some(Violation { invariant, history });
            }
        }
        None
    }

    /// Makes those moves of a beginning that are possible and within the scope.
    fn begin(&self, beginning: &[Move]) -> (ModelState, Vec<Move>) {
        let mut state = self.first_state();
        let in_scope = |m: &Move| m.fault().is_none_or(|f| self.scope.has(f));
        let moves = beginning.iter().copied().filter(in_scope);
        let made = moves.filter(|m| state.apply_move(*m)).collect();
        state.reset_rounds();
        (state, made)
    }

    /// Leaves out moves that the violation of the same invariant does not need.
    fn shorten(&self, violation: Violation) -> Violation {
        let Violation { invariant, mut history } = violation;
        loop {
            let before = history.len();
            for width in [8, 4, 2, 1] {
                let mut i = 0;
                while i + width <= history.len() {
                    let mut shorter = history.clone();
                    shorter.drain(i..i + width);
                    match self.replay(&shorter) {
                        Some((found, length)) if found == invariant => {
                            shorter.truncate(length);
                            history = shorter;
                        }
                        _ => i += 1,
                    }
                }
            }
            if history.len() == before {
                return Violation { invariant, history };
            }
        }
    }
}

fn all_moves(state: &ModelState) -> Vec<Move> {
    let mut moves = regular_moves(state);
    if state.faults < state.scope.faults_max {
        moves.extend(state.scope.faults.iter().flat_map(|f| fault_moves(state, *f)));
    }
    moves
}

fn random_move(rng: &mut fastrand::Rng, state: &ModelState, fault: bool) -> Option<Move> {
    if fault {
        let kind = rng.choice(state.scope.faults)?;
        return rng.choice(fault_moves(state, *kind));
    }
    let moves = regular_moves(state);
    let mut left = rng.usize(0..moves.iter().map(|m| m.weight(state)).sum());
    moves.into_iter().find(|m| {
        let found = left < m.weight(state);
        left = left.saturating_sub(m.weight(state));
        found
    })
}
