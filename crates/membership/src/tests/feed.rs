//! The record feed under loss, duplication and reordering of replies.

use std::time::Duration;
use std::time::Instant;

use ledger::StampedRecord;
use ledger::State;
use protocol::feed::FeedReply;
use protocol::feed::Lease;
use protocol::feed::RollbackFact;
use quickcheck::quickcheck;

use super::name;
use crate::feed::AcquireResult;
use crate::feed::Answer;
use crate::feed::Feed;
use crate::feed::FeedConfig;
use crate::feed::ParentOffset;
use crate::feed::ParentSelector;
use crate::feed::TransferLimiter;
use crate::rng::Rng;

const CFG: FeedConfig = FeedConfig {
    hold_timeout: Duration::from_secs(2),
    max_ring_bytes: 50,
    max_reply_bytes: 30,
    record_size: |_| 10,
};

fn record(offset: u64) -> StampedRecord {
    StampedRecord {
        offset,
        entry: None,
    }
}

fn lease(epoch: u64, sequence: u64) -> Lease {
    Lease { epoch, sequence }
}

fn fact(ticket: u64) -> RollbackFact {
    RollbackFact {
        ticket,
        service: "bookings".into(),
        reason: "errors".into(),
    }
}

/// Returns a feed that has applied the records before `next`.
fn feed_at(next: u64) -> Feed {
    let mut feed = Feed::new(CFG);
    for offset in 0..next {
        feed.accept_record(&record(offset));
    }
    feed
}

fn reply_of(parent: &Feed, child: &Feed, selector: &ParentSelector) -> Option<FeedReply> {
    let now = Instant::now();
    let req = child.request(&name(1), selector);
    match parent.answer(&req, now, now) {
        Answer::Reply(reply) => Some(*reply),
        Answer::NeedsState => Some(parent.state_reply(&req, state_at(parent.next_offset()))),
        Answer::Hold { .. } | Answer::Refuse => None,
    }
}

fn state_at(next: u64) -> State {
    State {
        next,
        ..State::default()
    }
}

#[test]
fn parent_sends_what_the_child_lacks() {
    enum Want {
        Records(usize),
        State,
        Hold,
    }
    let check = |parent: u64, child: u64, want: Want| {
        let now = Instant::now();
        let req = feed_at(child).request(&name(1), &ParentSelector::default());
        let answer = feed_at(parent).answer(&req, now, now);
        match (want, answer) {
            (Want::Records(count), Answer::Reply(reply)) => {
                assert_eq!(reply.records.len(), count, "{parent} {child}");
                assert_eq!(reply.records[0].offset, child, "{parent} {child}");
            }
            (Want::State, Answer::NeedsState) => {}
            (Want::Hold, Answer::Hold { until }) => assert_eq!(until, now + CFG.hold_timeout),
            (_, answer) => panic!("{parent} {child}: {answer:?}"),
        }
    };
    check(0, 0, Want::Hold);
    check(9, 9, Want::Hold);
    check(5, 9, Want::Hold);
    check(9, 8, Want::Records(1));
    check(9, 4, Want::Records(3));
    check(9, 3, Want::State);
}

#[test]
fn held_request_is_answered_on_change_or_timeout() {
    let now = Instant::now();
    let mut parent = feed_at(4);
    let child = feed_at(4);
    let mut selector = ParentSelector::default();
    let answers = |parent: &Feed, selector: &ParentSelector, after: u64| {
        let req = child.request(&name(1), selector);
        let answer = parent.answer(&req, now, now + Duration::from_secs(after));
        matches!(answer, Answer::Reply(_))
    };
    assert!(!answers(&parent, &selector, 1));
    assert!(answers(&parent, &selector, 2), "hold timeout expired");
    parent.add_facts([fact(3)]);
    assert!(answers(&parent, &selector, 1), "new fact");
    let tag = reply_of(&parent, &child, &selector).map_or(0, |it| it.facts_tag);
    selector.on_reply(tag, ParentOffset::UpToDate);
    assert!(
        !answers(&parent, &selector, 1),
        "a known fact is not sent again"
    );
    parent.update_lease(lease(1, 1));
    assert!(answers(&parent, &selector, 1), "newer lease");
}

#[test]
fn other_wire_version_is_refused() {
    let now = Instant::now();
    let mut req = feed_at(0).request(&name(1), &ParentSelector::default());
    req.wire += 1;
    assert_eq!(feed_at(3).answer(&req, now, now), Answer::Refuse);
}

/// Performs one random action: the parent's data changes, or a reply is sent, lost or delivered.
fn perform(
    action: u8,
    parent: &mut Feed,
    child: &mut Feed,
    in_flight: &mut Vec<FeedReply>,
    rng: &mut Rng,
) {
    match action % 6 {
        0 => _ = parent.accept_record(&record(parent.next_offset())),
        1 => _ = parent.update_lease(lease(1, parent.lease().sequence + 1)),
        2 => _ = parent.add_facts([fact(parent.next_offset())]),
        3 => in_flight.extend(reply_of(parent, child, &ParentSelector::default())),
        // Delivers out of order and keeps the reply, so that it may arrive again.
        4 if !in_flight.is_empty() => {
            let reply = in_flight[rng.below(in_flight.len())].clone();
            child.apply_reply(reply);
        }
        _ => in_flight.truncate(8),
    }
}

quickcheck! {
    fn child_is_monotonic_and_converges(actions: Vec<u8>, seed: u64) -> bool {
        let mut rng = Rng::new(seed);
        let mut parent = feed_at(2);
        let mut child = feed_at(0);
        let mut in_flight = Vec::new();
        for action in actions {
            let before = (child.next_offset(), child.lease(), child.facts().len());
            perform(action, &mut parent, &mut child, &mut in_flight, &mut rng);
            let after = (child.next_offset(), child.lease(), child.facts().len());
            if after.0 < before.0 || after.1 < before.1 || after.2 < before.2 {
                return false;
            }
        }
        let mut selector = ParentSelector::default();
        while let Some(reply) = reply_of(&parent, &child, &selector) {
            let tag = reply.facts_tag;
            let outcome = child.apply_reply(reply);
            selector.on_reply(tag, outcome.parent_offset);
        }
        child.next_offset() == parent.next_offset()
            && child.lease() == parent.lease()
            && child.facts() == parent.facts()
    }

    fn accepted_records_are_contiguous(replies: Vec<Vec<u8>>) -> bool {
        let mut child = feed_at(3);
        replies.into_iter().all(|offsets| {
            let before = child.next_offset();
            let outcome = child.apply_reply(FeedReply {
                next: 0,
                records: offsets.iter().map(|it| record(u64::from(it % 16))).collect(),
                state: None,
                lease: Lease::default(),
                facts_tag: 0,
                facts: Vec::new(),
                retry_after: None,
            });
            let accepted: Vec<u64> = outcome.records.iter().map(|it| it.offset).collect();
            accepted == (before..child.next_offset()).collect::<Vec<_>>()
        })
    }
}

#[test]
fn older_state_is_not_loaded() {
    let mut child = feed_at(9);
    let req = child.request(&name(1), &ParentSelector::default());
    let outcome = child.apply_reply(feed_at(5).state_reply(&req, state_at(5)));
    assert_eq!(outcome.new_state, None);
    assert_eq!(outcome.parent_offset, ParentOffset::Behind);
    child.on_state_loaded(5);
    assert_eq!(child.next_offset(), 9);
}

#[test]
fn concurrent_transfers_are_bounded() {
    let mut limiter = TransferLimiter::new(4, Duration::from_millis(100));
    let mut rng = Rng::new(1);
    let mut permits = Vec::new();
    let mut delays = Vec::new();
    for _ in 0..700 {
        match limiter.try_acquire(&mut rng) {
            AcquireResult::Granted(permit) => permits.push(permit),
            AcquireResult::RetryAfter(delay) => delays.push(delay),
        }
    }
    assert_eq!(permits.len(), 4);
    assert!(
        delays[0] < delays[600],
        "delays grow with the number of waiting children"
    );
    assert!(delays.iter().all(|it| *it <= Duration::from_secs(8)));
    limiter.release(permits.remove(0));
    assert!(matches!(
        limiter.try_acquire(&mut rng),
        AcquireResult::Granted(_)
    ));
}

#[test]
fn unresponsive_and_lagging_parents_are_skipped() {
    let mut rng = Rng::new(1);
    let mut selector = ParentSelector::default();
    assert_eq!(selector.parent(), None);
    selector.set_parents(vec![name(1), name(2)]);
    assert_eq!(selector.on_failure(&mut rng), Duration::ZERO);
    assert_eq!(selector.parent(), Some(&name(2)));
    assert!(
        selector.on_failure(&mut rng) > Duration::ZERO,
        "both parents failed"
    );
    assert_eq!(selector.parent(), Some(&name(1)));
    for _ in 0..3 {
        selector.on_reply(0, ParentOffset::Behind);
    }
    assert_eq!(
        selector.parent(),
        Some(&name(2)),
        "the preferred parent lags"
    );
    for _ in 0..64 {
        selector.on_reply(0, ParentOffset::UpToDate);
    }
    assert_eq!(
        selector.parent(),
        Some(&name(1)),
        "the preferred parent is tried again"
    );
}
