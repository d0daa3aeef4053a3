//! Hash maps and sets that use `FxHash`, a fast hash without protection against chosen keys.

use std::collections::HashMap;
use std::collections::HashSet;

use rustc_hash::FxBuildHasher;

/// Hash map for keys from trusted sources: an attacker who chooses the keys can make them collide.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set for keys from trusted sources, as for [`FastMap`].
pub type FastSet<K> = HashSet<K, FxBuildHasher>;
