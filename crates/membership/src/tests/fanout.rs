//! Shape of the fan-out tree: number of readers, degree, depth and freedom from cycles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::DaemonId;
use quickcheck::quickcheck;

use super::member;
use crate::fanout::Fanout;
use crate::fanout::Role;
use crate::fanout::rank;
use crate::member::Member;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn fleet(count: u16) -> Vec<Member> {
    let zone = |it: u16| ZONES[usize::from(it) % ZONES.len()];
    (0..count).map(|it| member(it, zone(it))).collect()
}

fn roles(fanout: Fanout, members: &[Member]) -> BTreeMap<DaemonId, Role> {
    members
        .iter()
        .map(|it| (it.daemon.clone(), fanout.role(it, members.iter())))
        .collect()
}

#[test]
fn reader_count_does_not_grow_with_members() {
    for count in [6, 12, 96, 1400] {
        let roles = roles(Fanout::default(), &fleet(count));
        let readers = roles
            .values()
            .filter(|it| matches!(it, Role::Reader { .. }));
        let want = usize::from(count).min(2 * ZONES.len());
        assert_eq!(readers.count(), want, "{count} members");
    }
}

#[test]
fn children_per_parent_and_depth_are_bounded() {
    let members = fleet(1400);
    let roles = roles(Fanout::default(), &members);
    let mut children: BTreeMap<&DaemonId, usize> = BTreeMap::new();
    let mut deepest = 0;
    for daemon in roles.keys() {
        let mut depth = 0;
        let mut at = daemon;
        while let Role::Child { parents } = &roles[at] {
            at = &parents[0];
            depth += 1;
        }
        deepest = deepest.max(depth);
        if let Role::Child { parents } = &roles[daemon] {
            *children.entry(&parents[0]).or_default() += 1;
        }
    }
    assert_eq!(
        deepest, 2,
        "233 members a zone, 2 readers, 16 children each"
    );
    assert!(children.values().all(|it| *it <= 16), "{children:?}");
}

#[test]
fn readers_know_the_readers_of_all_zones() {
    let members = fleet(96);
    let roles = roles(Fanout::default(), &members);
    let readers: BTreeSet<_> = roles
        .iter()
        .filter(|(_, role)| matches!(role, Role::Reader { .. }))
        .map(|(daemon, _)| daemon.clone())
        .collect();
    for (daemon, role) in &roles {
        if let Role::Reader { peers } = role {
            let mut all: BTreeSet<_> = peers.iter().cloned().collect();
            all.insert(daemon.clone());
            assert_eq!(all, readers, "{daemon}");
        }
    }
}

quickcheck! {
    fn differing_views_form_no_cycle(seen: Vec<u64>, readers: usize, degree: usize) -> bool {
        let members = fleet(24);
        let fanout = Fanout { readers_per_zone: readers % 4, degree: degree % 4 };
        members.iter().zip(seen.iter().chain(&[0; 24])).all(|(me, seen)| {
            let view = members.iter().filter(|it| {
                let number = it.address.port() - 10_000;
                seen >> number & 1 == 1
            });
            match fanout.role(me, view) {
                Role::Reader { .. } => true,
                Role::Child { parents } => {
                    !parents.is_empty()
                        && parents.iter().all(|it| rank(it) < rank(&me.daemon))
                        && parents.iter().collect::<BTreeSet<_>>().len() == parents.len()
                }
            }
        })
    }
}
