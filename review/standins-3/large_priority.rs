//! A configuration moves a route to another service and gives it a priority above 255.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::Run;
use crate::fleet;
use crate::fleet::RouteCfg;
use crate::site;

/// Bound `ConfigApply`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Time between two requests of the clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

pub fn play(run: &Run) -> Finding {
    let places = [
        ("sidecar-attiki-a-1", "attiki-a", "vitrina", "v1"),
        ("sidecar-attiki-a-2", "attiki-a", "apothiki", "v1"),
        ("sidecar-attiki-b-1", "attiki-b", "tameio", "v1"),
    ];
    let route = |service, priority| RouteCfg {
        prefix: "/hold/",
        kind: "non_idempotent",
        service,
        timeout: "1200ms",
        target_latency: "800ms",
        attempts: 2,
        priority,
    };
    let config = fleet::config(7, &[route("apothiki", 1)]);
    let site = match site::start(run, &places, &config, Duration::from_millis(20)) {
        Ok(site) => site,
        Err(e) => return Finding::CannotRun(e),
    };
    let began = Instant::now();
    let mut changed_at: Option<Instant> = None;
    let (mut sent, mut served) = (0_u32, 0_u32);
    let mut late = Vec::new();
    while began.elapsed() < Duration::from_secs(14) {
        if changed_at.is_none() && began.elapsed() >= Duration::from_secs(4) {
            let priority = if run.is_disrupted { 300 } else { 3 };
            let config = fleet::config(9, &[route("tameio", priority)]);
            site.store.put("keyed.op", "config", &config);
            changed_at = Some(Instant::now());
            run.record.write(&format!("the store holds op/config {config}"));
        }
        let machine = &site.machines[sent as usize % site.machines.len()];
        let id = format!("{:016x}", 0x9c41_d07b_e200_0000_u64 + u64::from(sent));
        let answered = fleet::request(machine, &run.record, &id, "POST", "/hold/2f", 2000);
        sent += 1;
        served += u32::from(answered.end == Ok(200));
        if changed_at.is_some_and(|at| answered.sent_at > at + CONFIG_APPLY) {
            late.push(id);
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    if served * 2 < sent {
        return Finding::CannotRun(format!("only {served} of {sent} requests were served"));
    }
    let runs = site.runs.lock().unwrap();
    let stale = runs.iter().filter(|run| late.contains(&run.request));
    let stale = stale.filter(|run| {
        let app = site.apps.iter().find(|app| app.cfg.id == run.server);
        app.is_some_and(|app| app.cfg.service == "apothiki")
    });
    let stale = stale.count();
    let text = format!(
        "{stale} of {} requests that were sent later than {} s after the ack of r9 ran at the service of r7",
        late.len(),
        CONFIG_APPLY.as_secs()
    );
    if stale == 0 {
        Finding::Held(text)
    } else {
        Finding::Broken(text)
    }
}
