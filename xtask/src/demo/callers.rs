//! Load generators of the demo: one caller process per route.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use standin_caller::CallRecord;

use crate::error::Result;
use crate::error::TaskError;
use crate::fleet::Fleet;
use crate::process::Interrupt;

/// Route, kind and calls per second of each caller.
const CALLERS: [(&str, &str, &str); 4] = [
    ("/catalogue", "idempotent", "200"),
    ("/bookings/fittings", "idempotent", "60"),
    ("/bookings", "at-most-once", "200"),
    ("/payments", "at-most-once", "200"),
];

/// Timeout for a caller to exit after SIGTERM; it waits for outstanding responses first.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Starts all callers; they run until [`stop`].
pub fn start(fleet: &mut Fleet, seed: u64) -> Result<()> {
    let calls = fleet
        .instances
        .iter()
        .map(|instance| instance.calls_addr().to_string());
    let targets = calls.collect::<Vec<_>>().join(",");
    let seed = seed.to_string();
    for (route, kind, rate) in CALLERS {
        let records = records_path(fleet, route).display().to_string();
        let options = [
            ("--to", targets.as_str()),
            ("--route", route),
            ("--kind", kind),
            ("--rate", rate),
            ("--duration", "10m"),
            ("--seed", &seed),
            ("--records", &records),
        ];
        let args = options.into_iter().flat_map(|(name, value)| [name, value]);
        let args: Vec<String> = args.map(str::to_owned).collect();
        fleet.spawn(&name(route), "standin-caller", &args)?;
    }
    Ok(())
}

/// Stops all callers and returns the records of all calls.
pub fn stop(fleet: &mut Fleet, interrupt: &Interrupt) -> Result<Vec<CallRecord>> {
    let mut records = Vec::new();
    for (route, ..) in CALLERS {
        let mut caller = fleet.detach(&name(route))?;
        caller.terminate()?;
        caller.wait(interrupt, STOP_TIMEOUT)?;
        records.extend(read_records(&records_path(fleet, route))?);
    }
    Ok(records)
}

fn name(route: &str) -> String {
    format!("caller{}", route.replace('/', "-"))
}

fn records_path(fleet: &Fleet, route: &str) -> PathBuf {
    fleet.dir().join(format!("{}.jsonl", name(route)))
}

fn read_records(path: &Path) -> Result<Vec<CallRecord>> {
    let text =
        fs::read_to_string(path).map_err(|e| TaskError::Io(path.display().to_string(), e))?;
    let parse = |line| serde_json::from_str(line).map_err(|e| TaskError::Failed(e.to_string()));
    text.lines().map(parse).collect()
}
