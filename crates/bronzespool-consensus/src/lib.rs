//! Replicated log with elections, membership and snapshots, free of I/O.
