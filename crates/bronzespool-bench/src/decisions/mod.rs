//! Scheduling decisions measured in virtual time.

mod cluster;
mod driver;
mod figures;
mod fragmentation;
mod job;
mod judge;
mod policy;
mod scenario;
mod space;

pub use self::{
    cluster::{Cluster, KindPlan, Scale, TeamPlan, WorkerPlan},
    driver::{Driver, GANG_BOUND, RESTART, STOP},
    figures::{Figures, Summary},
    fragmentation::{floor, fragmentation},
    job::{Fate, Job, JobId},
    judge::{Broken, Judge, LEASE, RECLAIM_BOUND, RETRY},
    policy::{Action, Input, Policy},
    scenario::{Fault, Scenario, Stream},
    space::{Fit, Slot, Space},
};
