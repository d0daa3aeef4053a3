//! Leader election in simulated zones.

use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::FastMap;

use crate::election::CLAIM_TTL;
use crate::election::Claim;
use crate::election::LEADERS_PER_ZONE;
use crate::election::LeaderElection;
use crate::election::Role;
use crate::election::strength;

const ROUND: Duration = Duration::from_millis(250);

/// A simulated zone: its daemons receive all claims once per round, except from those that are
/// down.
struct Zone {
    daemons: Vec<(DaemonId, LeaderElection)>,
    down: Vec<DaemonId>,
    now: Instant,
}

impl Zone {
    fn new(strengths: &[u32]) -> Self {
        let named = |(index, strength): (usize, &u32)| {
            let name = DaemonId::from(format!("d{index:03}"));
            let election = LeaderElection::new(name.clone(), "a".into(), *strength);
            (name, election)
        };
        Self {
            daemons: strengths.iter().enumerate().map(named).collect(),
            down: Vec::new(),
            now: Instant::now(),
        }
    }

    fn round(&mut self) {
        self.now += ROUND;
        let leaders = self.leaders();
        let claims: FastMap<DaemonId, Claim> = self
            .daemons
            .iter()
            .filter(|(name, election)| leaders.contains(name) && !election.is_yielding(self.now))
            .map(|(name, election)| (name.clone(), election.own_claim(0)))
            .collect();
        for (name, election) in &mut self.daemons {
            for (other, claim) in claims.iter().filter(|(other, _)| *other != name) {
                election.record_claim(other, claim.clone(), 0, self.now);
            }
        }
    }

    fn rounds(&mut self, count: u32) {
        (0..count).for_each(|_| self.round());
    }

    fn leaders(&self) -> Vec<DaemonId> {
        self.daemons
            .iter()
            .filter(|(name, _)| !self.down.contains(name))
            .filter(|(_, election)| election.role(self.now) == Role::Leader)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn fail_store_call(&mut self, name: &str) {
        let now = self.now;
        let daemon = self.daemons.iter_mut().find(|(daemon, _)| daemon == name);
        daemon
            .expect("the daemon is in the zone")
            .1
            .record_store_call(false, now);
    }
}

#[test]
fn zone_elects_its_strongest_daemons() {
    let check = |strengths: &[u32], expected: &[&str]| {
        let mut zone = Zone::new(strengths);
        zone.rounds(2);
        assert_eq!(zone.leaders(), expected, "{strengths:?}");
    };
    check(&[200], &["d000"]);
    check(&[200; 5], &["d000", "d001"]);
    check(&[20, 100, 500, 20, 500], &["d002", "d004"]);
    check(&[200; 75], &["d000", "d001"]);
}

#[test]
fn failed_leaders_are_replaced_after_their_claims_expire() {
    let mut zone = Zone::new(&[200; 9]);
    zone.rounds(2);
    zone.down = vec!["d000".into()];
    // The other leader continues.
    assert_eq!(zone.leaders(), ["d001"]);
    let rounds = u32::try_from(CLAIM_TTL.as_millis() / ROUND.as_millis()).unwrap() + 2;
    zone.rounds(rounds);
    assert_eq!(zone.leaders(), ["d001", "d002"]);
    zone.down.push("d001".into());
    zone.down.push("d002".into());
    zone.rounds(rounds);
    assert_eq!(zone.leaders(), ["d003", "d004"]);
    zone.down.clear();
    zone.rounds(2);
    assert_eq!(zone.leaders(), ["d000", "d001"]);
}

#[test]
fn daemon_with_failing_store_calls_yields_leadership() {
    let mut zone = Zone::new(&[200; 6]);
    zone.rounds(2);
    zone.fail_store_call("d000");
    zone.rounds(5);
    assert_eq!(zone.leaders(), ["d001", "d002"]);
    // If the calls of all daemons fail, all lead until one succeeds.
    for index in 0..6 {
        zone.fail_store_call(&format!("d{index:03}"));
    }
    zone.rounds(5);
    assert_eq!(zone.leaders().len(), 6);
    let now = zone.now;
    zone.daemons[4].1.record_store_call(true, now);
    zone.rounds(1);
    assert_eq!(zone.leaders(), ["d004"]);
}

#[test]
fn first_leader_of_all_zones_is_the_fleet_leader() {
    let now = Instant::now();
    let claim = |zone: &str, strength: u32| Claim {
        zone: zone.into(),
        strength,
        members: 0,
    };
    let mut election = LeaderElection::new("b1".into(), "b".into(), 200);
    assert_eq!(election.fleet_leader(now), None);
    election.record_claim(&"c1".into(), claim("c", 200), 0, now);
    assert_eq!(election.fleet_leader(now), None);
    election.record_claim(&"a1".into(), claim("a", 100), 0, now);
    assert_eq!(election.fleet_leader(now), None);
    election.record_claim(&"a2".into(), claim("a", 200), 0, now);
    assert_eq!(election.fleet_leader(now), Some(&"a2".into()));
    election.record_claim(&"d9".into(), claim("d", 500), 0, now);
    assert_eq!(election.fleet_leader(now), Some(&"d9".into()));
    election.remove_claim(&"d9".into());
    assert_eq!(election.fleet_leader(now), Some(&"a2".into()));
    assert_eq!(election.fleet_leader(now + CLAIM_TTL), None);
    // A follower is never the fleet leader itself.
    let mut follower = LeaderElection::new("b9".into(), "b".into(), 50);
    for index in 0..LEADERS_PER_ZONE {
        follower.record_claim(&format!("b{index}").into(), claim("b", 100), 0, now);
    }
    assert_eq!(follower.fleet_leader(now), Some(&"b0".into()));
}

#[test]
fn lost_announcements_are_detected_by_the_member_hash() {
    let now = Instant::now();
    let mut election = LeaderElection::new("b1".into(), "b".into(), 200);
    let mut must_fetch = |zone: &str, claimed_hash: u64, local_hash: u64| {
        let claim = Claim {
            zone: zone.into(),
            strength: 200,
            members: claimed_hash,
        };
        election.record_claim(&"b0".into(), claim, local_hash, now)
    };
    let claim_four_times =
        |must_fetch: &mut dyn FnMut(&str, u64, u64) -> bool, zone: &str, claimed_hash: u64| {
            (0..4)
                .map(|_| must_fetch(zone, claimed_hash, 7))
                .collect::<Vec<_>>()
        };
    assert_eq!(claim_four_times(&mut must_fetch, "b", 7), [false; 4]);
    assert_eq!(claim_four_times(&mut must_fetch, "a", 8), [false; 4]);
    assert_eq!(
        claim_four_times(&mut must_fetch, "b", 8),
        [false, false, true, false]
    );
}

#[test]
fn strength_is_limited_by_core_share_and_link() {
    assert_eq!(strength(500, 10), 20);
    assert_eq!(strength(100, 200), 100);
    assert_eq!(strength(200, 1000), 200);
}
