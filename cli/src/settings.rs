//! `bronzehead settings check`: checks whether a daemon would start with a settings file.

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

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("settings")
        .about("Checks settings of daemons")
        .after_help(crate::exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks whether a daemon would start with a file")
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

/// Settings file that passed the check.
#[derive(Debug, Serialize)]
struct CheckedSettings {
    file: String,
    settings: Settings,
}

impl fmt::Display for CheckedSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Settings { daemon, zone, .. } = &self.settings;
        write!(f, "{}: good, for {daemon} in {zone}", self.file)
    }
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the settings cannot be read or are invalid, or the result cannot be written.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let Some(("check", matches)) = matches.subcommand() else {
        unreachable!("clap requires a known subcommand")
    };
    let file = matches.get_one::<String>(FILE).expect("clap requires it");
    let settings = Settings::load(file).map_err(|e| CliError::Input(e.to_string()))?;
    let checked = CheckedSettings {
        file: file.clone(),
        settings,
    };
    args::output_format(matches).print(&checked)?;
    Ok(Exit::Ok)
}
