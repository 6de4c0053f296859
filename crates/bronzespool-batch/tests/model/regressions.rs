//! Histories that have broken an invariant. Moves that are not possible any more are left out.

use crate::{
    fault::FaultKind,
    message::Kind,
    moves::Move::{self, *},
    scope::Scope,
    search::Search,
};

/// Records are applied at once.
const APPLIED_AT_ONCE: Scope = Scope { faults: FaultKind::ALL, ..Scope::DEPTH };
/// Records are on their way until a move applies them.
const APPLIED_LATER: Scope = Scope { records_wait: true, ..APPLIED_AT_ONCE };
/// Records are applied at once, and no poll overtakes another one of the same process.
const IN_ORDER: Scope =
    Scope { faults: &[FaultKind::Message, FaultKind::Silence], ..APPLIED_AT_ONCE };
/// As applied at once, with leases that outlive the wait for a former process of the agent.
const LONG_LEASES: Scope = Scope { faults: FaultKind::ALL, ..Scope::LATE_CALLS };

#[track_caller]
fn check(scope: Scope, history: &[Move]) {
    if let Some((invariant, moves)) = Search::new(scope).replay(history) {
        panic!("{invariant}, after {moves} of {} moves", history.len());
    }
}

// The worker runs the run, but a list from before its start arrives last, and a repeated start is
// refused.
#[test]
fn refused_start_after_overtaken_list_keeps_run() {
    check(
        APPLIED_AT_ONCE,
        &[
            List,
            Deliver(Kind::List, 0),
            Deliver(Kind::Start, 0),
            Deliver(Kind::Answer, 0),
            ListNow,
            Deliver(Kind::Listing, 0),
            PollNow,
            Refuse(Kind::Start, 0),
            Deliver(Kind::Answer, 0),
            PollNow,
        ],
    );
}

// The worker runs the run, but the answer to a poll from before its start orders it again, and the
// worker refuses this start.
#[test]
fn refused_start_by_earlier_poll_keeps_run() {
    check(
        APPLIED_AT_ONCE,
        &[
            Lose(Kind::Start, 0),
            ListNow,
            Poll,
            Poll,
            Deliver(Kind::Poll, 0),
            Deliver(Kind::Orders, 0),
            Deliver(Kind::Start, 0),
            Deliver(Kind::Answer, 0),
            ListNow,
            Deliver(Kind::Poll, 0),
            Deliver(Kind::Orders, 0),
            Refuse(Kind::Start, 0),
            Deliver(Kind::Answer, 0),
            PollNow,
        ],
    );
}

// A start by the former process of the agent is carried out after the worker has refused one by the
// next process.
#[test]
fn refused_start_of_next_process_keeps_run_of_former_process() {
    check(
        APPLIED_AT_ONCE,
        &[
            NewAgent,
            Tick,
            ListNow,
            PollNow,
            Refuse(Kind::Start, 1),
            Deliver(Kind::Answer, 0),
            PollNow,
            Deliver(Kind::Start, 0),
        ],
    );
}

// The former process's start is carried out, and the worker refuses the one by the next process,
// whose reports count when its list does not show the run yet.
#[test]
fn refused_start_of_next_process_before_a_list_keeps_run_of_former_process() {
    check(
        LONG_LEASES,
        &[
            NewAgent,
            Tick,
            ListNow,
            PollNow,
            Deliver(Kind::Start, 0),
            Tick,
            Refuse(Kind::Start, 0),
            Deliver(Kind::Answer, 0),
            Tick,
            Tick,
            PollNow,
        ],
    );
}

// A start of the former process is on its way while the next one serves the worker, which begins to
// drain.
#[test]
fn drained_worker_of_next_process_keeps_run_of_former_process() {
    check(
        LONG_LEASES,
        &[
            NewAgent,
            Drain,
            Tick,
            ListNow,
            PollNow,
            PollNow,
            Tick,
            Tick,
            Tick,
            PollNow,
            Deliver(Kind::Start, 0),
        ],
    );
}

// Two polls of the former process, which say that the worker refused a run, are late by different
// times, while the next process has started the run and cannot reach the leader.
#[test]
fn late_polls_of_former_process_do_not_end_run_of_next_process() {
    let refused = [
        Finish(0),
        ListNow,
        PollNow,
        PlanHome,
        PollNow,
        Refuse(Kind::Start, 0),
        Deliver(Kind::Answer, 0),
        Tick,
        Poll,
        Poll,
    ];
    let next_process = [
        NewAgent,
        Tick,
        PollNow,
        ListNow,
        PollNow,
        Deliver(Kind::Start, 0),
        Deliver(Kind::Poll, 0),
        Tick,
        Tick,
        Tick,
        Deliver(Kind::Poll, 0),
    ];
    let mut history = vec![Deliver(Kind::Start, 0)];
    // The former process runs for long enough that no earlier one has a call under way.
    (0..11).for_each(|_| history.extend([Tick, ListNow, PollNow]));
    check(LONG_LEASES, &[history.as_slice(), &refused, &next_process].concat());
}

// The next process of the agent starts a run while the record that the worker refused it is on its
// way.
#[test]
fn refused_run_is_not_started_by_next_process_before_record_is_applied() {
    check(
        APPLIED_LATER,
        &[
            Refuse(Kind::Start, 0),
            Deliver(Kind::Answer, 0),
            Poll,
            Deliver(Kind::Poll, 0),
            NewAgent,
            Tick,
            ListNow,
            PollNow,
            Deliver(Kind::Start, 0),
            Commit,
        ],
    );
}

// As before, with a process that has run long enough that no former one has a call under way.
#[test]
fn refused_run_is_not_started_by_next_process_after_long_run() {
    check(
        APPLIED_LATER,
        &[
            Deliver(Kind::Start, 0),
            Tick,
            Tick,
            Tick,
            Finish(0),
            ListNow,
            PollNow,
            Commit,
            Tick,
            Tick,
            PollNow,
            PlanHome,
            Commit,
            PollNow,
            Refuse(Kind::Start, 0),
            Deliver(Kind::Answer, 0),
            PollNow,
            NewAgent,
            Tick,
            PollNow,
            ListNow,
            PollNow,
            Commit,
            Deliver(Kind::Start, 0),
        ],
    );
}

// The next process of the agent reads the worker's clock, and extends its lease by orders for no
// worker, of which the leader knows no grant.
#[test]
fn lease_is_not_extended_by_orders_without_incarnation() {
    check(
        APPLIED_AT_ONCE,
        &[
            Deliver(Kind::Start, 0),
            NewAgent,
            Tick,
            PollNow,
            Tick,
            ListNow,
            ListNow,
            Tick,
            Tick,
            PlanElsewhere,
        ],
    );
}

// A worker answers again after silence, and the agent extends its lease by orders for no worker.
#[test]
fn lease_is_not_extended_after_silence_by_orders_without_incarnation() {
    check(
        APPLIED_AT_ONCE,
        &[
            Cut,
            Tick,
            Deliver(Kind::Start, 0),
            PollNow,
            Tick,
            Tick,
            ListNow,
            Tick,
            PollNow,
            Heal,
            ListNow,
            ListNow,
            Tick,
            PlanElsewhere,
        ],
    );
}

// The leader orders a start while the record that the worker is gone is on its way.
#[test]
fn poll_before_record_of_ended_leases_starts_nothing() {
    check(
        APPLIED_LATER,
        &[
            Lose(Kind::Start, 0),
            ListNow,
            Tick,
            Tick,
            Tick,
            Tick,
            PlanElsewhere,
            PollNow,
            Deliver(Kind::Start, 0),
            Commit,
        ],
    );
}

// As before, and the leader has ended its wait for the record.
#[test]
fn poll_before_record_of_failed_plan_starts_nothing() {
    check(
        APPLIED_LATER,
        &[
            Lose(Kind::Start, 0),
            ListNow,
            Tick,
            Tick,
            Tick,
            Tick,
            PlanElsewhere,
            FailPlan,
            PollNow,
            Deliver(Kind::Start, 0),
            Commit,
        ],
    );
}

// As before, and the start is carried out while the next leader has the record.
#[test]
fn poll_before_record_of_former_leader_starts_nothing() {
    check(
        APPLIED_LATER,
        &[
            Lose(Kind::Start, 0),
            ListNow,
            Tick,
            Tick,
            Tick,
            Tick,
            PlanElsewhere,
            PollNow,
            NewLeader,
            Deliver(Kind::Start, 0),
        ],
    );
}

// A poll arrives twice and says that a worker is gone, which has come back in between.
#[test]
fn doubled_poll_does_not_end_worker_that_came_back() {
    check(
        APPLIED_AT_ONCE,
        &[
            Tick,
            Cut,
            Tick,
            Tick,
            List,
            Tick,
            Deliver(Kind::Start, 0),
            Tick,
            Poll,
            Heal,
            Duplicate(Kind::Poll, 0),
            Deliver(Kind::Poll, 0),
            Tick,
            ListNow,
            PollNow,
            Deliver(Kind::Orders, 0),
            PlanHome,
            PollNow,
            Deliver(Kind::Poll, 0),
            Deliver(Kind::Start, 0),
        ],
    );
}

// A poll that says that a worker is gone is overtaken by one after which the worker is assigned a
// task.
#[test]
fn overtaken_poll_does_not_end_worker_that_came_back() {
    check(
        APPLIED_AT_ONCE,
        &[
            Deliver(Kind::Start, 0),
            Cut,
            Tick,
            Tick,
            Tick,
            List,
            Tick,
            Tick,
            Poll,
            PollNow,
            Heal,
            Deliver(Kind::Orders, 0),
            Tick,
            ListNow,
            PollNow,
            PlanHome,
            Deliver(Kind::Orders, 0),
            PollNow,
            Deliver(Kind::Poll, 0),
            Deliver(Kind::Orders, 0),
            Deliver(Kind::Start, 0),
        ],
    );
}

// The agent drops a silent worker, takes orders for it after it has come back, and then says that it
// is gone.
#[test]
fn worker_that_came_back_is_not_reported_as_gone() {
    check(
        IN_ORDER,
        &[
            Tick,
            Deliver(Kind::Start, 0),
            Finish(0),
            ListNow,
            Cut,
            Tick,
            ListNow,
            PollNow,
            PlanHome,
            Deliver(Kind::Orders, 0),
            Tick,
            Tick,
            Poll,
            Tick,
            Heal,
            Deliver(Kind::Poll, 0),
            Deliver(Kind::CheckIn, 0),
            ListNow,
            Deliver(Kind::Orders, 0),
            Deliver(Kind::Start, 0),
            PollNow,
        ],
    );
}

// A late check-in of a former worker makes the agent say that the current one is gone, which is
// silent but runs a task under its lease.
#[test]
fn late_check_in_of_former_worker_does_not_end_current_worker() {
    check(
        APPLIED_AT_ONCE,
        &[
            Lose(Kind::Start, 0),
            Cut,
            Tick,
            NewWorker,
            Heal,
            Deliver(Kind::CheckIn, 1),
            ListNow,
            PollNow,
            PlanHome,
            PollNow,
            Deliver(Kind::Start, 0),
            Cut,
            Tick,
            PollNow,
            ListNow,
            Tick,
            Tick,
            Tick,
            Heal,
            Deliver(Kind::CheckIn, 0),
            PollNow,
        ],
    );
}

// The clock is set back between two workers, and a late check-in of the one that is gone makes the
// agent say that the current one is gone, which runs a task.
#[test]
fn late_check_in_of_worker_that_looks_younger_does_not_end_current_worker() {
    check(
        APPLIED_AT_ONCE,
        &[
            Deliver(Kind::Start, 0),
            Cut,
            Tick,
            NewOlderWorker,
            Heal,
            ListNow,
            Tick,
            Tick,
            Tick,
            Tick,
            Tick,
            ListNow,
            PollNow,
            PollNow,
            PlanHome,
            PollNow,
            Deliver(Kind::Start, 0),
            Tick,
            ListNow,
            PollNow,
            Tick,
            ListNow,
            PollNow,
            Tick,
            ListNow,
            PollNow,
            Deliver(Kind::CheckIn, 0),
            PollNow,
        ],
    );
}

// A start for the former incarnation reaches the next one of the same name, before the agent learns
// of it.
#[test]
fn start_for_former_incarnation_before_check_in_is_counted() {
    check(APPLIED_AT_ONCE, &[RestartWorker, Deliver(Kind::Start, 0), Tick, ListNow, PollNow]);
}

// A start for the former incarnation reaches the next one of the same name, after the agent has
// listed its runs.
#[test]
fn start_for_former_incarnation_after_list_is_not_carried_out() {
    check(APPLIED_AT_ONCE, &[RestartWorker, Tick, ListNow, PollNow, Deliver(Kind::Start, 0)]);
}

// A start for the former incarnation reaches the next one of the same name, and the run ends there
// as done.
#[test]
fn done_end_of_start_for_former_incarnation_is_recorded() {
    check(
        APPLIED_AT_ONCE,
        &[
            RestartWorker,
            Deliver(Kind::Start, 0),
            Finish(0),
            Tick,
            ListNow,
            PollNow,
            PollNow,
            PollNow,
            ListNow,
        ],
    );
}

// A list request for the former incarnation reaches the next one of the same name, and lets it
// forget an end that is not recorded.
#[test]
fn list_request_for_former_incarnation_forgets_no_end() {
    check(
        APPLIED_AT_ONCE,
        &[
            Deliver(Kind::Start, 0),
            Deliver(Kind::Answer, 0),
            Finish(0),
            ListNow,
            PollNow,
            PollNow,
            List,
            RestartWorker,
            Tick,
            ListNow,
            PollNow,
            PlanHome,
            PollNow,
            Deliver(Kind::Start, 0),
            Finish(0),
            Deliver(Kind::List, 0),
            Deliver(Kind::Answer, 0),
            ListNow,
            PollNow,
        ],
    );
}

// A start for the former incarnation reaches the next one of the same name, with a deadline by the
// clock of the former one, while the agent cannot reach the leader.
#[test]
fn start_for_former_incarnation_does_not_outlive_its_lease() {
    check(
        APPLIED_AT_ONCE,
        &[Tick, RestartWorker, Deliver(Kind::Start, 0), Tick, Tick, Tick, PlanElsewhere],
    );
}

// A repeated start reaches the next incarnation of the same name after the run has ended as done on
// the former one.
#[test]
fn repeated_start_for_former_incarnation_does_not_run_again() {
    check(
        APPLIED_AT_ONCE,
        &[
            GiveUp(Kind::Start, 0),
            PollNow,
            Deliver(Kind::Start, 0),
            Finish(0),
            ListNow,
            PollNow,
            RestartWorker,
            Deliver(Kind::Start, 0),
        ],
    );
}

// A repeated start reaches the next incarnation of the same name after that one has answered a list
// request; the run has ended as done on the former one.
#[test]
fn start_for_former_incarnation_after_call_for_next_one_is_rejected() {
    check(
        APPLIED_AT_ONCE,
        &[
            GiveUp(Kind::Start, 0),
            ListNow,
            PollNow,
            Deliver(Kind::Start, 0),
            Finish(0),
            ListNow,
            PollNow,
            RestartWorker,
            Tick,
            ListNow,
            Deliver(Kind::Start, 0),
        ],
    );
}

// As before, and the agent knows of the next incarnation by its answer to a list request alone.
#[test]
fn start_for_former_incarnation_after_second_list_of_next_one_is_rejected() {
    check(
        APPLIED_AT_ONCE,
        &[
            GiveUp(Kind::Start, 0),
            ListNow,
            Tick,
            PollNow,
            Deliver(Kind::Start, 0),
            Finish(0),
            ListNow,
            PollNow,
            RestartWorker,
            ListNow,
            ListNow,
            Deliver(Kind::Start, 0),
        ],
    );
}

// The next process of the agent knows of no restart, and the worker rejects its first calls.
#[test]
fn next_process_of_agent_gets_past_tokens_of_former_process() {
    check(
        APPLIED_AT_ONCE,
        &[RestartWorker, Tick, ListNow, PollNow, ListNow, NewAgent, Tick, ListNow, PollNow],
    );
}

// A start for the former incarnation runs on the next one of the same name, with a deadline by the
// clock of the former one. The agent cannot reach the leader, and stops the run by itself.
#[test]
fn run_of_next_incarnation_is_stopped_without_orders() {
    check(
        APPLIED_AT_ONCE,
        &[
            Tick,
            RestartWorker,
            Deliver(Kind::Start, 0),
            Tick,
            ListNow,
            Deliver(Kind::Stop, 0),
            Tick,
            Tick,
            PlanElsewhere,
        ],
    );
}

// As in repeated_start_for_former_incarnation_does_not_run_again, but the agent has listed the runs
// before it repeats the start.
#[test]
fn start_repeated_after_list_for_former_incarnation_does_not_run_again() {
    check(
        APPLIED_AT_ONCE,
        &[
            GiveUp(Kind::Start, 0),
            ListNow,
            PollNow,
            Deliver(Kind::Start, 0),
            Finish(0),
            ListNow,
            PollNow,
            RestartWorker,
            Deliver(Kind::Start, 0),
        ],
    );
}

// The answer to a start is lost, the run is done, and the agent has not listed it yet when it gets
// the next orders. A repeated start would reach the next incarnation of the same name.
#[test]
fn start_without_answer_is_not_repeated_before_a_list() {
    check(
        APPLIED_AT_ONCE,
        &[
            Deliver(Kind::Start, 0),
            Lose(Kind::Answer, 0),
            Finish(0),
            PollNow,
            ListNow,
            RestartWorker,
            PollNow,
            Deliver(Kind::Start, 0),
        ],
    );
}
