//! `bronzehead config check`: checks a configuration before it is sent.

mod input;
mod report;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use mesh::config_check::differences;
use mesh::config_check::findings;

use crate::args;
use crate::config::report::CheckReport;
use crate::config::report::DifferenceLine;
use crate::config::report::FindingLine;
use crate::exit::CliError;
use crate::exit::Exit;

const FILE: &str = "file";
const AGAINST: &str = "against";
const STORE: &str = "store";
const SENT: &str = "sent";

const EXAMPLES: &str = "\
Examples:
  bronzehead config check new.json
  bronzehead config check new.json --against old.json --output json
  bronzehead config check new.json --store 127.0.0.1:7400 --sent rates.yaml

A configuration in force is read from a file or from the platform's store. The rates that customers send,
in requests a second by customer, are compared with their usage caps. Tickets are checked by
`bronzehead ticket check`.

Exit codes: 0 nothing found, differences alone included; 1 entries that never match or contradict each other,
or the store does not answer; 2 the daemons would reject the configuration or leave out some of it, or the input cannot be
read.";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("config")
        .about("Checks configurations of the users' platform")
        .after_help(crate::exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a configuration before it is sent")
                .after_help(EXAMPLES)
                .arg(input::path(FILE).required(true).help("The configuration"))
                .arg(
                    input::path(AGAINST)
                        .long(AGAINST)
                        .conflicts_with(STORE)
                        .help("The configuration in force, to list what differs"),
                )
                .arg(
                    Arg::new(STORE)
                        .long(STORE)
                        .value_name("ADDR")
                        .value_parser(value_parser!(std::net::SocketAddr))
                        .help("Store that holds the configuration in force"),
                )
                .arg(
                    input::path(SENT)
                        .long(SENT)
                        .help("Requests a second by customer, in YAML"),
                )
                .arg(args::output()),
        )
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the configuration is one that the daemons would reject, another input cannot be read, or the store
/// does not answer.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let Some(("check", matches)) = matches.subcommand() else {
        unreachable!("clap requires a known subcommand")
    };
    let new = input::read_new_config(input::required_path(matches, FILE))?;
    let sent = match input::optional_path(matches, SENT) {
        Some(path) => input::read_rates(path)?,
        None => mesh::config_check::SentRates::default(),
    };
    let in_force = match (
        input::optional_path(matches, AGAINST),
        matches.get_one(STORE),
    ) {
        (Some(path), _) => Some(input::read_config(path)?),
        (None, Some(address)) => input::read_in_force(*address)?,
        (None, None) => None,
    };
    let report = CheckReport {
        version: new.version,
        in_force: in_force.as_ref().map(|cfg| cfg.version),
        is_newer: in_force
            .as_ref()
            .is_none_or(|cfg| cfg.version < new.version),
        findings: findings(&new, &sent).iter().map(FindingLine::new).collect(),
        differences: in_force.map(|in_force| {
            let differences = differences(&in_force, &new);
            differences.iter().map(DifferenceLine::new).collect()
        }),
    };
    args::output_format(matches).print(&report)?;
    Ok(if report.is_clean() {
        Exit::Ok
    } else {
        Exit::Failed
    })
}
