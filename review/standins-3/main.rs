//! Cases of the review that run the project's daemons as processes. Exit code 1: the rule was broken, 0: it held,
//! 2: the case could not run.

#![allow(dead_code)]

mod caller_service;
mod fleet;
mod kept_limits;
mod large_priority;
mod net;
mod revoked_key;
mod site;
mod store;
mod tenant_header;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Machine;
use crate::fleet::Record;

/// Settings of a run, from the command line and the environment.
pub struct Run {
    pub folder: String,
    pub program: String,
    pub record: Record,
    pub network: String,
    /// Whether the disruption happens.
    pub is_disrupted: bool,
}

/// What a case found.
pub enum Finding {
    Held(String),
    Broken(String),
    CannotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = &arguments[..] else {
        eprintln!("usage: lab CASE DAEMON TEMPORARY-FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(record);
    let Some(network) = fleet::free_network() else {
        eprintln!("no free loopback addresses");
        return ExitCode::from(2);
    };
    let run = Run {
        folder: folder.clone(),
        program: program.clone(),
        record: record.clone(),
        network,
        is_disrupted: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let finding = match case.as_str() {
        "caller-service" => caller_service::play(&run),
        "kept-limits" => kept_limits::play(&run),
        "large-priority" => large_priority::play(&run),
        "tenant-header" => tenant_header::play(&run),
        "revoked-key" => revoked_key::play(&run),
        _ => Finding::CannotRun(format!("unknown case {case}")),
    };
    let (code, text) = match finding {
        Finding::Held(text) => (0, format!("held: {text}")),
        Finding::Broken(text) => (1, format!("broken: {text}")),
        Finding::CannotRun(text) => (2, format!("could not run: {text}")),
    };
    record.write(&text);
    println!("{text}");
    ExitCode::from(code)
}

/// Waits until all daemons are ready; returns whether they are.
pub fn wait_ready(machines: &[Machine]) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(20) {
        if machines.iter().all(Machine::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
