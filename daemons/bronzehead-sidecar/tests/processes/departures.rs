//! An instance that leaves gets no requests once the bound after the acknowledgement has passed, whatever
//! happens to the processes and the store.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http_edge::Response;
use mesh::wire::ForwardOutcome;

use crate::site::HEARTBEAT_INTERVAL;
use crate::site::Machine;
use crate::site::PEERS;
use crate::site::Site;
use crate::site::TIMEOUT;
use crate::site::call;
use crate::site::outcome;
use crate::site::with_site;
use crate::site::with_sites;

/// Time after the acknowledgement from which an instance must get no more requests.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which an instance is observed after the acknowledgement: longer than a process trusts what it
/// took over without a heartbeat.
const OBSERVED: Duration = Duration::from_secs(7);

/// How an instance says that it leaves.
#[derive(Debug, Clone, Copy)]
enum Leaving {
    /// It deregisters.
    Deregisters,
    /// It says so in its last heartbeat.
    Drains,
}

/// Has the first machine's instance leave under load; returns when that was acknowledged.
async fn leave(site: &Site, leaving: Leaving) -> Instant {
    let first = &site.machines[0];
    site.send_requests();
    monoio::time::sleep(HEARTBEAT_INTERVAL).await;
    first.instance.is_beating.set(false);
    first.instance.is_staying.set(false);
    let is_acknowledged = match leaving {
        Leaving::Deregisters => first.deregister().await,
        Leaving::Drains => first.send_heartbeat("draining", first.sequence() + 1).await,
    };
    assert!(is_acknowledged);
    Instant::now()
}

/// Checks that the first machine's instance gets no requests from the bound on, while others do.
async fn assert_departed(site: &Site, acknowledged: Instant) {
    let left = OBSERVED.saturating_sub(acknowledged.elapsed());
    monoio::time::sleep(left).await;
    let first = &site.machines[0].instance;
    let late = first.arrivals_since(acknowledged + DRAIN);
    assert_eq!(late, 0, "late requests");
    let others = site.machines[1..].iter();
    let elsewhere = others.map(|other| other.instance.arrivals_since(acknowledged + DRAIN));
    assert!(elsewhere.sum::<usize>() > 0, "no requests elsewhere");
}

async fn restart(machine: &Machine) {
    machine.kill();
    monoio::time::sleep(Duration::from_millis(200)).await;
    machine.start();
    machine.wait_ready().await;
}

/// Review case 2: a daemon that was killed after it had acknowledged that its instance leaves sent it
/// requests again.
#[test]
fn a_departure_outlives_the_process_that_acknowledged_it() {
    let cases = [
        (1, (Leaving::Deregisters, 0)),
        (2, (Leaving::Deregisters, 200)),
        (3, (Leaving::Drains, 0)),
        (4, (Leaving::Drains, 200)),
    ];
    with_sites(cases, |site, (leaving, kill_after_ms)| async move {
        let acknowledged = leave(&site, leaving).await;
        monoio::time::sleep(Duration::from_millis(kill_after_ms)).await;
        restart(&site.machines[0]).await;
        assert_departed(&site, acknowledged).await;
        site
    });
}

/// As above, and no other process knows of the departure any more.
#[test]
fn a_departure_outlives_all_processes() {
    with_site(5, |site| async move {
        let acknowledged = leave(&site, Leaving::Deregisters).await;
        for machine in &site.machines {
            machine.kill();
        }
        for machine in &site.machines {
            machine.start();
        }
        assert_departed(&site, acknowledged).await;
        site
    });
}

/// A new process started to count heartbeats anew, so that a delayed one undid the departure.
#[test]
fn a_delayed_ready_heartbeat_does_not_undo_a_departure_after_a_restart() {
    with_sites(
        [(6, 0), (13, 50), (14, 200)],
        |site, kill_after_ms| async move {
            let acknowledged = leave(&site, Leaving::Drains).await;
            monoio::time::sleep(Duration::from_millis(kill_after_ms)).await;
            let first = &site.machines[0];
            restart(first).await;
            first.send_heartbeat("ready", first.sequence()).await;
            monoio::time::sleep(HEARTBEAT_INTERVAL).await;
            first.send_heartbeat("ready", first.sequence()).await;
            assert_departed(&site, acknowledged).await;
            site
        },
    );
}

/// The store is away as the process starts: it does not know what earlier ones acknowledged, and its peers
/// need not know either.
#[test]
fn a_departure_holds_while_the_store_is_away_at_the_start() {
    with_sites([(7, 1), (8, 3)], |site, killed| async move {
        let acknowledged = leave(&site, Leaving::Drains).await;
        let first = &site.machines[0];
        for machine in &site.machines {
            machine.store.faults().is_down.set(true);
        }
        for machine in &site.machines[..killed] {
            machine.kill();
        }
        for machine in &site.machines[..killed] {
            machine.start();
        }
        monoio::time::sleep(Duration::from_millis(500)).await;
        first.send_heartbeat("ready", first.sequence()).await;
        monoio::time::sleep(Duration::from_secs(3)).await;
        for machine in &site.machines {
            machine.store.faults().is_down.set(false);
        }
        assert_departed(&site, acknowledged).await;
        site
    });
}

/// A restart must not take an instance away for longer where the store cannot tell what earlier processes
/// acknowledged.
#[test]
fn an_instance_that_stays_serves_before_its_next_heartbeat_though_the_store_is_away() {
    with_site(15, |site| async move {
        let first = &site.machines[0];
        for machine in &site.machines {
            machine.store.faults().is_down.set(true);
        }
        first.instance.is_beating.set(false);
        first.kill();
        first.start();
        let started = Instant::now();
        first.wait_ready().await;
        let is_served = |res: Option<Response>| {
            res.is_some_and(|res| matches!(outcome(&res), ForwardOutcome::Answered { .. }))
        };
        let send = || call(first.ip, PEERS, first.forwarded("after-start"), TIMEOUT);
        while !is_served(send().await) {
            assert!(started.elapsed() < HEARTBEAT_INTERVAL, "no requests");
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        site
    });
}

/// The departure of an instance that the process did not know was acknowledged and ignored.
#[test]
fn a_departure_reaches_a_process_that_does_not_know_the_instance() {
    with_site(9, |site| async move {
        let first = &site.machines[0];
        site.send_requests();
        first.instance.is_beating.set(false);
        first.instance.is_staying.set(false);
        first.store.faults().is_silent.set(true);
        first.kill();
        first.start();
        let mut is_acknowledged = false;
        let end = Instant::now() + Duration::from_secs(8);
        while !is_acknowledged && Instant::now() < end {
            is_acknowledged = first.deregister().await;
            first.store.faults().is_silent.set(false);
        }
        assert!(is_acknowledged);
        let acknowledged = Instant::now();
        first.send_heartbeat("ready", first.sequence()).await;
        restart(first).await;
        first.send_heartbeat("ready", first.sequence()).await;
        assert_departed(&site, acknowledged).await;
        site
    });
}

/// A departure that no store holds could be forgotten, so nobody must be bound by it; the instance gets no
/// requests all the same.
#[test]
fn a_departure_is_acknowledged_once_the_store_holds_it() {
    with_site(10, |site| async move {
        let first = &site.machines[0];
        site.send_requests();
        first.instance.is_beating.set(false);
        first.instance.is_staying.set(false);
        for machine in &site.machines {
            machine.store.faults().is_down.set(true);
        }
        assert!(!first.deregister().await);
        let told = Instant::now();
        monoio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(first.instance.arrivals_since(told), 0);
        for machine in &site.machines {
            machine.store.faults().is_down.set(false);
        }
        // The platform's bound for an acknowledgement.
        let end = Instant::now() + Duration::from_secs(4);
        while !first.deregister().await {
            assert!(Instant::now() < end, "not acknowledged");
        }
        let acknowledged = Instant::now();
        restart(first).await;
        assert_departed(&site, acknowledged).await;
        site
    });
}

/// The store turns one machine away while it serves the others, or answers it no more.
#[test]
fn peers_store_a_departure_for_a_daemon_that_the_store_turns_away() {
    with_sites([(11, false), (12, true)], |site, is_silent| async move {
        let first = Rc::clone(&site.machines[0]);
        first.store.faults().is_down.set(!is_silent);
        first.store.faults().is_silent.set(is_silent);
        let acknowledged = leave(&site, Leaving::Deregisters).await;
        first.store.faults().is_down.set(false);
        first.store.faults().is_silent.set(false);
        restart(&first).await;
        assert_departed(&site, acknowledged).await;
        site
    });
}
