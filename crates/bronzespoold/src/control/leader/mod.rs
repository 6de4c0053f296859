//! Work that only the leader does: answering calls and running the controllers.

mod burn;
mod calls;
mod cancel;
mod centers;
mod checkpoints;
mod claims;
mod config;
mod jobs;
mod presence;
mod report;
mod schedule;
mod shares;
mod status;

pub(super) use calls::Leader;
