//! Retries: which failures are retried, how often and until when.

use {
    arbtest::{
        arbitrary::{self, Unstructured},
        arbtest,
    },
    bronzespool_core::{Code, Time},
    bronzespool_flow::retry::{FailedAttempt, Failure, RetryBudget, RetryDecision, RetryPolicy},
};

/// Upper halves of the seeds, one for each case of a property. The lower half is [`BYTES`], the
/// number of random bytes that a case gets.
const SEEDS: std::ops::Range<u64> = 0x5eed_3000..0x5eed_3100;
const BYTES: u64 = 0x800;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&mut property).seed(seed << 32 | BYTES).run();
    }
}

fn failed(failure: Failure, protected: bool) -> FailedAttempt {
    FailedAttempt { failure, attempts: 1, protected, deadline: Time::from_secs(10) }
}

fn decide(now: Time, failed: FailedAttempt, budget: &mut RetryBudget) -> RetryDecision {
    RetryPolicy::default().decide(now, failed, budget, &mut fastrand::Rng::with_seed(1))
}

#[test]
fn decide_protected_unknown_stops() {
    let unknown = failed(Failure::Unknown(Code::AnswerShort), true);
    assert_eq!(
        decide(Time::ZERO, unknown, &mut RetryBudget::default()),
        RetryDecision::Stop(Code::AnswerShort)
    );
}

#[test]
fn decide_idempotent_unknown_retries() {
    let unknown = failed(Failure::Unknown(Code::AnswerShort), false);
    assert!(matches!(
        decide(Time::ZERO, unknown, &mut RetryBudget::default()),
        RetryDecision::Retry(_)
    ));
}

#[test]
fn decide_protected_not_run_retries() {
    let refused = failed(Failure::NotRun(Code::Draining), true);
    assert!(matches!(
        decide(Time::ZERO, refused, &mut RetryBudget::default()),
        RetryDecision::Retry(_)
    ));
}

#[test]
fn decide_refusal_of_request_itself_stops() {
    let refused = failed(Failure::NotRun(Code::BodyTooLarge), false);
    assert_eq!(
        decide(Time::ZERO, refused, &mut RetryBudget::default()),
        RetryDecision::Stop(Code::BodyTooLarge)
    );
}

#[test]
fn decide_spent_budget_stops() {
    let mut budget = RetryBudget::new(100, 0);
    let refused = failed(Failure::NotRun(Code::Overloaded), false);
    assert_eq!(decide(Time::ZERO, refused, &mut budget), RetryDecision::Stop(Code::BudgetSpent));
    let unknown = failed(Failure::Unknown(Code::AnswerShort), false);
    assert_eq!(decide(Time::ZERO, unknown, &mut budget), RetryDecision::Stop(Code::AnswerShort));
}

#[test]
fn decide_past_deadline_stops() {
    let refused = failed(Failure::NotRun(Code::Overloaded), false);
    let mut budget = RetryBudget::default();
    assert_eq!(
        decide(Time::from_secs(10), refused, &mut budget),
        RetryDecision::Stop(Code::DeadlinePassed)
    );
    assert_eq!(budget, RetryBudget::default());
}

#[test]
fn decide_last_attempt_stops() {
    let last = FailedAttempt { attempts: 4, ..failed(Failure::NotRun(Code::Overloaded), false) };
    assert_eq!(
        decide(Time::ZERO, last, &mut RetryBudget::default()),
        RetryDecision::Stop(Code::Overloaded)
    );
}

#[test]
fn budget_bounds_retries_by_first_attempts() {
    check(|u| {
        let mut budget = RetryBudget::new(100, 10);
        let (mut firsts, mut retries) = (0_u32, 0_u32);
        while !u.is_empty() {
            if u.arbitrary()? {
                budget.record_first();
                firsts += 1;
            } else if budget.try_spend() {
                retries += 1;
            }
            assert!(retries <= 10 + firsts / 10);
        }
        Ok(())
    });
}

#[test]
fn budget_never_exceeds_its_maximum() {
    let mut budget = RetryBudget::new(100, 10);
    (0..1_000).for_each(|_| budget.record_first());
    assert_eq!((0..50).filter(|_| budget.try_spend()).count(), 10);
}
