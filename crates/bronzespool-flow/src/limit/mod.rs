//! Limits of a team, shared by all entries, and the queue in front of them.
//!
//! [`ShareAllocator`] at the granter divides each team's limit into leases. A [`TeamBuckets`] at each entry
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

mod allocator;
mod bucket;
mod buckets;
mod queue;
mod share;

pub use self::{
    allocator::{LeaseTerms, ShareAllocator},
    bucket::{Bucket, Throttled},
    buckets::TeamBuckets,
    queue::{FairQueue, QueueLimits, QueuedRequest, RefusedRequest},
    share::{Demand, DemandReport, HolderId, Limit, RATE_SCALE, Share, ShareGrant},
};
