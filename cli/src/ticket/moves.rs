//! `bronzehead ticket moves`: lists moves under way and the ends of the latest ones.

use clap::ArgMatches;
use clap::Command;
use ledger::State;

use crate::args;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::ticket::fold::Fold;
use crate::ticket::fold::LOOK_WITHIN;
use crate::ticket::result::EndResult;
use crate::ticket::result::MoveResult;
use crate::ticket::result::MovesResult;

const EXAMPLES: &str = "\
Examples:
  bronzehead ticket moves --log 127.0.0.1:7400
  bronzehead ticket moves --log 127.0.0.1:7400 --output json

Exit codes: 0 listed, 1 the log does not answer.";

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("moves")
        .about("Lists moves under way and the ends of the latest ones")
        .after_help(EXAMPLES)
        .arg(args::log().required(true))
        .arg(args::output())
}

/// Runs the subcommand.
///
/// # Errors
/// When the log does not answer.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let address = args::log_of(matches).expect("clap requires the address");
    let mut fold = Fold::new(address, Some(LOOK_WITHIN));
    http_edge::block_on(fold.catch_up())?;
    args::output_of(matches).print(&moves(fold.state()))?;
    Ok(Exit::Ok)
}

fn moves(state: &State) -> MovesResult {
    let under_way = state.services.iter().filter_map(|(name, service)| {
        let moving = service.rollout.as_ref()?;
        Some(MoveResult::new(name, &service.stable, moving))
    });
    MovesResult {
        ticket: state.ticket,
        moves: under_way.collect(),
        ends: state.ends.iter().map(EndResult::from).collect(),
    }
}
