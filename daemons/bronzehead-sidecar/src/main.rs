//! `bronzehead-sidecar`: the daemon that runs next to each instance on the users' platform.

use std::process::ExitCode;

use clap::Command;
use users_platform::BootConfig;

/// Exit code for invalid settings.
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
            eprintln!("bronzehead-sidecar: cannot start logging: {e}");
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
        .about("Runs the proxy daemon of one machine on the platform")
        .after_help(
            "An environment variable set by the platform names the settings file.\n\
             SIGTERM stops the daemon gracefully; SIGHUP reloads the settings.\n\n\
             Exit codes: 0 stopped on request, 1 failure, 2 invalid settings.",
        )
}
