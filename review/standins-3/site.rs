//! The deployment that most cases use: three machines in two zones, with the store.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Run;
use crate::fleet;
use crate::fleet::App;
use crate::fleet::AppCfg;
use crate::fleet::Machine;
use crate::fleet::SettingsCfg;
use crate::store::Store;
use crate::wait_ready;

/// A deployment that serves.
pub struct Site {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub apps: Vec<App>,
    pub runs: Arc<Mutex<Vec<fleet::Run>>>,
}

/// A machine: its name, its zone, its service and the version of its server.
pub type Place<'a> = (&'a str, &'a str, &'a str, &'a str);

/// Starts a deployment with a configuration, and waits until it is ready and calm.
pub fn start(run: &Run, places: &[Place<'_>], config: &str, work: Duration) -> Result<Site, String> {
    start_with(run, places, config, work, &[], &[])
}

/// The same with further contracts and bounds in the settings.
pub fn start_with(
    run: &Run,
    places: &[Place<'_>],
    config: &str,
    work: Duration,
    further_contracts: &[&str],
    further_bounds: &[&str],
) -> Result<Site, String> {
    let store = Store::default();
    let store_address = format!("{}.9:8627", run.network).parse().unwrap();
    store.serve(store_address).map_err(|e| format!("store: {e}"))?;
    let settings = SettingsCfg {
        folder: &run.folder,
        program: &run.program,
        store: store_address,
        is_first_start: true,
        grace: "6s",
        further_contracts,
        further_bounds,
    };
    let runs = Arc::new(Mutex::new(Vec::new()));
    let (mut machines, mut apps) = (Vec::new(), Vec::new());
    for (index, (name, zone, service, version)) in places.iter().enumerate() {
        let ip = format!("{}.{}", run.network, index + 1);
        let mut machine = fleet::machine(&settings, name, &ip, zone, service);
        machine.start();
        let number = 0x7f3a_91c2_u32.wrapping_add(index as u32 * 7_654_321);
        let cfg = AppCfg {
            id: format!("i-{number:08x}"),
            service: (*service).to_owned(),
            version: (*version).to_owned(),
            address: machine.address(fleet::APP),
            control: machine.address(fleet::CONTROL),
            zone: (*zone).to_owned(),
            slots: 12,
            work,
        };
        apps.push(App::start(cfg, &runs, &run.record));
        machines.push(machine);
    }
    store.put("keyed.op", "config", config);
    if !wait_ready(&machines) {
        return Err("the daemons are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    Ok(Site { store, machines, apps, runs })
}
