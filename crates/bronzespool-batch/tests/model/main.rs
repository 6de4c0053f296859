//! Model check of the interleavings of a small system: a leader, an agent, its worker and the
//! messages between them, which may be lost, late, duplicated or reordered, while any of the three
//! may restart.
//!
//! The first run of a task is assigned to the worker. As soon as the leader considers the task
//! free, it may run elsewhere, and from then on the worker must not run it: no task runs twice. Nor
//! may it run again once its end was acknowledged, nor may runs need more than the worker's room.
//! All tasks end once nothing disturbs them. Each invariant is also shown to fail under an injected
//! fault.
//!
//! Short histories are explored exhaustively, long ones at random from fixed seeds.

mod delivery;
mod explore;
mod fault;
mod fixture;
mod invariant;
mod leader;
mod message;
mod moves;
mod regressions;
mod scope;
mod search;
mod state;
mod worker;
