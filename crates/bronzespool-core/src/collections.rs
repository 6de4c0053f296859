//! Hash collections with a fast hasher of a fixed seed, so that iteration order repeats from run
//! to run.

use foldhash::fast::FixedState;

/// Hash map with the project's hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// Hash set with the project's hasher.
pub type HashSet<T> = std::collections::HashSet<T, FixedState>;
