//! Whether a failed attempt is tried again.

use {
    super::Budget,
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
pub struct Failed {
    /// How it failed.
    pub failure: Failure,
    /// Attempts made so far, this one included.
    pub made: u32,
    /// The request's kind is not idempotent.
    pub protected: bool,
    /// When the request is of no more use to its caller.
    pub deadline: Time,
}

/// What to do after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another endpoint after this span.
    Retry(Duration),
    /// Answer the caller with this code now.
    Stop(Code),
}

/// Bounds of the retries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Attempts of one request at most.
    pub attempts: u32,
    /// Pause before the second attempt, doubled for each further one.
    pub pause: Duration,
    /// Longest pause.
    pub longest: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self { attempts: 4, pause: Duration::from_millis(5), longest: Duration::from_millis(200) }
    }
}

impl Policy {
    /// Decides what follows an attempt that failed.
    ///
    /// A protected request that may have run is never tried again.
    pub fn next(
        &self,
        now: Time,
        failed: Failed,
        budget: &mut Budget,
        random: &mut fastrand::Rng,
    ) -> Next {
        let Failed { failure, made, protected, deadline } = failed;
        let code = match failure {
            Failure::Unknown(code) if protected => return Next::Stop(code),
            Failure::NotRun(code) if !elsewhere(code) => return Next::Stop(code),
            Failure::NotRun(code) | Failure::Unknown(code) => code,
        };
        if made >= self.attempts {
            return Next::Stop(code);
        }
        let pause = self.pause(made, random);
        if now + pause >= deadline {
            return Next::Stop(late(failure));
        }
        if !budget.retry() {
            return Next::Stop(spent(failure));
        }
        Next::Retry(pause)
    }

    /// Between half and all of the doubled pause, so that retries don't come together.
    fn pause(&self, made: u32, random: &mut fastrand::Rng) -> Duration {
        let doubled = self.pause.saturating_mul(1 << (made - 1).min(16));
        doubled.min(self.longest).mul_f64(0.5 + 0.5 * random.f64())
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
