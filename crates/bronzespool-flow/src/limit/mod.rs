//! Limits of a team, shared by all entries, and the queue in front of them.
//!
//! One [`ShareAllocator`] divides each team's limit into shares, which it leases to the entries
//! (the holders). [`TeamBuckets`] at each entry enforces the entry's shares and reports its
//! demand. The sum of the shares that all entries may still use never exceeds the limit, even if
//! messages are lost or entries are cut off:
//!
//! - a share that shrinks counts at its old size until the holder confirms the new size;
//! - the holder ends a lease counted from when it sent the report; the allocator ends it later,
//!   counted from when the report arrived, plus a margin for the drift between the clocks;
//! - requests in flight outlive the lease that admitted them, so their share stays reserved for
//!   the longest deadline after the end of the lease;
//! - a new allocator accepts the shares that the holders report and grants nothing beyond them
//!   until all leases of its predecessor have ended.

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
