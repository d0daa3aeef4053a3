//! The log stand-in as a process.

use std::future::pending;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use standin_log::Cfg;
use standin_log::DEFAULT_APPENDS_PER_SECOND;
use standin_log::Retention;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match http_edge::block_on(run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("standin-log")
        .about("Stand-in for the platform's append-only log")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:7400")
                .help("Address to listen on; port 0 takes a free one"),
        )
        .arg(
            Arg::new("retention-records")
                .long("retention-records")
                .value_name("N")
                .value_parser(value_parser!(usize))
                .help("Records that each stream keeps"),
        )
        .arg(
            Arg::new("appends-per-second")
                .long("appends-per-second")
                .value_name("N")
                .value_parser(value_parser!(u32))
                .help("Appends a second before it answers 429"),
        )
}

async fn run(matches: &ArgMatches) -> std::io::Result<()> {
    let address = matches.get_one::<SocketAddr>("listen").copied();
    let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = http_edge::listen(address)?;
    let address = listener.local_addr()?;
    let running = standin_log::serve(listener, cfg(matches));
    // Whoever starts the process waits for this line; a closed pipe is no reason to stop.
    let _ = writeln!(std::io::stdout(), "listening on {address}");
    pending::<()>().await;
    drop(running);
    Ok(())
}

fn cfg(matches: &ArgMatches) -> Cfg {
    let mut retention = Retention::default();
    if let Some(records) = matches.get_one("retention-records") {
        retention.records = *records;
    }
    let appends = matches.get_one("appends-per-second").copied();
    Cfg {
        retention,
        appends_per_second: appends.unwrap_or(DEFAULT_APPENDS_PER_SECOND),
    }
}
