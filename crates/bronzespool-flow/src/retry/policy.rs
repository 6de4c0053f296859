//! Decides whether a failed attempt is retried.

use {
    super::RetryBudget,
    bronzespool_core::{Code, Time},
    std::time::Duration,
};

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It did not run: it was refused before it reached the endpoint, never sent, or fenced.
    NotRun(Code),
    /// It may have run; its outcome is unknown.
    Unknown(Code),
}

/// A failed attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How it failed.
    pub failure: Failure,
    /// Attempts so far, including this one.
    pub attempts: u32,
    /// Whether the request runs at most once, because its kind is not idempotent.
    pub protected: bool,
    /// The caller's deadline.
    pub deadline: Time,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint after this delay.
    Retry(Duration),
    /// Answer the caller with this code at once.
    Stop(Code),
}

/// Limits of the retries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts, including the first.
    pub attempts_max: u32,
    /// Delay before the second attempt, doubled for each further attempt.
    pub backoff_base: Duration,
    /// Upper bound of the delay.
    pub backoff_max: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempts_max: 4,
            backoff_base: Duration::from_millis(5),
            backoff_max: Duration::from_millis(200),
        }
    }
}

impl RetryPolicy {
    /// Decides what to do after a failed attempt.
    ///
    /// A protected request that may have run is never retried.
    pub fn decide(
        &self,
        now: Time,
        failed: FailedAttempt,
        budget: &mut RetryBudget,
        random: &mut fastrand::Rng,
    ) -> RetryDecision {
        let FailedAttempt { failure, attempts, protected, deadline } = failed;
        let code = match failure {
            Failure::Unknown(code) if protected => return RetryDecision::Stop(code),
            Failure::NotRun(code) if !can_retry_elsewhere(code) => {
                return RetryDecision::Stop(code);
            }
            Failure::NotRun(code) | Failure::Unknown(code) => code,
        };
        if attempts >= self.attempts_max {
            return RetryDecision::Stop(code);
        }
        let backoff = self.backoff(attempts, random);
        if now + backoff >= deadline {
            return RetryDecision::Stop(code_at_deadline(failure));
        }
        if !budget.try_spend() {
            return RetryDecision::Stop(code_without_budget(failure));
        }
        RetryDecision::Retry(backoff)
    }

    /// Exponential backoff with jitter: between half and all of the doubled delay, so that the
    /// retries of several requests do not arrive together.
    fn backoff(&self, attempts: u32, random: &mut fastrand::Rng) -> Duration {
        let doubled = self.backoff_base.saturating_mul(1 << (attempts - 1).min(16));
        doubled.min(self.backoff_max).mul_f64(0.5 + 0.5 * random.f64())
    }
}

/// Whether another endpoint may accept a request that this one refused.
const fn can_retry_elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::Overloaded
            | Code::NoSession
            | Code::Draining
            | Code::CenterDrained
            | Code::Fenced
            | Code::Stopping
            | Code::QueueFull
            | Code::IncarnationGone
            | Code::NoEndpoint
    )
}

/// Code for the caller if the deadline leaves no time for another attempt.
const fn code_at_deadline(failure: Failure) -> Code {
    match failure {
        Failure::NotRun(_) => Code::DeadlinePassed,
        Failure::Unknown(code) => code,
    }
}

/// Code for the caller if the retry budget is empty.
const fn code_without_budget(failure: Failure) -> Code {
    match failure {
        Failure::NotRun(_) => Code::BudgetSpent,
        Failure::Unknown(code) => code,
    }
}
