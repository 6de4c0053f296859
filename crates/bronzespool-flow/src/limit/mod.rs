//! Limits of a team, shared by all entries, and the queue in front of them.
//!
//! [`Shares`] at the granter divides each team's limit into leases. A [`Buckets`] at each entry
//! enforces its shares and reports its demand. The sum of all shares that any entry may still
//! use never exceeds the limit, also while messages are lost or entries are cut off:
//!
//! - a share that shrinks counts at its old size until the holder confirms the new one;
//! - a lease ends at its holder counted from when the report was sent, and at the granter counted
//!   from when it arrived, plus a margin for the drift of the clocks;
//! - requests in flight outlive the lease that admitted them, so their share stays reserved for
//!   the longest deadline after it;
//! - a new granter adopts what the holders say they hold and grants nothing more until every
//!   lease of its predecessor has ended.

mod bucket;
mod holder;
mod queue;
mod share;
mod shares;

pub use self::{
    bucket::{Bucket, Busy},
    holder::Buckets,
    queue::{Entry, Queue, QueueLimits, Refused},
    share::{Demand, HolderId, Limit, MILLI, Report, Share, Shared},
    shares::{Shares, Terms},
};
