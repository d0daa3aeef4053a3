//! `cargo xtask soak`: randomised fault injection on real daemon processes.
//!
//! The store, the instances, the clients and the proxies between them run in this process, and each
//! daemon runs in its own. Each seed determines a plan of faults. During the run, the observations
//! of clients and instances are checked against the guarantees that the users require. Clock faults
//! are not injected, since setting the clock needs elevated privileges.

pub mod addresses;
pub mod checker;
pub mod clients;
pub mod instance;
pub mod machine;
pub mod notices;
pub mod plan;
pub mod proxy;
pub mod runner;
pub mod wire;

use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::error::Result;
use crate::error::TaskError;
use crate::process::Interrupt;
use crate::process::Process;
use crate::soak::checker::Guarantees;
use crate::soak::runner::Options;
use crate::workspace::Profile;
use crate::workspace::root;

/// Package and program of the daemon.
const DAEMON_PROGRAM: &str = "bronzehead-sidecar";

/// Time that a run takes in addition to its plan: start, recovery and shutdown of all daemons.
const RUN_OVERHEAD: Duration = Duration::from_mins(2);

/// Seeds that failed in the past, each with its cause; `--regressions` runs them again.
pub const REGRESSIONS: &[(u64, &str)] = &[
    (
        106,
        "a retry was refused as not run although the first attempt may have run",
    ),
    (208, "same cause as 106"),
    (
        9107,
        "a bad version with few answers was moved to its full share and completed at once when its time ended",
    ),
    (10_000, "same cause as 9107"),
    (10_002, "same cause as 9107"),
    (
        80_117,
        "the soak stopped a suspended process and never let it go on, so that clients of its machine waited in vain",
    ),
    (
        60_026,
        "a rejection without the id of its request counted for the request that was sent last, which ran",
    ),
    (60_028, "same cause as 60026"),
];

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("soak")
        .about(
            "Runs daemons as processes under random faults and checks the observations of clients",
        )
        .arg(number(
            "seed",
            "1",
            "First seed; seeds divisible by 3 contain planned operations only",
        ))
        .arg(number("seeds", "1", "Number of consecutive seeds to run"))
        .arg(number("processes", "24", "Daemons"))
        .arg(
            Arg::new("for")
                .long("for")
                .value_name("TIME")
                .help("Duration of the fault plan of one seed, with unit")
                .default_value("60s")
                .value_parser(|text: &str| {
                    base::units::parse_duration(text).map_err(|e| e.to_string())
                }),
        )
        .arg(
            Arg::new("debug")
                .long("debug")
                .help("Uses the debug build of the daemon")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("untimed")
                .long("untimed")
                .help("Skips the checks that depend on the speed of the machine")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("regressions")
                .long("regressions")
                .help("Runs the seeds that failed in the past")
                .action(ArgAction::SetTrue),
        )
        .after_help(
            "Logs stay in target/soak/SEED.\n\
             Exit codes: 0 all guarantees held, 1 one was violated or the run failed.",
        )
}

/// Runs the selected seeds.
pub fn run(matches: &ArgMatches) -> ExitCode {
    match run_all(matches) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("soak: {failed} seeds failed");
            ExitCode::FAILURE
        }
        Err(e) => {
            println!("soak: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_all(matches: &ArgMatches) -> Result<usize> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let length: Duration = *matches.get_one("for").expect("has a default");
    let processes = usize::try_from(number("processes")).unwrap_or(usize::MAX);
    let seeds: Vec<u64> = if matches.get_flag("regressions") {
        REGRESSIONS.iter().map(|(seed, _)| *seed).collect()
    } else {
        (number("seed")..number("seed") + number("seeds")).collect()
    };
    if !(4..=400).contains(&processes) {
        let text = format!("{processes} processes: expected 4 to 400");
        return Err(TaskError::Failed(text));
    }
    let interrupt = Interrupt::register()?;
    let profile = if matches.get_flag("debug") {
        Profile::Debug
    } else {
        Profile::Release
    };
    if let [seed] = seeds[..] {
        profile.build_packages(&[DAEMON_PROGRAM], &interrupt)?;
        let guarantees = if matches.get_flag("untimed") {
            Guarantees::Untimed
        } else {
            Guarantees::All
        };
        let options = Options {
            seed,
            length,
            processes,
            guarantees,
            program: profile.program_dir().join(DAEMON_PROGRAM),
            dir: root().join("target/soak").join(seed.to_string()),
        };
        return Ok(usize::from(!run_seed(&options, &interrupt)?));
    }
    let flags: Vec<&str> = ["debug", "untimed"]
        .into_iter()
        .filter(|flag| matches.get_flag(flag))
        .collect();
    let mut failed = 0;
    for seed in seeds {
        if !run_in_subprocess(seed, (length, processes), &flags, &interrupt)? {
            failed += 1;
        }
    }
    Ok(failed)
}

/// Runs one seed in a separate process, since the sockets of a run stay open until its process
/// exits.
fn run_in_subprocess(
    seed: u64,
    (length, processes): (Duration, usize),
    flags: &[&str],
    interrupt: &Interrupt,
) -> Result<bool> {
    let this_program =
        std::env::current_exe().map_err(|e| TaskError::Io("current executable".to_owned(), e))?;
    let mut command = std::process::Command::new(this_program);
    command.args(["soak", "--seed", &seed.to_string()]);
    command.args(["--for", &format!("{}ms", length.as_millis())]);
    command.args(["--processes", &processes.to_string()]);
    command.args(flags.iter().map(|flag| format!("--{flag}")));
    let mut run = Process::spawn_inherited("soak", command)?;
    let timeout = length + RUN_OVERHEAD;
    match run.wait(interrupt, timeout) {
        Ok(status) => Ok(status.success()),
        Err(e) => {
            // On SIGTERM the process stops its daemons before it exits.
            run.terminate()?;
            let since = std::time::Instant::now();
            while run.exit_status().is_none() && since.elapsed() < machine::GRACE_PERIOD {
                std::thread::sleep(Duration::from_millis(20));
            }
            Err(e)
        }
    }
}

/// Runs one seed in this process; returns whether all guarantees held.
fn run_seed(options: &Options, interrupt: &Interrupt) -> Result<bool> {
    let outcome = http_edge::block_on(runner::execute(options, interrupt))?;
    println!("{}", outcome.line);
    for violation in &outcome.violations {
        println!("  {violation}");
    }
    Ok(outcome.violations.is_empty())
}
