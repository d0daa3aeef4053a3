//! A heartbeat of another writer, with a service that no configuration names, reaches a daemon.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::Run;
use crate::fleet;
use crate::fleet::RouteCfg;
use crate::site;

/// Time between two requests of the clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

pub fn play(run: &Run) -> Finding {
    let places = [
        ("sidecar-attiki-a-1", "attiki-a", "vitrina", "v1"),
        ("sidecar-attiki-a-2", "attiki-a", "apothiki", "v1"),
        ("sidecar-attiki-b-1", "attiki-b", "apothiki", "v1"),
    ];
    let route = RouteCfg {
        prefix: "/hold/",
        kind: "non_idempotent",
        service: "apothiki",
        timeout: "1200ms",
        target_latency: "800ms",
        attempts: 2,
        priority: 1,
    };
    let config = fleet::config(7, &[route]);
    let site = match site::start(run, &places, &config, Duration::from_millis(20)) {
        Ok(site) => site,
        Err(e) => return Finding::CannotRun(e),
    };
    let (machine, app) = (&site.machines[0], &site.apps[0]);
    let began = Instant::now();
    let (mut sent, mut served) = (0_u32, 0_u32);
    let mut is_told = false;
    while began.elapsed() < Duration::from_secs(10) {
        if run.is_disrupted && !is_told && began.elapsed() >= Duration::from_secs(4) {
            is_told = true;
            let sequence = app.sequence.load(Ordering::Relaxed) + 1;
            let own = app.heartbeat(sequence, "ready");
            let body = own.replace("\"Service\":\"vitrina\"", "\"Service\":\"zachari\"");
            let status = app.send_heartbeat(&app.cfg.id, &body);
            let text = format!("another writer sends the daemon of {} {body}, and gets {status:?}", machine.name);
            run.record.write(&text);
        }
        let id = format!("{:016x}", 0x9c41_d07b_e200_0000_u64 + u64::from(sent));
        let end = fleet::request(machine, &run.record, &id, "POST", "/hold/2f", 2000).end;
        sent += 1;
        served += u32::from(end == Ok(200));
        thread::sleep(REQUEST_INTERVAL);
    }
    if served * 2 < sent {
        return Finding::CannotRun(format!("only {served} of {sent} requests were served"));
    }
    // All requests began at the machine of vitrina.
    let runs = site.runs.lock().unwrap();
    let wrong: Vec<_> = runs.iter().filter(|run| run.caller != "vitrina").collect();
    match wrong.first() {
        None => Finding::Held(format!("{} runs, all with the service of their machine", runs.len())),
        Some(first) => Finding::Broken(format!(
            "{} of {} runs name a caller other than vitrina; the first is {} with {:?}",
            wrong.len(),
            runs.len(),
            first.request,
            first.caller
        )),
    }
}
