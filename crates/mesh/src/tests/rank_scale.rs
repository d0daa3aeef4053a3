//! Ranks of priorities of any size.

use quickcheck::quickcheck;

use crate::config::RANKS;
use crate::config::Rank;
use crate::rank_scale::RankScale;

#[track_caller]
fn check(priorities: &[f64], expected: &[Rank]) {
    let scale = RankScale::new(priorities.iter().copied());
    let ranks: Vec<Rank> = priorities.iter().map(|p| scale.rank(*p)).collect();
    assert_eq!(ranks, expected, "{priorities:?}");
}

#[test]
fn priorities_that_are_ranks_keep_their_numbers() {
    check(&[], &[]);
    check(&[3.0, 0.0, 1.0, 3.0], &[3, 0, 1, 3]);
    check(&[15.0, 2.0, 14.0], &[15, 2, 14]);
}

/// Guards against a priority that is taken for another one because it is no small whole number.
#[test]
fn priorities_of_any_size_keep_their_order() {
    check(&[1.0, 300.0], &[1, 15]);
    check(&[100.0, 300.0, 200.0], &[13, 15, 14]);
    check(&[0.5, 0.0, 1.0], &[1, 0, 2]);
    check(&[1.0, f64::INFINITY, 1e300, 256.0], &[1, 15, 14, 13]);
    check(&[15.0, 16.0], &[14, 15]);
}

quickcheck! {
    fn the_order_of_priorities_is_that_of_their_ranks(numbers: Vec<u32>) -> bool {
        let priorities: Vec<f64> = numbers.iter().map(|number| f64::from(*number) / 7.0).collect();
        let mut distinct = priorities.clone();
        distinct.sort_by(f64::total_cmp);
        distinct.dedup();
        let scale = RankScale::new(priorities);
        let pairs = distinct.windows(2);
        let ranks = pairs.map(|pair| (scale.rank(pair[0]), scale.rank(pair[1])));
        let has_room = distinct.len() <= usize::from(RANKS);
        ranks.into_iter().all(|(one, next)| {
            next < RANKS && (one < next || (!has_room && one == next && next == RANKS - 1))
        })
    }
}
