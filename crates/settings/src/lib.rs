//! Settings of a daemon, read from YAML and validated as a whole before the daemon starts.
//!
//! Durations and sizes need a unit, and unknown keys are errors. Each error names the file, the
//! line if known, the key and what was expected.

pub mod address;
mod check;
pub mod error;
mod locate;
pub mod sections;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use base::DaemonId;
use base::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use smol_str::SmolStr;

use crate::address::Address;
pub use crate::check::CONTROLLER_LEASE_DURATION;
pub use crate::error::Diagnostic;
pub use crate::error::SettingsError;
pub use crate::sections::Fanout;
pub use crate::sections::Limits;
pub use crate::sections::Listen;
pub use crate::sections::LogLevel;
pub use crate::sections::LogService;
pub use crate::sections::Logs;
pub use crate::sections::Timing;

/// Settings of a daemon. Each field is the key of the same name in the YAML file.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the daemon, unique in the fleet: lowercase letters, digits and hyphens.
    pub daemon: DaemonId,
    /// Availability zone that the daemon runs in.
    pub zone: ZoneName,
    /// Region of the availability zone; `default` if not set.
    #[serde(default = "default_region")]
    pub region: SmolStr,
    /// Addresses that the daemon listens on.
    pub listen: Listen,
    /// The platform's append-only log service.
    pub log: LogService,
    /// Addresses of peers through which a starting daemon joins the fleet.
    #[serde(default)]
    #[serde_as(as = "Vec<Address>")]
    pub seeds: Vec<SocketAddr>,
    /// Limits on memory and concurrency.
    #[serde(default)]
    pub limits: Limits,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timing: Timing,
    /// Distribution of log records within an availability zone.
    #[serde(default)]
    pub fanout: Fanout,
    /// Logging of the daemon itself.
    #[serde(default)]
    pub logs: Logs,
}

impl Settings {
    /// Reads and validates the settings in the file at `path`.
    ///
    /// # Errors
    /// When the file cannot be read or [`Settings::parse`] rejects its content.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, &file),
            Err(source) => Err(SettingsError::Read { file, source }),
        }
    }

    /// Parses and validates settings; `file` is the file name for error messages.
    ///
    /// # Errors
    /// When the text is not valid YAML, a key is unknown or missing, a value is invalid, or
    /// values contradict each other.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            serde_yaml_ng::from_str(text).map_err(|error| error::from_yaml(&error, file))?;
        check::all(&settings).map_err(|(key, message)| {
            SettingsError::Invalid(Diagnostic {
                file: file.to_owned(),
                line: locate::line_of(text, &key),
                key,
                message,
            })
        })?;
        Ok(settings)
    }
}

fn default_region() -> SmolStr {
    SmolStr::new_static("default")
}

#[cfg(test)]
mod tests;
