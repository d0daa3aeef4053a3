//! `bronzeheadd`: the daemon that runs beside each upstream instance.

use std::io::Write;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bronzehead::daemon::Daemon;
use bronzehead::http_edge;
use bronzehead::http_edge::Latch;
use bronzehead::settings::Settings;
use clap::Arg;
use clap::Command;
use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use log::Record;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

/// Exit code for settings that cannot be used.
const BAD_INPUT: u8 = 2;

/// Time between two checks for a received signal.
const SIGNAL_POLL: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path = matches
        .get_one::<String>("settings")
        .expect("clap requires it");
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("bronzeheadd: {e}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    let _logger = match start_logger(settings.logs.level.as_str()) {
        Ok(logger) => logger,
        Err(e) => {
            eprintln!("bronzeheadd: cannot start the logger: {e}");
            return ExitCode::FAILURE;
        }
    };
    http_edge::block_on(run(settings))
}

fn command() -> Command {
    Command::new("bronzeheadd")
        .about("Serves calls beside one upstream instance")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings in YAML; `bronzehead settings check FILE` explains errors"),
        )
        .after_help("SIGTERM stops it after the running calls have finished.\n\nExit codes: 0 stopped by a signal, 1 failed, 2 bad settings.")
}

async fn run(settings: Settings) -> ExitCode {
    let name = settings.daemon.clone();
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(e) => {
            eprintln!("bronzeheadd: {e}");
            return ExitCode::FAILURE;
        }
    };
    log::info!("daemon: {name} started");
    let stop = Latch::default();
    monoio::spawn(wait_for_signal(stop.clone()));
    daemon.run(stop).await;
    ExitCode::SUCCESS
}

async fn wait_for_signal(stop: Latch) {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&flag)) {
            log::error!("daemon: cannot watch for signal {signal}: {e}");
        }
    }
    while !flag.load(Ordering::Relaxed) {
        monoio::time::sleep(SIGNAL_POLL).await;
    }
    stop.set();
}

fn start_logger(level: &str) -> Result<flexi_logger::LoggerHandle, flexi_logger::FlexiLoggerError> {
    Logger::try_with_str(level)?
        .format(format_line)
        .log_to_stderr()
        .start()
}

fn format_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let time = now.now().format("%Y-%m-%dT%H:%M:%S%.3f");
    write!(w, "{time} {:5} {}", record.level(), record.args())
}
