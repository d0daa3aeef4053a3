//! Selection of other daemons, by zone and at random.

use std::net::SocketAddr;

use base::FastMap;
use base::ZoneName;
use mesh::directory::Entry;
use mesh::wire::Member;

use crate::node::Node;

impl Node {
    /// Returns the addresses of up to `count` other daemons of each zone that satisfies `keep`, chosen at random.
    pub fn random_addresses_by_zone(
        &self,
        count: usize,
        keep: impl Fn(&ZoneName) -> bool,
    ) -> Vec<SocketAddr> {
        let own_name = self.name();
        let directory = self.directory.borrow();
        let mut by_zone: FastMap<ZoneName, Vec<SocketAddr>> = FastMap::default();
        for entry in directory.entries() {
            let member = &entry.member;
            if member.daemon != own_name && member.is_open && keep(&member.zone) {
                let addresses = by_zone.entry(member.zone.clone()).or_default();
                addresses.push(member.address);
            }
        }
        let mut chosen = Vec::new();
        for mut addresses in by_zone.into_values() {
            for _ in 0..count.min(addresses.len()) {
                let len = u64::try_from(addresses.len()).unwrap_or(1);
                let index = usize::try_from(self.random() % len).unwrap_or(0);
                chosen.push(addresses.swap_remove(index));
            }
        }
        chosen
    }

    pub(crate) fn addresses(&self, predicate: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let own_name = self.name();
        let directory = self.directory.borrow();
        directory
            .entries()
            .map(|entry| &entry.member)
            .filter(|member| member.daemon != own_name && predicate(member))
            .map(|member| member.address)
            .collect()
    }

    /// Returns the addresses of up to `count` other daemons of this zone, chosen at random.
    pub fn zone_peers(&self, count: usize) -> Vec<SocketAddr> {
        let zone = self.boot.borrow().zone.clone();
        let peers = self.random_members_where(count, |member| member.zone == zone);
        peers.iter().map(|member| member.address).collect()
    }

    /// Returns up to `count` other members, chosen at random without repetition.
    pub(crate) fn random_members(&self, count: usize) -> Vec<Member> {
        self.random_members_where(count, |_| true)
    }

    pub(crate) fn random_members_where(
        &self,
        count: usize,
        keep: impl Fn(&Member) -> bool,
    ) -> Vec<Member> {
        let own_name = self.name();
        let directory = self.directory.borrow();
        let mut others: Vec<&Entry> = directory
            .entries()
            .filter(|entry| entry.member.daemon != own_name && keep(&entry.member))
            .collect();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !others.is_empty() {
            let len = u64::try_from(others.len()).unwrap_or(1);
            let index = usize::try_from(self.random() % len).unwrap_or(0);
            chosen.push(others.swap_remove(index).member.clone());
        }
        chosen
    }
}
