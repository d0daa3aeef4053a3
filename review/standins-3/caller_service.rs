//! A heartbeat of another writer, with a service that no configuration names, reaches a daemon.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::Run;
use crate::fleet;
use crate::fleet::App;
use crate::fleet::AppCfg;
use crate::fleet::RouteCfg;
use crate::fleet::SettingsCfg;
use crate::store::Store;
use crate::wait_ready;

/// Time between two requests of the clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

pub fn play(run: &Run) -> Finding {
    let store = Store::default();
    let store_address = format!("{}.9:8627", run.network).parse().unwrap();
    if let Err(e) = store.serve(store_address) {
        return Finding::CannotRun(format!("store: {e}"));
    }
    let settings = SettingsCfg {
        folder: &run.folder,
        program: &run.program,
        store: store_address,
        is_first_start: true,
        grace: "6s",
    };
    let layout = [
        ("sidecar-attiki-a-1", "attiki-a", "vitrina"),
        ("sidecar-attiki-a-2", "attiki-a", "apothiki"),
        ("sidecar-attiki-b-1", "attiki-b", "apothiki"),
    ];
    let runs = Arc::new(Mutex::new(Vec::new()));
    let (mut machines, mut apps) = (Vec::new(), Vec::new());
    for (index, (name, zone, service)) in layout.iter().enumerate() {
        let ip = format!("{}.{}", run.network, index + 1);
        let mut machine = fleet::machine(&settings, name, &ip, zone, service);
        machine.start();
        let cfg = AppCfg {
            id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_add(index as u32 * 7_654_321)),
            service: (*service).to_owned(),
            version: "v1".to_owned(),
            address: machine.address(fleet::APP),
            control: machine.address(fleet::CONTROL),
            zone: (*zone).to_owned(),
            slots: 12,
            work: Duration::from_millis(20),
        };
        apps.push(App::start(cfg, &runs, &run.record));
        machines.push(machine);
    }
    let route = RouteCfg {
        prefix: "/hold/",
        kind: "non_idempotent",
        service: "apothiki",
        timeout: "1200ms",
        target_latency: "800ms",
        attempts: 2,
        priority: 1,
    };
    store.put("keyed.op", "config", &fleet::config(7, &[route]));
    if !wait_ready(&machines) {
        return Finding::CannotRun("the daemons are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let mut sent = 0_u32;
    let mut served = 0_u32;
    let mut is_told = false;
    while began.elapsed() < Duration::from_secs(10) {
        if run.is_disrupted && !is_told && began.elapsed() >= Duration::from_secs(4) {
            is_told = true;
            let app = &apps[0];
            let sequence = app.sequence.load(Ordering::Relaxed) + 1;
            let own = app.heartbeat(sequence, "ready");
            let body = own.replace("\"Service\":\"vitrina\"", "\"Service\":\"zachari\"");
            let status = app.send_heartbeat(&app.cfg.id, &body);
            let text = format!("another writer sends the daemon of {} {body}, and gets {status:?}", layout[0].0);
            run.record.write(&text);
        }
        let id = format!("{:016x}", 0x9c41_d07b_e200_0000_u64 + u64::from(sent));
        let end = fleet::request(&machines[0], &run.record, &id, "POST", "/hold/2f", 2000).end;
        sent += 1;
        served += u32::from(end == Ok(200));
        thread::sleep(REQUEST_INTERVAL);
    }
    if served * 2 < sent {
        return Finding::CannotRun(format!("only {served} of {sent} requests were served"));
    }
    // All requests began at the machine of vitrina.
    let runs = runs.lock().unwrap();
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
