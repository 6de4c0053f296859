//! Simulation of scheduling decisions in virtual time.

mod cluster;
mod figures;
mod fragmentation;
mod free_capacity;
mod guarantee_monitor;
mod job;
mod job_state;
mod policy;
mod scenario;
mod simulator;

pub use self::{
    cluster::{Cluster, KindPlan, Scale, TeamPlan, WorkerPlan},
    figures::{Figures, Summary},
    fragmentation::{fragmentation, fragmentation_floor},
    free_capacity::{Fit, FreeCapacity, Slot},
    guarantee_monitor::{
        BrokenGuarantee, GANG_LEASE, GuaranteeMonitor, RECLAIM_BOUND, RETRY_DELAY,
    },
    job::{Job, JobId, PlannedOutcome},
    policy::{Action, Policy, PolicyEvent},
    scenario::{Fault, Scenario, Stream},
    simulator::{GANG_STOP_MAX, RESTART_SETUP, STOP_TIME, Simulator},
};
