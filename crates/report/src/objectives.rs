//! Service-level objectives, as operators write them in YAML.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use base::ServiceName;
use base::units::Span;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;
use serde_with::serde_as;

/// Windows of the daemons' histories, and of the report unless the objectives set others.
pub const DEFAULT_WINDOWS: [Duration; 4] = [
    Duration::from_mins(5),
    Duration::from_hours(1),
    Duration::from_hours(6),
    Duration::from_hours(72),
];

/// Objectives of the services and the windows of the burn report.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objectives {
    /// Windows, shortest first; the error budget refers to the longest.
    #[serde(default = "default_windows")]
    #[serde_as(as = "Vec<Span>")]
    pub windows: Vec<Duration>,
    /// Required share of good calls by service, between 0 and 1; a percentage in YAML.
    #[serde_as(as = "BTreeMap<_, Percent>")]
    pub services: BTreeMap<ServiceName, f64>,
}

/// Errors of [`Objectives::parse`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectivesError {
    /// The text is not valid YAML or has unexpected fields or values; holds the message of the
    /// parser with the location.
    Syntax(String),
    /// There are no windows, one is zero, or they are not strictly ascending.
    WindowOrder,
}

impl fmt::Display for ObjectivesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(e) => f.write_str(e),
            Self::WindowOrder => f.write_str("windows: expected durations above 0, shortest first"),
        }
    }
}

impl std::error::Error for ObjectivesError {}

impl Objectives {
    /// Parses objectives from YAML.
    ///
    /// # Errors
    /// When the YAML is invalid, a share is not between 0% and 100%, or the windows are not
    /// positive and strictly ascending.
    pub fn parse(text: &str) -> Result<Self, ObjectivesError> {
        let objectives: Self =
            serde_yaml_ng::from_str(text).map_err(|e| ObjectivesError::Syntax(e.to_string()))?;
        let windows = &objectives.windows;
        let ascending = windows.windows(2).all(|pair| pair[0] < pair[1]);
        let shortest = windows.first().copied().unwrap_or_default();
        if !ascending || shortest.is_zero() {
            return Err(ObjectivesError::WindowOrder);
        }
        Ok(objectives)
    }
}

fn default_windows() -> Vec<Duration> {
    DEFAULT_WINDOWS.to_vec()
}

/// `serde_with` adapter for a share that is written as a percentage, such as `99.9%`.
struct Percent;

impl SerializeAs<f64> for Percent {
    fn serialize_as<S: Serializer>(source: &f64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{}%", source * 100.0))
    }
}

impl<'de> DeserializeAs<'de, f64> for Percent {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        let text = String::deserialize(deserializer)?;
        let number = text.strip_suffix('%').and_then(|n| n.parse::<f64>().ok());
        match number {
            Some(percent) if percent > 0.0 && percent < 100.0 => Ok(percent / 100.0),
            _ => Err(D::Error::custom(format!(
                "`{text}`: expected a share between 0% and 100%, such as 99.9%"
            ))),
        }
    }
}
