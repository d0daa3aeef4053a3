//! Hash maps and sets with a fast hasher.

use std::collections::HashMap;
use std::collections::HashSet;

use rustc_hash::FxBuildHasher;

/// Hash map for trusted keys.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set for trusted keys.
pub type FastSet<K> = HashSet<K, FxBuildHasher>;
