//! Small seeded random number generator (`SplitMix64`), for jitter and shuffling only.

use std::time::Duration;

/// Generator state; the same seed gives the same numbers.
#[derive(Debug, Clone)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number, uniform over all of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number in `0..bound`; 0 when `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = bound as u64;
        let number = self.next_u64().checked_rem(bound).unwrap_or(0);
        usize::try_from(number).unwrap_or(0)
    }

    /// Returns a duration between half of `span` and `span`.
    pub fn jitter(&mut self, span: Duration) -> Duration {
        let half = span / 2;
        let nanos = u64::try_from(half.as_nanos()).unwrap_or(u64::MAX);
        half + Duration::from_nanos(self.next_u64() % nanos.saturating_add(1))
    }

    /// Shuffles in place (Fisher-Yates).
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            items.swap(i, self.below(i + 1));
        }
    }
}
