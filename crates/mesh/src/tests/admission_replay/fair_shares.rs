//! A customer that sends many times its usual while the instance is full.

use std::time::Duration;
use std::time::Instant;

use routing::admission::QueueAction;

use super::simulation::CFG;
use super::simulation::Kind;
use super::simulation::Outcome;
use super::simulation::SECS;
use super::simulation::Spread;
use super::simulation::Stream;
use super::simulation::compare;
use super::simulation::total;
use crate::admission::AdmissionController;
use crate::admission::AdmissionRequest;
use crate::customers::CustomerName;

const QUOTE: Kind = Kind {
    route: "quote",
    rank: 1,
    work_ms: 120,
    aim_ms: 400,
    budget_ms: 1000,
    spread: Spread::Narrow,
};

/// Customers whose load does not change.
const OTHERS: [&str; 6] = ["b", "c", "d", "e", "f", "g"];

/// Requests a second of each customer at its usual load.
const USUAL: f64 = 7.0;

/// Seeds of the replays.
const SEEDS: u64 = 5;

fn load(factor: f64) -> Vec<Stream> {
    let mut large = [USUAL; SECS];
    large[5..15].fill(USUAL * factor);
    let stream = |customer, per_sec| Stream {
        kind: QUOTE,
        customer,
        per_sec,
    };
    std::iter::once(stream(Some("a"), large))
        .chain(OTHERS.map(|name| stream(Some(name), [USUAL; SECS])))
        .collect()
}

#[test]
fn a_customer_at_eight_times_its_usual_costs_the_others_nothing() {
    for seed in 0..SEEDS {
        let [usual, _] = compare(&load(1.0), 1.0, seed);
        let [present, former] = compare(&load(8.0), 1.0, seed);
        let others = |outcomes: &[Outcome]| total(&outcomes[1..]).in_time_share();
        let (quiet, now, before) = (others(&usual), others(&present), others(&former));
        assert!(
            now >= quiet - 0.01,
            "{quiet:.3} without it, {now:.3} with it"
        );
        assert!(now - before >= 0.1, "{before:.3} to {now:.3}");
        let worst = present[1..].iter().map(|outcome| outcome.in_time_share());
        assert!(worst.fold(1.0, f64::min) >= 0.96, "{present:?}");
        // The slots serve as many as before.
        let (all, all_before) = (total(&present).in_time, total(&former).in_time);
        assert!(f64::from(all) >= 0.98 * f64::from(all_before));
    }
}

#[test]
fn requests_without_a_customer_keep_their_order() {
    let owned_by = |customer: Option<&'static str>| -> Vec<Stream> {
        let streams = load(8.0).into_iter();
        streams
            .map(|stream| Stream { customer, ..stream })
            .collect()
    };
    let (unowned, owned) = (owned_by(None), owned_by(Some("a")));
    for seed in 0..SEEDS {
        let [present, former] = compare(&unowned, 1.0, seed);
        assert_eq!(present, compare(&owned, 1.0, seed)[0]);
        assert!(total(&present).in_time >= total(&former).in_time);
    }
}

#[test]
fn requests_without_a_customer_are_served_as_before_at_the_usual_load() {
    let unowned: Vec<Stream> = load(1.0)
        .into_iter()
        .map(|stream| Stream {
            customer: None,
            ..stream
        })
        .collect();
    for seed in 0..SEEDS {
        let [present, former] = compare(&unowned, 1.0, seed);
        assert_eq!(present, former);
    }
}

/// A full instance gets requests from this many customers in turn, and serves them. Returns how many
/// names of customers it held at most, and the time for one request.
fn cost_of(customers: usize) -> (usize, Duration) {
    let mut now = Instant::now();
    let names: Vec<CustomerName> = (0..customers)
        .map(|index| format!("customer-{index}").into())
        .collect();
    let mut controller = AdmissionController::new(CFG);
    let (mut most, mut spent) = (0, Duration::ZERO);
    let rounds = 20_000;
    for key in 0..rounds {
        now += Duration::from_millis(1);
        let request = AdmissionRequest {
            key,
            route: QUOTE.route.into(),
            rank: QUOTE.rank,
            full_value_until: now + Duration::from_secs(5),
            deadline: now + Duration::from_secs(5),
            expected_service_time: Duration::from_millis(QUOTE.work_ms),
        };
        let name = names[key * 7919 % customers].clone();
        let began = Instant::now();
        let _ = controller.offer_for(Some(name), request, now);
        if key % 5 == 4 {
            controller.finished(&QUOTE.route.into(), Duration::from_millis(QUOTE.work_ms));
            while let QueueAction::Run(_) | QueueAction::Refuse(..) = controller.next(now) {}
        }
        spent += began.elapsed();
        if key % 500 == 499 {
            most = most.max(format!("{controller:?}").matches("customer-").count());
        }
    }
    let rounds = u32::try_from(rounds).expect("a small number");
    (most, spent / rounds)
}

#[test]
fn only_customers_that_wait_take_memory() {
    for customers in [77, 10_000] {
        let (names, time) = cost_of(customers);
        println!("{customers} customers: {names} names held, {time:?} a request");
        // Each request that waits names its customer, which has a turn, as have about as many that
        // started lately.
        let most = 3 * CFG.max_queued;
        assert!(names <= most, "{names} names of {customers} customers");
    }
}
