//! `bronzehead report burn`: reports how fast services spend their error budgets.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::time::SystemTime;

use base::units::unix_millis;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use ledger::State;
use protocol::status::STATUS_PATH;
use protocol::status::Status;
use report::BurnReport;
use report::HistoryView;
use report::Objectives;
use report::history::HISTORY_PATH;

use crate::daemons;
use crate::exit::CliError;
use crate::exit::Exit;

const OBJECTIVES: &str = "objectives";
const OUTPUT: &str = "output";
const FILE: &str = "file";

const EXAMPLES: &str = "\
Examples:
  bronzehead report burn --objectives examples/objectives.yaml --daemon 127.0.0.1:7102
  bronzehead report burn --objectives examples/objectives.yaml --daemon 127.0.0.1:7102 \\
      127.0.0.1:7112 --output page --file burn.html

Name every daemon: each counts only the calls that it received from clients, in memory, since its
start.

Exit codes: 0 reported, 1 a daemon did not answer, 2 bad input.";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("report")
        .about("Reports on service levels")
        .after_help(crate::exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("burn")
                .about("Shows how fast each service spends its error budget")
                .after_help(EXAMPLES)
                .arg(
                    Arg::new(OBJECTIVES)
                        .long(OBJECTIVES)
                        .value_name("FILE")
                        .required(true)
                        .help("Objectives of the services in YAML"),
                )
                .arg(daemons::arg())
                .arg(
                    Arg::new(OUTPUT)
                        .long(OUTPUT)
                        .value_name("FORMAT")
                        .value_parser(["table", "json", "page"])
                        .default_value("table")
                        .help("Table, JSON, or a page of HTML with charts"),
                )
                .arg(
                    Arg::new(FILE)
                        .long(FILE)
                        .value_name("FILE")
                        .help("Where the report is written [default: standard output]"),
                ),
        )
}

/// Runs the subcommand.
///
/// # Errors
/// Fails when the objectives are invalid, no daemon answers, or the report cannot be written.
pub fn run(matches: &ArgMatches) -> Result<Exit, CliError> {
    let Some(("burn", matches)) = matches.subcommand() else {
        unreachable!("clap requires a known subcommand")
    };
    let text = |name: &str| matches.get_one::<String>(name).map(String::as_str);
    let objectives = read_objectives(text(OBJECTIVES).expect("clap requires it"))?;
    let collected = http_edge::block_on(collect(&daemons::addresses(matches)))?;
    let now = unix_millis(SystemTime::now());
    let report = BurnReport::new(&objectives, &collected.history, &collected.state, now);
    let output = match text(OUTPUT) {
        Some("json") => to_json(&report)?,
        Some("page") => report.to_html(),
        _ => report.to_table(),
    };
    write(text(FILE), &output)?;
    Ok(collected.exit)
}

fn read_objectives(file: &str) -> Result<Objectives, CliError> {
    let text = fs::read_to_string(file).map_err(|e| input_error(file, e))?;
    Objectives::parse(&text).map_err(|e| input_error(file, e))
}

fn input_error(file: &str, e: impl fmt::Display) -> CliError {
    CliError::Input(format!("{file}: {e}"))
}

/// Merged answers of the daemons.
#[derive(Debug)]
struct CollectedReports {
    history: HistoryView,
    /// State of the daemon that has applied the most log records.
    state: State,
    /// `Exit::Failed` when a daemon did not answer.
    exit: Exit,
}

async fn collect(daemons: &[SocketAddr]) -> Result<CollectedReports, CliError> {
    let mut collected = CollectedReports {
        history: HistoryView::default(),
        state: State::default(),
        exit: Exit::Ok,
    };
    let mut answered = 0;
    for daemon in daemons {
        match fetch(*daemon).await {
            Ok((history, state)) => {
                answered += 1;
                collected.history = collected.history.merge(&history);
                if state.next >= collected.state.next {
                    collected.state = state;
                }
            }
            Err(e) => {
                eprintln!("error: {e}");
                collected.exit = Exit::Failed;
            }
        }
    }
    if answered == 0 {
        return Err(CliError::Failed("no daemon answered".to_owned()));
    }
    Ok(collected)
}

async fn fetch(daemon: SocketAddr) -> Result<(HistoryView, State), CliError> {
    let history = daemons::get(daemon, HISTORY_PATH).await?;
    let status: Status = daemons::get(daemon, STATUS_PATH).await?;
    Ok((history, status.state))
}

fn to_json(report: &BurnReport) -> Result<String, CliError> {
    let json = serde_json::to_string(report).map_err(|e| CliError::Failed(e.to_string()))?;
    Ok(json + "\n")
}

fn write(file: Option<&str>, text: &str) -> Result<(), CliError> {
    let Some(file) = file else {
        print!("{text}");
        return Ok(());
    };
    fs::write(file, text).map_err(|e| CliError::Failed(format!("{file}: {e}")))
}
