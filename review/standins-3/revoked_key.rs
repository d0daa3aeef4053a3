//! A configuration takes a key away and splits a route by weights that are no whole numbers.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::Run;
use crate::fleet;
use crate::fleet::RouteCfg;
use crate::site;

/// Bound `Revoke`.
const REVOKE: Duration = Duration::from_secs(5);

/// Time between two requests of the clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

const KEY: &str = "k-4f1c9e20b7";

fn tenants(keys: &str) -> String {
    format!(
        "\"Tenants\":{{\"tanoa\":{{\"ApiKeys\":[{keys}],\"Priority\":1}},\
         \"syndesmos\":{{\"ApiKeys\":[\"k-90ad33e1c5\"],\"Priority\":1}}}},"
    )
}

pub fn play(run: &Run) -> Finding {
    let places = [
        ("sidecar-rentis-1", "attiki-a", "storefront", "v1"),
        ("sidecar-rentis-2", "attiki-a", "buildroom", "v1"),
        ("sidecar-kifisia-1", "attiki-b", "buildroom", "v1"),
    ];
    let route = |prefix, service| RouteCfg {
        prefix,
        kind: "non_idempotent",
        service,
        timeout: "600ms",
        target_latency: "250ms",
        attempts: 2,
        priority: 1,
    };
    let routes = [route("/build/", "buildroom"), route("/order/", "storefront")];
    let keys = format!("\"{KEY}\",\"k-71be04d9aa\"");
    let config = fleet::config_with(7, &routes, &tenants(&keys));
    let bounds = ["StrictRevoke=true", "Revoke=5000ms"];
    let work = Duration::from_millis(20);
    let site = match site::start_with(run, &places, &config, work, &["tenants"], &bounds) {
        Ok(site) => site,
        Err(e) => return Finding::CannotRun(e),
    };
    let began = Instant::now();
    let mut revoked_at: Option<Instant> = None;
    let (mut sent, mut served_before) = (0_u32, 0_u32);
    let mut late = Vec::new();
    while began.elapsed() < Duration::from_secs(16) {
        if revoked_at.is_none() && began.elapsed() >= Duration::from_secs(4) {
            // The proportions are the same.
            let (most, rest) = if run.is_disrupted { ("99.5", "0.5") } else { ("199", "1") };
            let split = format!(
                "\"WeightedServices\":[{{\"Service\":\"buildroom\",\"Weight\":{most}}},\
                 {{\"Service\":\"storefront\",\"Weight\":{rest}}}],"
            );
            let config = fleet::config_with(9, &routes, &tenants("\"k-71be04d9aa\""));
            let config = config.replace("\"Service\":\"buildroom\",", &split);
            site.store.put("keyed.op", "config", &config);
            revoked_at = Some(Instant::now());
            run.record.write(&format!("the store holds op/config {config}"));
        }
        let machine = &site.machines[sent as usize % site.machines.len()];
        let id = format!("{:016x}", 0x9c41_d07b_e200_0000_u64 + u64::from(sent));
        let key = format!("Bearer {KEY}");
        let headers = [("Authorization", key.as_str())];
        let request = ("POST", "/build/2f");
        let answered = fleet::request_with(machine, &run.record, &id, request, 600, &headers);
        sent += 1;
        match revoked_at {
            None => served_before += u32::from(answered.end == Ok(200)),
            Some(at) if answered.sent_at > at + REVOKE => late.push(id),
            Some(_) => {}
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    if served_before < 20 {
        return Finding::CannotRun(format!("only {served_before} requests were served before the change"));
    }
    let runs = site.runs.lock().unwrap();
    let ran = runs.iter().filter(|run| late.contains(&run.request)).count();
    let text = format!(
        "{ran} of {} requests that were sent later than {} s after the ack of r9, which took their key away, ran",
        late.len(),
        REVOKE.as_secs()
    );
    if ran == 0 {
        Finding::Held(text)
    } else {
        Finding::Broken(text)
    }
}
