//! Program of the upstream stand-in.

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
use clap::value_parser;
use standin_upstream::Upstream;
use standin_upstream::UpstreamCfg;
use standin_upstream::service::Service;
use standin_upstream::signal::Termination;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Ok(_logger) =
        flexi_logger::Logger::try_with_env_or_str("info").and_then(flexi_logger::Logger::start)
    else {
        return ExitCode::FAILURE;
    };
    match http_edge::block_on(run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin-upstream: {e}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("standin-upstream")
        .about("Stand-in for one upstream of a service, with faults")
        .arg(required("listen", "Address of its calls").value_parser(value_parser!(SocketAddr)))
        .arg(
            Arg::new("announce")
                .long("announce")
                .value_name("ADDR")
                .help("Local address of the daemon beside it")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(required("service", "Service that it serves"))
        .arg(required("version", "Version that it runs"))
        .arg(
            with_default("slots", "20", "Calls that it runs at once")
                .value_parser(value_parser!(u32).range(1..)),
        )
        .arg(with_default("cold-start", "500ms", "Time to full speed").value_parser(parse_duration))
        .arg(with_default("service-time", "5ms", "Time of a call").value_parser(parse_duration))
        .arg(
            Arg::new("runs-file")
                .long("runs-file")
                .value_name("FILE")
                .help("Where the runs by call id are written at the end")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn required(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).required(true)
}

fn with_default(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}

fn cfg(matches: &ArgMatches) -> UpstreamCfg {
    let text = |name: &str| matches.get_one::<String>(name).expect("clap requires it");
    let span = |name: &str| *matches.get_one::<Duration>(name).expect("has a default");
    UpstreamCfg {
        listen: *matches.get_one("listen").expect("clap requires it"),
        announce: matches.get_one("announce").copied(),
        service: text("service").into(),
        version: text("version").into(),
        slots: *matches.get_one("slots").expect("has a default"),
        cold_start: span("cold-start"),
        service_time: span("service-time"),
    }
}

async fn run(matches: &ArgMatches) -> io::Result<()> {
    let termination = Termination::register()?;
    let upstream = Upstream::start(cfg(matches))?;
    println!("listening on {}", upstream.address());
    let service = upstream.service().clone();
    monoio::select! {
        () = termination.wait() => log::info!("upstream: asked to end"),
        () = service.draining().wait() => log::info!("upstream: asked to drain"),
    }
    upstream.close().await;
    if let Some(path) = matches.get_one::<PathBuf>("runs-file") {
        write_runs(path, &service)?;
    }
    Ok(())
}

fn write_runs(path: &Path, service: &Service) -> io::Result<()> {
    let ids = service.runs().borrow().counts_by_id();
    fs::write(path, serde_json::to_vec(&ids)?)
}
