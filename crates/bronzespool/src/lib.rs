//! Coordination parts for multi-accelerator jobs under team guarantees.
