//! Tests of the daemons that the controller sends its lease to.

use std::collections::BTreeMap;

use crate::control::zone_readers;
use crate::shared_state::Peer;

const ZONES: usize = 6;
const READERS_PER_ZONE: usize = 2;

fn peers(count: u16) -> Vec<Peer> {
    let peer = |i: u16| Peer {
        daemon: format!("d-{i}").into(),
        incarnation: 1,
        address: ([127, 0, 0, 1], i + 1).into(),
        zone: format!("zone-{}", usize::from(i) % ZONES).into(),
    };
    (0..count).map(peer).collect()
}

#[test]
fn controller_tells_the_readers_of_each_zone_however_many_daemons_there_are() {
    let check = |count: u16| {
        let peers = peers(count);
        let selected = zone_readers(&peers, READERS_PER_ZONE);
        let mut zones = BTreeMap::new();
        for peer in &selected {
            *zones.entry(peer.zone.clone()).or_insert(0) += 1;
        }
        assert_eq!(zones.len(), ZONES, "{count} daemons");
        assert!(
            zones.values().all(|it| *it == READERS_PER_ZONE),
            "{count} daemons: {zones:?}"
        );
    };
    check(12);
    check(64);
    check(1400);
}
