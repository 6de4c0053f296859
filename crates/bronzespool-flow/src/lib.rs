//! Claims, fences, limits, retries, routing and drains, free of I/O.
