//! Options of the model.

use std::time::Duration;

/// A fault of growth that is planted into the model, to show that the checks see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    /// No fault.
    #[default]
    None,
    /// The leader sends the orders for one agent in answer to the waiting polls of all agents.
    OrdersToAll,
    /// All agents call their workers whenever one agent does.
    CallsByAll,
    /// All agents list their workers whenever a call to one worker is answered.
    ListsByAll,
    /// The leader commits a record for each agent whenever one run ends.
    RecordsForAll,
    /// Each check-in of a worker makes the leader answer the waiting polls of all agents.
    CheckInsToAll,
}

/// Options of one run of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Number of workers, each with an agent.
    pub workers: usize,
    /// Seed of the stream and of all durations.
    pub seed: u64,
    /// Time for which jobs arrive; zero for a cluster that stays idle.
    pub stream: Duration,
    /// Time that the model runs on after the last arrival at the latest.
    pub drain_max: Duration,
    /// Rate of arrivals relative to that of the stream.
    pub load: f64,
    /// Virtual time that a plan takes. The wall time of all plans falls as it rises.
    pub plan_time: Duration,
    /// Size of the cluster for which gangs are made to fit; the widest gang takes half of its
    /// workers.
    pub gang_base: usize,
    /// Number of teams.
    pub teams: usize,
    /// Fault that is planted.
    pub planted: Planted,
}

impl Options {
    /// Length of the stream.
    pub const STREAM: Duration = Duration::from_secs(34);
    /// Virtual time that a plan takes.
    pub const PLAN_TIME: Duration = Duration::from_millis(20);
    /// Time after which the remaining jobs count as jobs that do not end.
    pub const DRAIN_MAX: Duration = Duration::from_secs(300);
    /// Number of teams.
    pub const TEAMS: usize = 24;

    /// The whole stream on a cluster.
    pub const fn new(workers: usize, seed: u64) -> Self {
        Self {
            workers,
            seed,
            stream: Self::STREAM,
            drain_max: Self::DRAIN_MAX,
            load: 1.0,
            plan_time: Self::PLAN_TIME,
            gang_base: workers,
            teams: Self::TEAMS,
            planted: Planted::None,
        }
    }

    /// A cluster without jobs for a duration.
    pub const fn idle(workers: usize, length: Duration) -> Self {
        Self { stream: Duration::ZERO, drain_max: length, ..Self::new(workers, 0) }
    }
}
