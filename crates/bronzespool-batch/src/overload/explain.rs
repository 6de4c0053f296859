//! Why a job waits in an overloaded service, for operators.

use {
    crate::{
        id::JobId,
        ledger::Ledger,
        overload::{ClassState, Overload, demand::Pool},
    },
    displaydoc::Display,
    std::sync::Arc,
};

/// {service} is overloaded: {jobs} jobs of priority {priority} wait, {wait_ms} ms of {limit_ms}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct WaitsInOverload {
    /// Service whose workers run the job.
    pub service: Arc<str>,
    /// Priority of the job.
    pub priority: u32,
    /// Milliseconds until the work of this priority that is there now is done.
    pub wait_ms: u64,
    /// Longest wait in milliseconds at which such a job still counts in full.
    pub limit_ms: u64,
    /// Number of such jobs with waiting work.
    pub jobs: u32,
}

impl Overload {
    /// Returns the overload in which tasks of a job wait; `None` if none of them does.
    pub fn explain(&self, ledger: &Ledger, id: JobId) -> Option<WaitsInOverload> {
        let job = ledger.job(id).filter(|j| j.phase.is_active())?;
        let (service, priority) = (ledger.service(job), ledger.priority(job));
        let waits_in = |pool: &&Pool| {
            let class = self.demand().pools.get(*pool).and_then(|c| c.get(&priority));
            class.is_some_and(|c| c.waiting.values().flatten().any(|w| w.job == id))
        };
        let overloaded = self
            .classes(service)
            .filter(|(pool, p, state)| *p == priority && state.overloaded && waits_in(pool));
        let (.., ClassState { wait, limit, jobs, .. }) = overloaded.max_by_key(|(.., s)| s.wait)?;
        Some(WaitsInOverload {
            service: Arc::clone(service),
            priority,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            limit_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
            jobs,
        })
    }
}
