//! Tests of membership and feed with whole daemons in two zones.

mod support;

use standin_log::Outage;
use support::Fleet;

/// Two readers in each of two zones.
const READERS: u64 = 4;

/// Mean number of times that each record is read from the log while tickets are published.
fn reads_per_record(fleet: &Fleet) -> f64 {
    let before = fleet.log.counters();
    for number in 11..=15 {
        fleet.log.publish(number);
        fleet.wait("a ticket is in force", |seen| seen.ticket == number);
    }
    let after = fleet.log.counters();
    let bytes_out = after.bytes_out - before.bytes_out;
    let bytes_in = after.bytes_in - before.bytes_in;
    #[allow(clippy::cast_precision_loss)]
    let reads = bytes_out as f64 / bytes_in as f64;
    reads
}

#[test]
fn log_reads_per_ticket_do_not_grow_with_daemons() {
    for (subnet, count) in [(1, 8), (2, 16)] {
        let fleet = Fleet::start(subnet, count);
        fleet.log.publish(10);
        fleet.wait("the first ticket is in force", |seen| seen.ticket == 10);
        let reads = reads_per_record(&fleet);
        println!("{count} daemons: each record is read {reads:.2} times from the log");
        #[allow(clippy::cast_precision_loss)]
        let bound = READERS as f64 + 0.5;
        assert!(
            reads <= bound,
            "{count} daemons: {reads} reads per record, bound {bound}"
        );
        fleet.close();
    }
}

#[test]
fn half_of_the_daemons_die_and_return() {
    for (subnet, count) in [(3, 8), (4, 16)] {
        let mut fleet = Fleet::start(subnet, count);
        fleet.log.publish(1);
        fleet.wait("the first ticket is in force", |seen| seen.ticket == 1);
        for number in 0..count / 2 {
            fleet.kill(number);
        }
        fleet.log.publish(2);
        fleet.wait("survivors have the second ticket", |seen| seen.ticket == 2);
        fleet.wait("survivors see that the others are dead", |seen| {
            seen.peers == count / 2
        });
        for number in 0..count / 2 {
            fleet.restart(number);
        }
        fleet.wait("all know each other", |seen| seen.peers == count);
        fleet.log.publish(3);
        fleet.wait("all have the third ticket", |seen| seen.ticket == 3);
        fleet.close();
    }
}

#[test]
fn cold_daemon_comes_back_from_a_peer_while_the_log_is_down() {
    let check = |subnet: u8, outage: Outage, number: usize| {
        let mut fleet = Fleet::start(subnet, 8);
        // More than a parent buffers as records, so that the daemon must load complete state.
        for ticket in 1..=3 {
            fleet.log.publish_services(ticket, 4000);
            fleet.wait("the ticket is in force", |seen| seen.ticket == ticket);
        }
        fleet.log.set_outage(outage);
        fleet.restart(number);
        fleet.wait("the cold daemon has the tickets", |seen| seen.ticket == 3);
        fleet.log.set_outage(Outage::None);
        fleet.log.publish(4);
        fleet.wait("the next ticket is in force", |seen| seen.ticket == 4);
        fleet.close();
    };
    // The four daemons of zone `a`: two readers and two children.
    check(5, Outage::Refuse, 0);
    check(6, Outage::Hang, 2);
    check(7, Outage::Refuse, 4);
    check(8, Outage::Hang, 6);
}
