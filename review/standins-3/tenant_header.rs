//! Requests of a customer that list `X-Tenant` among the headers of their connection.

use std::thread;
use std::time::Duration;

use crate::Finding;
use crate::Run;
use crate::fleet;
use crate::fleet::RouteCfg;
use crate::site;

const REQUESTS: u64 = 60;

/// Customers with their keys.
const TENANTS: &str = "\"Tenants\":{\"tanoa\":{\"ApiKeys\":[\"k-4f1c9e20b7\"],\"Priority\":1},\
                       \"syndesmos\":{\"ApiKeys\":[\"k-90ad33e1c5\"],\"Priority\":1}},";

pub fn play(run: &Run) -> Finding {
    let places = [
        ("sidecar-rentis-1", "attiki-a", "storefront", "v1"),
        ("sidecar-rentis-2", "attiki-a", "buildroom", "v1"),
        ("sidecar-kifisia-1", "attiki-b", "buildroom", "v1"),
    ];
    let route = RouteCfg {
        prefix: "/build/",
        kind: "non_idempotent",
        service: "buildroom",
        timeout: "600ms",
        target_latency: "250ms",
        attempts: 2,
        priority: 1,
    };
    let config = fleet::config_with(7, &[route], TENANTS);
    let bounds = ["StrictRevoke=true", "Revoke=5000ms"];
    let work = Duration::from_millis(20);
    let site = match site::start_with(run, &places, &config, work, &["tenants"], &bounds) {
        Ok(site) => site,
        Err(e) => return Finding::CannotRun(e),
    };
    let connection = if run.is_disrupted {
        "keep-alive, X-Tenant"
    } else {
        "keep-alive"
    };
    let mut served = 0;
    for number in 0..REQUESTS {
        let machine = &site.machines[number as usize % site.machines.len()];
        let id = format!("{:016x}", 0x9c41_d07b_e200_0000_u64 + number);
        let headers = [("Authorization", "Bearer k-4f1c9e20b7"), ("Connection", connection)];
        let request = ("POST", "/build/2f");
        let end = fleet::request_with(machine, &run.record, &id, request, 600, &headers).end;
        served += u64::from(end == Ok(200));
        thread::sleep(Duration::from_millis(50));
    }
    if served * 2 < REQUESTS {
        return Finding::CannotRun(format!("only {served} of {REQUESTS} requests were served"));
    }
    let runs = site.runs.lock().unwrap();
    let wrong = runs.iter().filter(|run| run.tenant.as_deref() != Some("tanoa"));
    let wrong: Vec<_> = wrong.collect();
    match wrong.first() {
        None => Finding::Held(format!("{} runs, all with the customer that holds the key", runs.len())),
        Some(first) => Finding::Broken(format!(
            "{} of {} runs with a key of tanoa do not name tanoa; the first is {} with {:?}",
            wrong.len(),
            runs.len(),
            first.request,
            first.tenant
        )),
    }
}
