//! Hash collections with a fast hasher and a fixed seed, so that the iteration order is the same
//! in every run.

use foldhash::fast::FixedState;

/// Hash map with a fixed hash seed.
pub type HashMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// Hash set with a fixed hash seed.
pub type HashSet<T> = std::collections::HashSet<T, FixedState>;
