//! `bronzehead-sidecar`: the daemon beside each instance on the users' platform.

use std::process::ExitCode;

use clap::Command;
use users_platform::BootConfig;

/// Exit code for settings that cannot be used.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    command().get_matches();
    let boot = match BootConfig::load() {
        Ok(boot) => boot,
        Err(e) => {
            eprintln!("bronzehead-sidecar: {e}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    let _logger = match sidecar::logs::start() {
        Ok(logger) => logger,
        Err(e) => {
            eprintln!("bronzehead-sidecar: cannot start the log: {e}");
            return ExitCode::FAILURE;
        }
    };
    match http_edge::block_on(sidecar::run::run(boot)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bronzehead-sidecar: {e}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("bronzehead-sidecar")
        .about("Serves the requests of one machine of the platform")
        .after_help(
            "The platform names the settings file in the environment.\n\
             SIGTERM stops it gracefully, SIGHUP reads the settings again.\n\n\
             Exit codes: 0 stopped as asked, 1 failed, 2 bad settings.",
        )
}
