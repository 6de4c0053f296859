//! Whether a failed attempt is tried again.

use {
    super::RetryBudget,
    bronzespool_core::{Code, Time},
    std::time::Duration,
};

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing ran under it: refused before the endpoint, never sent, or fenced.
    NotRun(Code),
    /// It may have run.
    Unknown(Code),
}

/// A failed attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How it failed.
    pub failure: Failure,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// The request's kind is not idempotent.
    pub protected: bool,
    /// When the request is of no more use to its caller.
    pub deadline: Time,
}

/// What to do after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint after this span.
    Retry(Duration),
    /// Answer the caller with this code now.
    Stop(Code),
}

/// Bounds of the retries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Attempts of one request at most.
    pub attempts_max: u32,
    /// Pause before the second attempt, doubled for each further one.
    pub backoff_base: Duration,
    /// Longest pause.
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
    /// Decides what follows an attempt that failed.
    ///
    /// A protected request that may have run is never tried again.
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
            Failure::NotRun(code) if !elsewhere(code) => return RetryDecision::Stop(code),
            Failure::NotRun(code) | Failure::Unknown(code) => code,
        };
        if attempts >= self.attempts_max {
            return RetryDecision::Stop(code);
        }
        let backoff = self.backoff(attempts, random);
        if now + backoff >= deadline {
            return RetryDecision::Stop(late(failure));
        }
        if !budget.try_spend() {
            return RetryDecision::Stop(spent(failure));
        }
        RetryDecision::Retry(backoff)
    }

    /// Between half and all of the doubled pause, so that retries don't come together.
    fn backoff(&self, attempts: u32, random: &mut fastrand::Rng) -> Duration {
        let doubled = self.backoff_base.saturating_mul(1 << (attempts - 1).min(16));
        doubled.min(self.backoff_max).mul_f64(0.5 + 0.5 * random.f64())
    }
}

/// Whether another endpoint may do what this one refused.
const fn elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::Overloaded
            | Code::NoSession
            | Code::Draining
            | Code::Fenced
            | Code::Stopping
            | Code::QueueFull
            | Code::IncarnationGone
            | Code::NoEndpoint
    )
}

/// Code of a request whose time is too short for another attempt.
const fn late(failure: Failure) -> Code {
    match failure {
        Failure::NotRun(_) => Code::DeadlinePassed,
        Failure::Unknown(code) => code,
    }
}

/// Code of a request for which the budget has no retry left.
const fn spent(failure: Failure) -> Code {
    match failure {
        Failure::NotRun(_) => Code::BudgetSpent,
        Failure::Unknown(code) => code,
    }
}
