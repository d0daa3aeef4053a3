//! The directory's service index and digest match its members after any sequence of announcements.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::ServiceName;
use quickcheck::quickcheck;

use crate::directory::Directory;
use crate::wire::InstanceInfo;
use crate::wire::Member;

const SERVICES: [&str; 3] = ["bookings", "catalogue", "payments"];

/// An announcement of one of a few daemons, some of which share an address.
fn member(seed: u32) -> Member {
    let pick = |by: u32, of: u32| seed / by % of;
    let has_instance = pick(100, 4) > 0;
    Member {
        daemon: format!("d{}", pick(1, 6)).into(),
        incarnation: u64::from(pick(7, 3)),
        revision: u64::from(pick(13, 4)),
        address: ([10, 0, 0, 1], u16::try_from(pick(1, 4)).unwrap()).into(),
        zone: "a".into(),
        instance: has_instance.then(|| InstanceInfo {
            id: "i".into(),
            born: 1,
            service: SERVICES[usize::try_from(pick(29, 3)).unwrap()].into(),
            version: "v1".into(),
            slots: 4,
            cold_left: Duration::ZERO,
        }),
        leaving: None,
        is_open: pick(211, 5) > 0,
        strength: pick(3, 4),
        link_mbps: 1000,
    }
}

fn scan(directory: &Directory, service: &ServiceName) -> Vec<DaemonId> {
    let runs = |member: &&Member| {
        let info = member.instance.as_ref();
        member.is_open && info.is_some_and(|info| info.service == *service)
    };
    let members = directory.entries().map(|entry| &entry.member);
    sorted(members.filter(runs).map(|member| member.daemon.clone()))
}

fn sorted(names: impl Iterator<Item = DaemonId>) -> Vec<DaemonId> {
    let mut names: Vec<DaemonId> = names.collect();
    names.sort();
    names
}

quickcheck! {
    fn service_index_matches_a_full_scan(seeds: Vec<u32>) -> bool {
        let mut directory = Directory::default();
        seeds.into_iter().all(|seed| {
            directory.merge(member(seed), Instant::now());
            SERVICES.iter().all(|service| {
                let service = ServiceName::from(*service);
                let indexed = directory.serving(&service);
                sorted(indexed.map(|entry| entry.member.daemon.clone())) == scan(&directory, &service)
            })
        })
    }

    fn digest_depends_on_the_current_members_only(seeds: Vec<u32>) -> bool {
        let mut directory = Directory::default();
        for seed in seeds {
            directory.merge(member(seed), Instant::now());
        }
        let mut rebuilt = Directory::default();
        for entry in directory.entries() {
            rebuilt.merge(entry.member.clone(), Instant::now());
        }
        rebuilt.digest() == directory.digest()
    }
}
