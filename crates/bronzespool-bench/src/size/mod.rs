//! Deterministic model of jobs of steps at size: the code of `bronzespool-batch` for many agents
//! and one leader in virtual time, with workers that only keep time.
//!
//! It counts what each role does for each run and each idle second, and what the placement rules
//! make of a stream of jobs. It uses no network, process or clock, so equal options give equal
//! results. The times that calls, commits and plans take are constants; there are no faults.

mod agent;
mod counts;
mod decision_figures;
mod growth;
mod happening;
mod leader;
mod load;
mod model;
mod model_run;
mod options;
mod page;
mod plan_time;
mod site;
mod tally;
mod worker;

pub use self::{
    counts::{COUNT_NAMES, Counts},
    decision_figures::{DecisionFigures, PriorityFigures, Violations},
    growth::{Growth, Results, WORKERS, measure},
    model::run,
    model_run::ModelRun,
    options::{Options, Planted},
    page::{TABLE_BEGIN, TABLE_END, decision_table, growth_table, insert},
    plan_time::{Backlog, PlanTimes, plan_times},
};
