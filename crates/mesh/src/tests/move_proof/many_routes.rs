//! Moves of services with more routes than one message of evidence holds.

use crate::tests::move_proof::Scenario;
use crate::tests::move_proof::SimulatedRoute;
use crate::tests::move_proof::WITHIN;
use crate::tests::move_proof::check_bad_with;
use crate::tests::move_proof::check_good_with;
use crate::tests::move_proof::route;

/// Seeds of simulations with many routes, which take longer.
const MANY_SEEDS: u64 = 20;

/// Routes that are all quiet, more of them than one message of evidence holds.
const MANY: [&str; 40] = [
    "r-00", "r-01", "r-02", "r-03", "r-04", "r-05", "r-06", "r-07", "r-08", "r-09", "r-10", "r-11",
    "r-12", "r-13", "r-14", "r-15", "r-16", "r-17", "r-18", "r-19", "r-20", "r-21", "r-22", "r-23",
    "r-24", "r-25", "r-26", "r-27", "r-28", "r-29", "r-30", "r-31", "r-32", "r-33", "r-34", "r-35",
    "r-36", "r-37", "r-38", "r-39",
];

/// Returns `count` routes with so many requests in all, the last of which has `last_part` of them.
fn many_routes(count: u32, per_second: f64, last_part: f64) -> Vec<SimulatedRoute> {
    let each = per_second * (1.0 - last_part) / f64::from(count - 1);
    let names = MANY.iter().take(usize::try_from(count).unwrap());
    let mut routes: Vec<SimulatedRoute> = names.map(|name| route(name, each, 40)).collect();
    routes.last_mut().unwrap().per_second = per_second * last_part;
    routes
}

/// Guards against a version that is bad on a route of which no message tells.
#[test]
fn a_version_that_is_bad_on_one_of_many_routes_is_rolled_back() {
    for (count, last_part) in [(12, 0.04), (16, 0.03), (40, 0.03)] {
        let mut routes = many_routes(count, 300.0, last_part);
        routes.last_mut().unwrap().failing = 0.5;
        check_bad_with(0..MANY_SEEDS, &routes, Scenario::default());
        let several = Scenario {
            more_instances: 2,
            ..Scenario::default()
        };
        check_bad_with(0..MANY_SEEDS, &routes, several);
        for slower in [5, 8] {
            let mut routes = many_routes(count, 300.0, last_part);
            routes.last_mut().unwrap().slower = slower;
            check_bad_with(0..MANY_SEEDS, &routes, several);
        }
    }
}

#[test]
fn a_good_version_with_many_routes_is_completed_in_time() {
    for count in [12, 16, 24] {
        let routes = many_routes(count, 300.0, 0.03);
        check_good_with(0..MANY_SEEDS, &routes, Scenario::default(), WITHIN);
    }
}
