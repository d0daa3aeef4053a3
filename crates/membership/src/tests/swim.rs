//! Failure detection, gossip, joining and recovery in a simulated fleet.

use std::time::Duration;

use base::DaemonId;

use super::fleet::Fleet;
use super::fleet::PERIOD;
use super::fleet::ProcessState;
use super::fleet::Sent;
use super::member;
use super::name;
use crate::member::MemberState;

/// Whether no running member lists any of `gone`.
fn no_member_lists(fleet: &Fleet, gone: &[DaemonId]) -> bool {
    fleet
        .running()
        .all(|it| gone.iter().all(|gone| it.member(gone).is_none()))
}

#[test]
fn all_members_detect_deaths_within_bounded_periods() {
    let check = |count: u16, killed: u16, loss: usize, periods: usize| {
        let mut fleet = Fleet::joined(count, 7);
        fleet.loss = loss;
        for number in 0..killed {
            fleet.set_process(number, ProcessState::Killed);
        }
        let gone: Vec<_> = (0..killed).map(name).collect();
        let steps = fleet.steps_until(300 * PERIOD, |it| no_member_lists(it, &gone));
        assert!(
            steps <= periods * PERIOD,
            "{killed} of {count}, loss {loss}: {steps} steps, bound {periods} periods"
        );
        fleet.run(20 * PERIOD);
        assert!(
            fleet.all_know(usize::from(count - killed)),
            "{killed} of {count}, loss {loss}: not all of the others are alive"
        );
    };
    check(2, 1, 0, 20);
    check(8, 1, 0, 15);
    check(8, 4, 0, 30);
    check(64, 1, 0, 15);
    check(64, 1, 100, 20);
    check(64, 32, 0, 30);
    // A single survivor has to probe all of them itself, one per period.
    check(64, 63, 0, 63 + 60);
}

#[test]
fn resumed_member_suspects_nobody() {
    let check = |pause: usize, phase: usize| {
        let mut fleet = Fleet::joined(32, 11);
        fleet.run(phase);
        // Several at once, so that some are paused during a probe.
        for number in 0..8 {
            fleet.set_process(number, ProcessState::Paused);
        }
        fleet.run(pause);
        for number in 0..8 {
            fleet.set_process(number, ProcessState::Running);
        }
        for step in 0..30 * PERIOD {
            fleet.step();
            for other in 8..32 {
                assert!(
                    !fleet.is_suspected_or_gone(&name(other)),
                    "pause of {pause} steps: {other} is suspected or gone at step {step}"
                );
            }
        }
        assert!(
            fleet.all_know(32),
            "pause of {pause} steps: not all members are alive again"
        );
    };
    for phase in 0..5 {
        check(2 * PERIOD, phase);
        check(8 * PERIOD, phase);
        check(30 * PERIOD, phase);
    }
}

#[test]
fn reconnected_member_suspects_nobody() {
    let mut fleet = Fleet::joined(32, 13);
    let isolated = member(5, "a").address.port();
    assert_eq!(isolated, 10_005);
    fleet.link = |from, to| from.port() != 10_005 && to.port() != 10_005;
    fleet.run(30 * PERIOD);
    fleet.link = |_, _| true;
    for step in 0..60 * PERIOD {
        fleet.step();
        for other in (0..32).filter(|it| *it != 5) {
            let suspected_or_gone = fleet
                .running()
                .filter(|it| it.me().daemon != name(5))
                .filter(|it| it.me().daemon != name(other))
                .any(|it| it.member(&name(other)).map(|it| it.state) != Some(MemberState::Alive));
            assert!(
                !suspected_or_gone,
                "{other} is suspected or gone at step {step}"
            );
        }
    }
    assert!(fleet.all_know(32), "the isolated member did not rejoin");
}

#[test]
fn suspected_member_refutes() {
    let mut fleet = Fleet::joined(16, 17);
    // Stopped long enough for a suspicion, too short for a death.
    fleet.set_process(5, ProcessState::Killed);
    let steps = fleet.steps_until(20 * PERIOD, |it| it.is_suspected_or_gone(&name(5)));
    fleet.set_process(5, ProcessState::Running);
    fleet.run(20 * PERIOD);
    assert!(steps < 20 * PERIOD, "member 5 was not suspected");
    assert!(fleet.all_know(16), "member 5 is not alive in all views");
    assert!(
        fleet.node(5).swim.me().version > 0,
        "member 5 did not refute"
    );
}

#[test]
fn replacement_marks_the_former_instance_at_its_address_dead() {
    let check = |daemon: DaemonId, incarnation: u64| {
        let mut fleet = Fleet::joined(16, 19);
        let mut replacement = member(5, "a");
        replacement.daemon = daemon.clone();
        replacement.incarnation = incarnation;
        fleet.start(replacement);
        let steps = fleet.steps_until(60 * PERIOD, |it| {
            it.running().all(|it| {
                let known = it.member(&daemon).unwrap_or(it.me());
                let is_new = known.incarnation == incarnation && known.daemon == daemon;
                let is_self = it.me().daemon == daemon;
                (is_new || is_self) && it.members().len() == 15
            })
        });
        // Less than the suspicion timeout.
        assert!(steps <= 4 * PERIOD, "{daemon}/{incarnation}: {steps} steps");
        fleet.run(20 * PERIOD);
        assert!(
            fleet.all_know(16),
            "{daemon}/{incarnation}: not all are alive"
        );
    };
    check(name(5), 2);
    check("other".into(), 2);
    // The replacement's clock is behind that of the instance that it replaces.
    check("other".into(), 0);
}

#[test]
fn leave_spreads_without_suspicion() {
    let mut fleet = Fleet::joined(64, 23);
    let now = fleet.now;
    // The initial leave datagrams are lost, so only gossip spreads the leave.
    drop(fleet.node(9).swim.leave(now));
    let steps = fleet.steps_until(20 * PERIOD, |it| no_member_lists(it, &[name(9)]));
    assert!(steps <= 3 * PERIOD, "{steps} steps");
}

/// Restarts the members in `range`, each with a new incarnation.
fn restart(fleet: &mut Fleet, range: std::ops::Range<u16>) {
    for number in range {
        let mut restarted = member(number, "a");
        restarted.incarnation = 2;
        fleet.start(restarted);
    }
}

#[test]
fn members_restarted_with_their_seeds_rejoin() {
    let mut fleet = Fleet::joined(64, 29);
    for number in 0..32 {
        fleet.set_process(number, ProcessState::Killed);
    }
    fleet.run(5 * PERIOD);
    restart(&mut fleet, 0..32);
    let steps = fleet.steps_until(100 * PERIOD, |it| it.all_know(64));
    assert!(steps <= 30 * PERIOD, "{steps} steps");
}

#[test]
fn syncs_of_restarted_members_spread_over_the_fleet() {
    let mut fleet = Fleet::joined(64, 29);
    fleet.sent = Sent::default();
    restart(&mut fleet, 16..64);
    let steps = fleet.steps_until(100 * PERIOD, |it| it.all_know(64));
    assert!(steps <= 30 * PERIOD, "{steps} steps");
    let syncs: u64 = fleet.sent.syncs_requested.values().sum();
    assert!(syncs <= 2 * 48, "{syncs} syncs of 48 members");
    let busiest = fleet.sent.syncs_requested.values().max();
    assert!(busiest <= Some(&10), "{busiest:?} syncs at one member");
}

#[test]
fn joins_back_off_while_no_seed_answers() {
    let mut fleet = Fleet::new(47);
    for number in 2..32 {
        fleet.start(member(number, "a"));
    }
    fleet.run(60 * PERIOD);
    let messages = fleet.sent.messages / 30;
    assert!(
        messages <= 20,
        "{messages} join attempts per member in 60 periods"
    );
    fleet.start(member(0, "a"));
    let steps = fleet.steps_until(100 * PERIOD, |it| it.all_know(31));
    assert!(steps <= 30 * PERIOD, "{steps} steps");
}

#[test]
fn partition_heals() {
    let check = |partition: Duration| {
        let mut fleet = Fleet::joined(32, 31);
        fleet.link = |from, to| (from.port() < 10_016) == (to.port() < 10_016);
        let steps = usize::try_from(partition.as_millis()).unwrap_or(0) / 100;
        fleet.run(steps);
        fleet.link = |_, _| true;
        let steps = fleet.steps_until(200 * PERIOD, |it| it.all_know(32));
        assert!(
            steps < 200 * PERIOD,
            "not merged after a partition of {partition:?}"
        );
    };
    check(Duration::from_secs(40));
    check(Duration::from_mins(5));
}

#[test]
fn half_open_peer_is_quarantined_until_it_answers_directly() {
    let mut fleet = Fleet::joined(16, 37);
    fleet.link = |from, to| !(from.port() == 10_003 && to.port() == 10_004);
    let quarantined = |it: &Fleet| {
        let three = it.running().find(|it| it.me().daemon == name(3));
        three.is_some_and(|it| it.is_quarantined(&name(4)))
    };
    let steps = fleet.steps_until(100 * PERIOD, quarantined);
    assert!(steps < 100 * PERIOD, "member 3 did not quarantine member 4");
    assert!(
        !fleet.is_suspected_or_gone(&name(4)),
        "member 4 is suspected although others reach it"
    );
    fleet.link = |_, _| true;
    let steps = fleet.steps_until(100 * PERIOD, |it| !quarantined(it));
    assert!(
        steps < 100 * PERIOD,
        "member 3 did not lift the quarantine of member 4"
    );
}

#[test]
fn restart_with_an_earlier_clock_raises_its_incarnation() {
    let mut fleet = Fleet::joined(8, 41);
    let mut restarted = member(5, "a");
    restarted.incarnation = 0;
    fleet.start(restarted);
    fleet.run(30 * PERIOD);
    assert!(fleet.all_know(8));
    assert_eq!(fleet.node(5).swim.me().incarnation, 2);
}

#[test]
fn message_rate_per_member_does_not_grow_with_the_fleet() {
    let rate = |count: u16| {
        let mut fleet = Fleet::joined(count, 43);
        fleet.run(10 * PERIOD);
        fleet.sent = Sent::default();
        fleet.run(20 * PERIOD);
        fleet.sent.messages * 100 / (u64::from(count) * 20)
    };
    let base = rate(16);
    for count in [64, 256, 1024] {
        let rate = rate(count);
        assert!(
            rate * 100 <= base * 115,
            "{count} members: {rate} per 100 member periods, 16 members: {base}"
        );
    }
}
