//! Program of the caller stand-in.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use base::units::parse_duration;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use http_edge::Latch;
use ledger::Idempotency;
use standin_caller::CallRecord;
use standin_caller::Caller;
use standin_caller::Plan;
use standin_caller::Summary;
use standin_upstream::signal::Termination;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Ok(_logger) =
        flexi_logger::Logger::try_with_env_or_str("warn").and_then(flexi_logger::Logger::start)
    else {
        return ExitCode::FAILURE;
    };
    match http_edge::block_on(run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-caller: {e}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("standin-caller")
        .about("Stand-in for callers: sends calls and counts what became of them")
        .arg(
            Arg::new("to")
                .long("to")
                .value_name("ADDR,ADDR")
                .help("Addresses of the daemons' calls")
                .required(true)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("route")
                .long("route")
                .value_name("PATH")
                .help("Path of the calls")
                .required(true),
        )
        .arg(option("rate", "100", "Calls a second").value_parser(value_parser!(u32).range(1..)))
        .arg(option("duration", "10s", "How long to send").value_parser(parse_duration))
        .arg(
            option("kind", "idempotent", "Whether a call may run again")
                .value_parser(PossibleValuesParser::new(["idempotent", "at-most-once"])),
        )
        .arg(option("deadline", "2s", "Deadline of each call").value_parser(parse_duration))
        .arg(
            option("size", "256", "Size of the answers, in bytes")
                .value_parser(value_parser!(usize)),
        )
        .arg(option("seed", "1", "Seed of all that is random").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("records")
                .long("records")
                .value_name("FILE")
                .help("Where each call is written as a JSON line at the end")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}

fn plan(matches: &ArgMatches) -> Plan {
    let span = |name: &str| *matches.get_one::<Duration>(name).expect("has a default");
    let text = |name: &str| matches.get_one::<String>(name).expect("given or a default");
    Plan {
        to: matches
            .get_many("to")
            .expect("clap requires it")
            .copied()
            .collect(),
        route: text("route").into(),
        rate: *matches.get_one("rate").expect("has a default"),
        duration: span("duration"),
        repeat: match text("kind").as_str() {
            "at-most-once" => Idempotency::AtMostOnce,
            _ => Idempotency::Idempotent,
        },
        deadline: span("deadline"),
        size: *matches.get_one("size").expect("has a default"),
        seed: *matches.get_one("seed").expect("has a default"),
    }
}

async fn run(matches: &ArgMatches) -> io::Result<()> {
    let termination = Termination::register()?;
    let stop = Latch::default();
    let stopped = stop.clone();
    monoio::spawn(async move {
        termination.wait().await;
        stopped.set();
    });
    let records = Caller::new(plan(matches)).run(stop).await;
    if let Some(path) = matches.get_one::<PathBuf>("records") {
        write_records(path, &records)?;
    }
    println!(
        "{}",
        serde_json::to_string(&Summary::from_records(&records))?
    );
    Ok(())
}

fn write_records(path: &Path, records: &[CallRecord]) -> io::Result<()> {
    let mut text = String::new();
    for record in records {
        text.push_str(&serde_json::to_string(record)?);
        text.push('\n');
    }
    fs::write(path, text)
}
