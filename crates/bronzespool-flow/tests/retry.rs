//! Retries: which failures, how many, until when.

use {
    arbtest::{
        arbitrary::{self, Unstructured},
        arbtest,
    },
    bronzespool_core::{Code, Time},
    bronzespool_flow::retry::{Budget, Failed, Failure, Next, Policy},
};

/// Cases of each property; each has a seed of its own and as many bytes as its low half says.
const SEEDS: std::ops::Range<u64> = 0x5eed_3000..0x5eed_3100;
const BYTES: u64 = 0x800;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&mut property).seed(seed << 32 | BYTES).run();
    }
}

fn failed(failure: Failure, protected: bool) -> Failed {
    Failed { failure, made: 1, protected, deadline: Time::from_secs(10) }
}

fn next(now: Time, failed: Failed, budget: &mut Budget) -> Next {
    Policy::default().next(now, failed, budget, &mut fastrand::Rng::with_seed(1))
}

#[test]
fn next_protected_unknown_stops() {
    let unknown = failed(Failure::Unknown(Code::AnswerShort), true);
    assert_eq!(next(Time::ZERO, unknown, &mut Budget::default()), Next::Stop(Code::AnswerShort));
}

#[test]
fn next_idempotent_unknown_retries() {
    let unknown = failed(Failure::Unknown(Code::AnswerShort), false);
    assert!(matches!(next(Time::ZERO, unknown, &mut Budget::default()), Next::Retry(_)));
}

#[test]
fn next_protected_not_run_retries() {
    let refused = failed(Failure::NotRun(Code::Draining), true);
    assert!(matches!(next(Time::ZERO, refused, &mut Budget::default()), Next::Retry(_)));
}

#[test]
fn next_refusal_of_request_itself_stops() {
    let refused = failed(Failure::NotRun(Code::BodyTooLarge), false);
    assert_eq!(next(Time::ZERO, refused, &mut Budget::default()), Next::Stop(Code::BodyTooLarge));
}

#[test]
fn next_spent_budget_stops() {
    let mut budget = Budget::new(100, 0);
    let refused = failed(Failure::NotRun(Code::Overloaded), false);
    assert_eq!(next(Time::ZERO, refused, &mut budget), Next::Stop(Code::BudgetSpent));
    let unknown = failed(Failure::Unknown(Code::AnswerShort), false);
    assert_eq!(next(Time::ZERO, unknown, &mut budget), Next::Stop(Code::AnswerShort));
}

#[test]
fn next_past_deadline_stops() {
    let refused = failed(Failure::NotRun(Code::Overloaded), false);
    let mut budget = Budget::default();
    assert_eq!(next(Time::from_secs(10), refused, &mut budget), Next::Stop(Code::DeadlinePassed));
    assert_eq!(budget, Budget::default());
}

#[test]
fn next_last_attempt_stops() {
    let last = Failed { made: 4, ..failed(Failure::NotRun(Code::Overloaded), false) };
    assert_eq!(next(Time::ZERO, last, &mut Budget::default()), Next::Stop(Code::Overloaded));
}

#[test]
fn budget_bounds_retries_by_first_attempts() {
    check(|u| {
        let mut budget = Budget::new(100, 10);
        let (mut firsts, mut retries) = (0_u32, 0_u32);
        while !u.is_empty() {
            if u.arbitrary()? {
                budget.first();
                firsts += 1;
            } else if budget.retry() {
                retries += 1;
            }
            assert!(retries <= 10 + firsts / 10);
        }
        Ok(())
    });
}

#[test]
fn budget_saves_no_more_than_its_cap() {
    let mut budget = Budget::new(100, 10);
    (0..1_000).for_each(|_| budget.first());
    assert_eq!((0..50).filter(|_| budget.retry()).count(), 10);
}
