//! What only the leader does: answers calls and runs the controllers.

mod burn;
mod calls;
mod claims;
mod config;
mod jobs;
mod presence;
mod schedule;
mod shares;
mod status;

pub(super) use calls::Leader;
