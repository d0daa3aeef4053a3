//! Merging of updates about members, and bounds of their encoded sizes.

use std::time::Duration;
use std::time::Instant;

use protocol::announce::UpstreamPhase;
use quickcheck::quickcheck;

use super::member;
use super::name;
use crate::member::MemberState;
use crate::member::Precedence;
use crate::member::UpstreamInfo;
use crate::message::Body;
use crate::message::Digest;
use crate::message::Identity;
use crate::message::Message;
use crate::message::Update;
use crate::rng::Rng;
use crate::swim::Swim;
use crate::swim::SwimConfig;

const STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Dead,
    MemberState::Left,
];

#[test]
fn update_precedence() {
    use MemberState::Alive;
    use MemberState::Dead;
    use MemberState::Left;
    use MemberState::Suspect;
    let check = |lower: (u64, u64, MemberState), higher: (u64, u64, MemberState)| {
        let lower = Precedence::new(lower.0, lower.1, lower.2);
        let higher = Precedence::new(higher.0, higher.1, higher.2);
        assert!(lower < higher, "{lower:?} < {higher:?}");
    };
    check((1, 0, Alive), (1, 0, Suspect));
    check((1, 0, Suspect), (1, 0, Dead));
    check((1, 0, Dead), (1, 1, Alive));
    check((1, 5, Alive), (1, 4, Left));
    check((1, 5, Left), (2, 0, Alive));
    check((1, 5, Dead), (2, 0, Alive));
}

/// Builds an update about one of two daemons from four arbitrary numbers.
fn update_from((daemon, incarnation, version, state): (u16, u64, u64, usize)) -> Update {
    let mut member = member(daemon % 2, "a");
    member.incarnation = incarnation % 2;
    member.version = version % 3;
    member.state = STATES[state % STATES.len()];
    Update::about(&member)
}

fn view_after(updates: Vec<Update>) -> Vec<(Identity, u64)> {
    let now = Instant::now();
    let me = member(9, "a");
    let mut swim = Swim::new(SwimConfig::default(), me, &[], 1, now);
    for update in updates {
        let from = Identity {
            daemon: name(8),
            incarnation: 1,
        };
        let message = Message::new(from, Body::Gossip, vec![update]);
        swim.on_message(member(8, "a").address, message, now);
    }
    let mut view: Vec<_> = swim
        .members()
        .iter()
        .map(|it| (it.identity(), it.version))
        .collect();
    view.sort_by(|a, b| a.0.daemon.cmp(&b.0.daemon));
    view
}

quickcheck! {
    fn merge_does_not_depend_on_order_or_repetition(
        inputs: Vec<(u16, u64, u64, usize)>,
        seed: u64
    ) -> bool {
        // Suspicion of an unknown member is dropped, so both members are known from the start.
        let known = (0..2).map(|it| update_from((it, 0, 0, 0)));
        let updates: Vec<_> = known.chain(inputs.into_iter().map(update_from)).collect();
        let mut reordered: Vec<_> = updates.iter().skip(2).chain(&updates).cloned().collect();
        Rng::new(seed).shuffle(&mut reordered);
        let reordered = updates.iter().take(2).cloned().chain(reordered).collect();
        view_after(updates) == view_after(reordered)
    }

    fn update_size_bounds_hold(daemon: u8, version: u64, slots: u32, full: bool, text: u8) -> bool {
        let mut member = member(u16::from(daemon), &"z".repeat(usize::from(text % 40)));
        member.version = version;
        member.incarnation = version;
        member.state = if full { MemberState::Alive } else { MemberState::Suspect };
        member.address = ([0xffff; 8], u16::MAX).into();
        member.upstream = Some(UpstreamInfo {
            service: "s".repeat(usize::from(text)).into(),
            version: "v".repeat(usize::from(text)).into(),
            slots,
            cold_start: Duration::MAX,
            phase: UpstreamPhase::Starting,
        });
        let update = Update::about(&member);
        let encoded = rmp_serde::to_vec(&update).expect("encodes").len();
        encoded <= update.size()
    }
}

#[test]
fn message_size_bounds_hold() {
    let from = Identity {
        daemon: "daemon-with-a-long-name".into(),
        incarnation: u64::MAX,
    };
    let target = from.clone();
    let digest = Digest::of(
        (0..999)
            .map(|it| member(it, "a"))
            .collect::<Vec<_>>()
            .iter(),
    );
    let check = |body: Body| {
        let bound = Message::base_size(&from, &body);
        let message = Message::new(from.clone(), body, Vec::new());
        let encoded = rmp_serde::to_vec(&message).expect("encodes").len();
        assert!(encoded <= bound, "{encoded} > {bound}: {message:?}");
    };
    let seq = u32::MAX;
    check(Body::Ping {
        seq,
        target: target.clone(),
    });
    check(Body::PingReq {
        seq,
        target,
        address: ([0xffff; 8], u16::MAX).into(),
    });
    check(Body::Ack { seq });
    check(Body::Nack { seq });
    check(Body::Gossip);
    check(Body::DigestAsk(digest.clone()));
    check(Body::DigestAnswer {
        digest,
        coverage: crate::message::Coverage::Sample,
    });
}
