//! `bronzehead settings check`: says whether a daemon would start with a file.

use std::fmt;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;
use settings::Settings;

use crate::args;
use crate::exit::CliError;
use crate::exit::Exit;

const FILE: &str = "file";

const EXAMPLES: &str = "\
Examples:
  bronzehead settings check examples/tanoa.yaml

Exit codes: 0 the settings are good, 2 they are not or cannot be read.";

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("settings")
        .about("Checks settings of daemons")
        .after_help(crate::exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Says whether a daemon would start with a file")
                .after_help(EXAMPLES)
                .arg(
                    Arg::new(FILE)
                        .value_name("FILE")
                        .required(true)
                        .help("Settings in YAML"),
                )
                .arg(args::output()),
        )
}

/// Settings that are good.
#[derive(Debug, Serialize)]
struct Checked {
    file: String,
    settings: Settings,
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Settings { daemon, zone, .. } = &self.settings;
        write!(f, "{}: good, for {daemon} in {zone}", self.file)
    }
}

/// Runs the subcommand.
///
/// # Errors
/// When the settings are wrong.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let Some(("check", matches)) = matches.subcommand() else {
        unreachable!("clap requires a known subcommand")
    };
    let file = matches.get_one::<String>(FILE).expect("clap requires it");
    let settings = Settings::load(file).map_err(|e| CliError::Input(e.to_string()))?;
    let checked = Checked {
        file: file.clone(),
        settings,
    };
    args::output_of(matches).print(&checked)?;
    Ok(Exit::Ok)
}
