//! The store loses records, or its offsets no longer name the same ones.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use users_platform::BootConfig;

use crate::common::STORE;
use crate::fleet::Machine;
use crate::fleet::append;
use crate::fleet::boot;
use crate::fleet::ip;
use crate::fleet::machine;
use crate::fleet::put_config;
use crate::fleet::serve;
use crate::fleet::wait_until;
use crate::fleet::with_fleet;

/// Time in which a stored configuration must be in force.
const CONFIG_TIME: Duration = Duration::from_secs(2);

/// Time after an outage of the store from which on that holds again.
const STABLE_TIME: Duration = Duration::from_secs(3);

async fn assert_config_in_force(machines: [&Machine; 2], version: u64) {
    assert_config_in_force_by(machines, version, Instant::now() + CONFIG_TIME).await;
}

async fn assert_config_in_force_by<const N: usize>(
    machines: [&Machine; N],
    version: u64,
    end: Instant,
) {
    while machines
        .iter()
        .any(|machine| machine.daemon.config_version() != version)
    {
        assert!(
            Instant::now() < end,
            "version {version} is not in force in time"
        );
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn a_configuration_is_read_after_the_offsets_of_the_store_went_back() {
    with_fleet(15, |store, front, back| async move {
        for number in 0..20 {
            append(&store, "keyed.op", "note", format!("{number}").as_bytes());
        }
        put_config(&store, 5, "bookings");
        wait_until("both follow the topic", || {
            [&front, &back]
                .iter()
                .all(|machine| machine.daemon.config_version() == 5)
        })
        .await;
        // A store that does not name its era, and holds a shorter log now.
        store.with_topic("keyed.op", |topic| topic.go_back(0));
        put_config(&store, 9, "bookings");
        assert_config_in_force([&front, &back], 9).await;
        (front, back)
    });
}

#[test]
fn a_configuration_of_a_new_era_of_the_store_is_read() {
    with_fleet(16, |store, front, back| async move {
        store.faults().era.replace("one".into());
        put_config(&store, 5, "bookings");
        assert_config_in_force([&front, &back], 5).await;
        // The new log has grown beyond the offset up to which the daemons read the one before.
        store.with_topic("keyed.op", |topic| topic.go_back(0));
        store.faults().era.replace("two".into());
        put_config(&store, 9, "bookings");
        for number in 0..20 {
            append(&store, "keyed.op", "note", format!("{number}").as_bytes());
        }
        assert_config_in_force([&front, &back], 9).await;
        (front, back)
    });
}

#[test]
fn announcements_that_the_store_lost_are_written_again() {
    with_fleet(17, |store, front, back| async move {
        store.faults().era.replace("one".into());
        let is_stored = || {
            let keys = store.with_topic("keyed.mesh", |topic| topic.newest());
            let has = |name: &str| keys.iter().any(|(key, ..)| key == name);
            has("member/machine-2") && has("member/machine-3")
        };
        wait_until("both announcements are stored", is_stored).await;
        monoio::time::sleep(Duration::from_secs(1)).await;
        store.with_topic("keyed.mesh", |topic| topic.go_back(0));
        store.faults().era.replace("two".into());
        assert!(!is_stored());
        wait_until("both announcements are stored again", is_stored).await;
        (front, back)
    });
}

#[test]
fn deleted_records_are_noticed_whatever_the_store_says_of_them() {
    with_fleet(18, |store, front, back| async move {
        store.faults().garbles_expired.set(true);
        store.faults().is_down.set(true);
        monoio::time::sleep(Duration::from_millis(300)).await;
        append(&store, "keyed.op", "note", b"1");
        store.with_topic("keyed.op", standin_store::Topic::delete_records);
        put_config(&store, 9, "bookings");
        store.faults().is_down.set(false);
        assert_config_in_force([&front, &back], 9).await;
        (front, back)
    });
}

/// The reads that wait at the store when it goes silent are never answered, and nothing tells so.
#[test]
fn a_configuration_is_in_force_in_time_after_the_store_was_silent() {
    with_fleet(19, |store, front, back| async move {
        put_config(&store, 5, "bookings");
        assert_config_in_force([&front, &back], 5).await;
        monoio::time::sleep(Duration::from_millis(500)).await;
        store.faults().is_silent.set(true);
        monoio::time::sleep(Duration::from_millis(500)).await;
        store.faults().is_silent.set(false);
        let stable = Instant::now() + STABLE_TIME;
        put_config(&store, 9, "bookings");
        assert_config_in_force_by([&front, &back], 9, stable).await;
        (front, back)
    });
}

/// Fault seen on days on which the store stopped answering the leaders only: nobody else read, and the
/// followers, which the store would have answered, had a configuration late.
#[test]
fn followers_have_a_configuration_in_time_while_the_reads_of_their_leaders_are_silent() {
    with_fleet(39, |store, front, back| async move {
        let follower = machine(boot(39, 4, "spare"), 4).await;
        wait_until("all daemons know each other", || {
            let machines = [&front, &back, &follower];
            machines
                .iter()
                .all(|machine| machine.daemon.member_count() == 3)
        })
        .await;
        for version in (5..=13).step_by(4) {
            put_config(&store, version, "bookings");
            let end = Instant::now() + CONFIG_TIME;
            assert_config_in_force_by([&front, &back, &follower], version, end).await;
            // The leaders have just sent their next reads.
            monoio::time::sleep(Duration::from_millis(400)).await;
            store.faults().is_silent.set(true);
            monoio::time::sleep(Duration::from_millis(50)).await;
            store.faults().is_silent.set(false);
            put_config(&store, version + 2, "bookings");
            let end = Instant::now() + CONFIG_TIME;
            assert_config_in_force_by([&follower], version + 2, end).await;
        }
        follower.close().await;
        (front, back)
    });
}

/// Fault seen on days on which the store stopped answering more than half of the daemons: each next leader
/// of a zone was one of them, and tried for itself before another one did.
#[test]
fn a_configuration_is_in_force_in_time_while_the_store_answers_one_daemon_only() {
    with_fleet(40, |store, front, back| async move {
        let for_one = store.with_own_faults();
        let address = SocketAddr::new(ip(40, 9), STORE);
        let server = serve(address, Rc::new(for_one));
        let next = machine(boot(40, 4, "spare"), 4).await;
        let settings = BootConfig {
            store_address: address,
            ..boot(40, 5, "spare")
        };
        let reachable = machine(settings, 5).await;
        wait_until("all daemons know each other", || {
            let machines = [&front, &back, &next, &reachable];
            machines
                .iter()
                .all(|machine| machine.daemon.member_count() == 4)
        })
        .await;
        put_config(&store, 5, "bookings");
        assert_config_in_force([&front, &back], 5).await;
        monoio::time::sleep(Duration::from_millis(400)).await;
        store.faults().is_silent.set(true);
        put_config(&store, 7, "bookings");
        let end = Instant::now() + CONFIG_TIME;
        assert_config_in_force_by([&reachable], 7, end).await;
        server.close(Duration::ZERO).await;
        next.close().await;
        reachable.close().await;
        (front, back)
    });
}
