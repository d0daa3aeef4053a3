//! Random picks from a list.

/// Returns a random entry; `None` if there is none.
pub(super) fn pick<T>(pool: &[T], random: u64) -> Option<&T> {
    pool.get(index_of(pool.len(), random)?)
}

/// Returns a random index into a list of this length; `None` if it is empty.
pub(super) fn index_of(len: usize, random: u64) -> Option<usize> {
    let index = random.checked_rem(u64::try_from(len).ok()?)?;
    usize::try_from(index).ok()
}
