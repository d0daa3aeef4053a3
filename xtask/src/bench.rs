//! `cargo xtask bench`: measures the system on this machine and compares the results with bounds.
//!
//! To add a benchmark, write a module with a function that returns rows and list it in
//! [`BENCHMARKS`].

pub mod control;
pub mod latency;
pub mod proc;
pub mod rollouts;
pub mod row;
pub mod throughput;

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::bench::row::Row;
use crate::error::Result;
use crate::error::TaskError;
use crate::process::Interrupt;
use crate::table;
use crate::workspace::Profile;

/// A benchmark that can be selected by name.
pub struct Benchmark {
    /// Name that `--only` selects it by.
    pub name: &'static str,
    /// Description for the help text and the progress output.
    pub about: &'static str,
    /// Runs the benchmark and returns its rows.
    pub run: fn(&Interrupt) -> Result<Vec<Row>>,
}

/// All benchmarks, in the order in which they run.
pub const BENCHMARKS: &[Benchmark] = &[
    Benchmark {
        name: "latency",
        about: "latency that the system adds to a call, paired with direct calls",
        run: latency::run,
    },
    Benchmark {
        name: "throughput",
        about: "calls per second through two daemons, and their processor time",
        run: throughput::run,
    },
    Benchmark {
        name: "control",
        about: "tickets and the control plane at 8, 16 and 32 daemons",
        run: control::run,
    },
    Benchmark {
        name: "moves",
        about: "outcomes of rollouts of good and bad versions, in simulated calls",
        run: rollouts::run,
    },
];

const EXIT_CODES: &str =
    "Exit codes: 0 all values within bounds, 1 a value out of bounds or a benchmark failed.";

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let names = BENCHMARKS.iter().map(|benchmark| benchmark.name);
    let list = BENCHMARKS
        .iter()
        .map(|m| format!("  {:12}{}\n", m.name, m.about));
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .help(help)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("bench")
        .about("Measures the system on this machine and compares the results with bounds")
        .arg(path("json", "Writes the rows as JSON lines to this file"))
        .arg(path(
            "baseline",
            "JSON lines of an earlier run; ratios to its values are shown",
        ))
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("MEASURE")
                .help("Runs only this measure; may be given more than once")
                .action(ArgAction::Append)
                .value_parser(clap::builder::PossibleValuesParser::new(names)),
        )
        .after_help(format!(
            "Measures:\n{}\n{EXIT_CODES}",
            list.collect::<String>()
        ))
}

/// Runs the selected benchmarks and prints their rows as a table.
pub fn run(matches: &ArgMatches) -> ExitCode {
    match run_all(matches) {
        Ok(rows) if rows.iter().any(Row::is_out_of_bound) => ExitCode::FAILURE,
        Ok(_) => ExitCode::SUCCESS,
        Err(e) => {
            println!("bench: failed: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_all(matches: &ArgMatches) -> Result<Vec<Row>> {
    let file = |name: &str| matches.get_one::<PathBuf>(name);
    let baseline = match file("baseline") {
        Some(path) => row::parse_json_lines(&read(path)?)?,
        None => Vec::new(),
    };
    let only: Vec<&String> = matches.get_many("only").into_iter().flatten().collect();
    let interrupt = Interrupt::register()?;
    Profile::Release.build_programs(&interrupt)?;
    let mut rows = Vec::new();
    for benchmark in BENCHMARKS {
        if !only.is_empty() && !only.iter().any(|name| *name == benchmark.name) {
            continue;
        }
        println!("{}: {}", benchmark.name, benchmark.about);
        rows.extend((benchmark.run)(&interrupt)?);
    }
    print(&rows, &baseline);
    if let Some(path) = file("json") {
        let text = row::to_json_lines(&rows)?;
        fs::write(path, text).map_err(|e| TaskError::Io(path.display().to_string(), e))?;
    }
    Ok(rows)
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|e| TaskError::Io(path.display().to_string(), e))
}

fn print(rows: &[Row], baseline: &[Row]) {
    let cells: Vec<[String; 6]> = rows.iter().map(|row| row.cells(baseline)).collect();
    let header = ["measure", "value", "unit", "bound", "within", "to baseline"];
    println!("{}", table::format(header, &cells));
}
