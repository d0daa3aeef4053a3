//! Reads configurations and measured rates.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::value_parser;
use mesh::Config;
use mesh::config_check::SentRates;
use mesh::rate_limit::RequestRate;
use users_platform::StoreClient;
use users_platform::Topic;
use users_platform::operator;

use crate::exit::CliError;

/// Time after which the store counts as not answering.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Defines an argument that names a file.
pub fn path(id: &'static str) -> Arg {
    Arg::new(id)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

/// Returns the value of an argument that clap requires.
pub fn required_path<'a>(matches: &'a ArgMatches, id: &str) -> &'a Path {
    optional_path(matches, id).expect("clap requires the file")
}

/// Returns the value of an argument, if given.
pub fn optional_path<'a>(matches: &'a ArgMatches, id: &str) -> Option<&'a Path> {
    matches.get_one::<PathBuf>(id).map(PathBuf::as_path)
}

/// Reads a configuration as the daemons do.
///
/// # Errors
/// Fails when the file cannot be read, or the daemons would reject the configuration; the message holds line and
/// column where the text is at fault.
pub fn read_config(path: &Path) -> Result<Config, CliError> {
    let bytes = std::fs::read(path).map_err(|e| file_error(path, e))?;
    operator::decode_config(&bytes).map_err(|e| file_error(path, e))
}

/// Reads a configuration that is to be sent, in which the daemons must be able to read each value.
///
/// # Errors
/// Fails like [`read_config`], and when the daemons would leave out something; the message names each such value.
pub fn read_new_config(path: &Path) -> Result<Config, CliError> {
    let cfg = read_config(path)?;
    let values = &cfg.unreadable.values;
    if values.is_empty() {
        return Ok(cfg);
    }
    let values: Vec<String> = values.iter().map(ToString::to_string).collect();
    Err(file_error(path, values.join("; ")))
}

/// Reads the configuration in force from the store; `None` if it holds none.
///
/// # Errors
/// Fails when the store does not answer, or its configuration is one that the daemons reject.
pub fn read_in_force(address: SocketAddr) -> Result<Option<Config>, CliError> {
    let failed = |e: String| CliError::Failed(format!("store {address}: {e}"));
    let store = StoreClient::new(address);
    let newest = http_edge::block_on(async {
        monoio::time::timeout(STORE_TIMEOUT, store.newest(Topic::Operator)).await
    });
    let newest = newest
        .map_err(|_| failed("no answer".to_owned()))?
        .map_err(|e| failed(e.to_string()))?;
    let value = newest
        .records
        .iter()
        .find(|record| operator::is_config(&record.key))
        .and_then(|record| record.value.as_ref());
    value
        .map(|value| operator::decode_config(value).map_err(failed))
        .transpose()
}

/// Reads the requests a second by customer.
///
/// # Errors
/// Fails when the file cannot be read, or holds no map of names to rates.
pub fn read_rates(path: &Path) -> Result<SentRates, CliError> {
    let text = std::fs::read_to_string(path).map_err(|e| file_error(path, e))?;
    let rates: BTreeMap<String, f64> =
        serde_yaml_ng::from_str(&text).map_err(|e| file_error(path, e))?;
    rates
        .into_iter()
        .map(|(customer, per_sec)| {
            let rate = RequestRate::from_per_sec(per_sec).ok_or_else(|| {
                file_error(path, format!("{customer}: expected a rate from 0 on"))
            })?;
            Ok((customer.into(), rate))
        })
        .collect()
}

fn file_error(path: &Path, error: impl fmt::Display) -> CliError {
    CliError::Input(format!("{}: {error}", path.display()))
}
