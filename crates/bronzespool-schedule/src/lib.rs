//! Guarantees, placement, queues, gangs and reclaim, free of I/O.
