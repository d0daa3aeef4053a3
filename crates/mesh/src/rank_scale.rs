//! Ranks of the priorities of one configuration.
//!
//! The operator may write any number as a priority, and there are few ranks. A priority that is a rank keeps its number as
//! far as the order of all priorities allows; where there are more priorities than ranks, the least urgent ones share the last rank.

use crate::config::RANKS;
use crate::config::Rank;

/// The priorities of a configuration with their ranks.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RankScale {
    /// Sorted, the most urgent priority first.
    ranks: Vec<(f64, Rank)>,
}

impl RankScale {
    /// Orders priorities, numbers from 0 on; 0 is the most urgent.
    #[must_use]
    pub fn new(priorities: impl IntoIterator<Item = f64>) -> Self {
        let mut priorities: Vec<f64> = priorities.into_iter().collect();
        priorities.sort_by(f64::total_cmp);
        priorities.dedup();
        let mut ranks: Vec<(f64, Rank)> = Vec::with_capacity(priorities.len());
        // From the last one on, so that the priorities beyond the last rank leave room below it in their order.
        let mut free = RANKS - 1;
        for priority in priorities.into_iter().rev() {
            let rank = whole(priority).min(free);
            ranks.push((priority, rank));
            free = rank.saturating_sub(1);
        }
        ranks.reverse();
        // Those that found no room at the first rank move the others on.
        let mut next = 0;
        for (_, rank) in &mut ranks {
            *rank = (*rank).max(next);
            next = (*rank + 1).min(RANKS - 1);
        }
        Self { ranks }
    }

    /// Returns the rank of one of the priorities.
    #[must_use]
    pub fn rank(&self, priority: f64) -> Rank {
        let position = self.ranks.partition_point(|(known, _)| *known < priority);
        self.ranks
            .get(position)
            .map_or(RANKS - 1, |(_, rank)| *rank)
    }
}

/// Rounds down; what is too large becomes the largest value.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(priority: f64) -> Rank {
    priority as Rank
}
