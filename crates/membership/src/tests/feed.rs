//! The feed under loss, repetition and reordering.

use std::time::Duration;
use std::time::Instant;

use ledger::StampedRecord;
use ledger::State;
use protocol::feed::FeedReply;
use protocol::feed::Lease;
use protocol::feed::TakeBackFact;
use quickcheck::quickcheck;

use super::name;
use crate::feed::Admission;
use crate::feed::Admit;
use crate::feed::Answer;
use crate::feed::Feed;
use crate::feed::FeedConfig;
use crate::feed::ParentOffset;
use crate::feed::Uplink;
use crate::rng::Rng;

const CFG: FeedConfig = FeedConfig {
    hold: Duration::from_secs(2),
    ring_bytes: 50,
    reply_bytes: 30,
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

fn fact(ticket: u64) -> TakeBackFact {
    TakeBackFact {
        ticket,
        service: "bookings".into(),
        reason: "errors".into(),
    }
}

/// A feed that folded records up to `next`.
fn feed_at(next: u64) -> Feed {
    let mut feed = Feed::new(CFG);
    for offset in 0..next {
        feed.place(&record(offset));
    }
    feed
}

fn reply_of(parent: &Feed, child: &Feed, uplink: &Uplink) -> Option<FeedReply> {
    let now = Instant::now();
    let req = child.request(&name(1), uplink);
    match parent.answer(&req, now, now) {
        Answer::Reply(reply) => Some(*reply),
        Answer::NeedsState => Some(parent.state_reply(&req, state_at(parent.next()))),
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
fn parent_answers_what_the_child_lacks() {
    enum Want {
        Records(usize),
        State,
        Hold,
    }
    let check = |parent: u64, child: u64, want: Want| {
        let now = Instant::now();
        let req = feed_at(child).request(&name(1), &Uplink::default());
        let answer = feed_at(parent).answer(&req, now, now);
        match (want, answer) {
            (Want::Records(count), Answer::Reply(reply)) => {
                assert_eq!(reply.records.len(), count, "{parent} {child}");
                assert_eq!(reply.records[0].offset, child, "{parent} {child}");
            }
            (Want::State, Answer::NeedsState) => {}
            (Want::Hold, Answer::Hold { until }) => assert_eq!(until, now + CFG.hold),
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
fn held_request_is_answered_by_news_or_at_its_end() {
    let now = Instant::now();
    let mut parent = feed_at(4);
    let child = feed_at(4);
    let mut uplink = Uplink::default();
    let answers = |parent: &Feed, uplink: &Uplink, after: u64| {
        let req = child.request(&name(1), uplink);
        let answer = parent.answer(&req, now, now + Duration::from_secs(after));
        matches!(answer, Answer::Reply(_))
    };
    assert!(!answers(&parent, &uplink, 1));
    assert!(answers(&parent, &uplink, 2), "end of the hold");
    parent.learn([fact(3)]);
    assert!(answers(&parent, &uplink, 1), "a fact");
    let tag = reply_of(&parent, &child, &uplink).map_or(0, |it| it.facts_tag);
    uplink.on_reply(tag, ParentOffset::Level);
    assert!(!answers(&parent, &uplink, 1), "the same fact once only");
    parent.renew(lease(1, 1));
    assert!(answers(&parent, &uplink, 1), "a lease");
}

#[test]
fn other_version_of_the_wire_is_refused() {
    let now = Instant::now();
    let mut req = feed_at(0).request(&name(1), &Uplink::default());
    req.wire += 1;
    assert_eq!(feed_at(3).answer(&req, now, now), Answer::Refuse);
}

/// Actions of the property: the parent's log grows, or a reply is kept, lost or delivered.
fn act(action: u8, parent: &mut Feed, child: &mut Feed, wire: &mut Vec<FeedReply>, rng: &mut Rng) {
    match action % 6 {
        0 => _ = parent.place(&record(parent.next())),
        1 => _ = parent.renew(lease(1, parent.lease().sequence + 1)),
        2 => _ = parent.learn([fact(parent.next())]),
        3 => wire.extend(reply_of(parent, child, &Uplink::default())),
        // Delivered out of order, and kept, so that it may come again.
        4 if !wire.is_empty() => {
            let reply = wire[rng.below(wire.len())].clone();
            child.take(reply);
        }
        _ => wire.truncate(8),
    }
}

quickcheck! {
    fn child_never_goes_back_and_ends_level(actions: Vec<u8>, seed: u64) -> bool {
        let mut rng = Rng::new(seed);
        let mut parent = feed_at(2);
        let mut child = feed_at(0);
        let mut wire = Vec::new();
        for action in actions {
            let before = (child.next(), child.lease(), child.facts().len());
            act(action, &mut parent, &mut child, &mut wire, &mut rng);
            let after = (child.next(), child.lease(), child.facts().len());
            if after.0 < before.0 || after.1 < before.1 || after.2 < before.2 {
                return false;
            }
        }
        let mut uplink = Uplink::default();
        while let Some(reply) = reply_of(&parent, &child, &uplink) {
            let tag = reply.facts_tag;
            let taken = child.take(reply);
            uplink.on_reply(tag, taken.parent);
        }
        child.next() == parent.next()
            && child.lease() == parent.lease()
            && child.facts() == parent.facts()
    }

    fn records_to_fold_are_without_gaps(replies: Vec<Vec<u8>>) -> bool {
        let mut child = feed_at(3);
        replies.into_iter().all(|offsets| {
            let before = child.next();
            let taken = child.take(FeedReply {
                next: 0,
                records: offsets.iter().map(|it| record(u64::from(it % 16))).collect(),
                state: None,
                lease: Lease::default(),
                facts_tag: 0,
                facts: Vec::new(),
                retry_after: None,
            });
            let folded: Vec<u64> = taken.records.iter().map(|it| it.offset).collect();
            folded == (before..child.next()).collect::<Vec<_>>()
        })
    }
}

#[test]
fn older_state_is_not_loaded() {
    let mut child = feed_at(9);
    let req = child.request(&name(1), &Uplink::default());
    let taken = child.take(feed_at(5).state_reply(&req, state_at(5)));
    assert_eq!(taken.load, None);
    assert_eq!(taken.parent, ParentOffset::Behind);
    child.loaded(5);
    assert_eq!(child.next(), 9);
}

#[test]
fn transfers_at_once_are_bounded() {
    let mut admission = Admission::new(4, Duration::from_millis(100));
    let mut rng = Rng::new(1);
    let mut permits = Vec::new();
    let mut delays = Vec::new();
    for _ in 0..700 {
        match admission.enter(&mut rng) {
            Admit::Granted(permit) => permits.push(permit),
            Admit::RetryAfter(delay) => delays.push(delay),
        }
    }
    assert_eq!(permits.len(), 4);
    assert!(delays[0] < delays[600], "delays grow with those who wait");
    assert!(delays.iter().all(|it| *it <= Duration::from_secs(8)));
    admission.leave(permits.remove(0));
    assert!(matches!(admission.enter(&mut rng), Admit::Granted(_)));
}

#[test]
fn silent_parents_are_passed_over() {
    let mut rng = Rng::new(1);
    let mut uplink = Uplink::default();
    assert_eq!(uplink.parent(), None);
    uplink.set_parents(vec![name(1), name(2)]);
    assert_eq!(uplink.on_silence(&mut rng), Duration::ZERO);
    assert_eq!(uplink.parent(), Some(&name(2)));
    assert!(
        uplink.on_silence(&mut rng) > Duration::ZERO,
        "both are silent"
    );
    assert_eq!(uplink.parent(), Some(&name(1)));
    for _ in 0..3 {
        uplink.on_reply(0, ParentOffset::Behind);
    }
    assert_eq!(uplink.parent(), Some(&name(2)), "the first one lags");
    for _ in 0..64 {
        uplink.on_reply(0, ParentOffset::Level);
    }
    assert_eq!(
        uplink.parent(),
        Some(&name(1)),
        "the first one is tried again"
    );
}
