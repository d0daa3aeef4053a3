//! Text forms of durations, sizes and times of day, with `serde_with` adapters.
//!
//! A number without a unit is refused, so that nobody has to guess one.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserializer;
use serde::Serializer;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

use crate::ids::UnixMillis;

/// Why a text with a unit could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// The text does not begin with a number.
    Number(String),
    /// The unit is missing or unknown; holds the text and the units that fit.
    Unit(String, &'static str),
    /// The text is not a date and time in RFC 3339 form.
    Time(String),
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(text) => write!(f, "`{text}`: expected a number and a unit"),
            Self::Unit(text, units) => write!(f, "`{text}`: expected a unit, one of {units}"),
            Self::Time(text) => {
                write!(f, "`{text}`: expected a time such as 2026-12-03T21:00:00Z")
            }
        }
    }
}

impl std::error::Error for ParseError {}

const TIME_UNITS: &str = "us, ms, s, m, h, d";
const SIZE_UNITS: &str = "B, KiB, MiB, GiB";

/// Reads a duration such as `1.5ms`, `7s` or `2h`.
///
/// # Errors
/// When the number or the unit is missing or unknown.
pub fn parse_duration(text: &str) -> Result<Duration, ParseError> {
    let (number, unit) = split(text)?;
    let seconds = match unit {
        "us" => number / 1e6,
        "ms" => number / 1e3,
        "s" => number,
        "m" => number * 60.0,
        "h" => number * 3600.0,
        "d" => number * 86_400.0,
        _ => return Err(ParseError::Unit(text.to_owned(), TIME_UNITS)),
    };
    Duration::try_from_secs_f64(seconds).map_err(|_| ParseError::Number(text.to_owned()))
}

/// Writes a duration so that [`parse_duration`] reads the same one, to the microsecond.
#[must_use]
pub fn format_duration(duration: Duration) -> String {
    let micros = duration.as_micros();
    if micros.is_multiple_of(1_000_000) {
        format!("{}s", micros / 1_000_000)
    } else if micros.is_multiple_of(1_000) {
        format!("{}ms", micros / 1_000)
    } else {
        format!("{micros}us")
    }
}

/// Reads a size in bytes such as `64MiB` or `512B`.
///
/// # Errors
/// When the number or the unit is missing or unknown.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn parse_size(text: &str) -> Result<u64, ParseError> {
    let (number, unit) = split(text)?;
    let scale = match unit {
        "B" => 1.0,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "GiB" => 1024.0 * 1024.0 * 1024.0,
        _ => return Err(ParseError::Unit(text.to_owned(), SIZE_UNITS)),
    };
    Ok((number * scale) as u64)
}

/// Reads a time in RFC 3339 form.
///
/// # Errors
/// When the text has another form or lies before 1970.
pub fn parse_time(text: &str) -> Result<UnixMillis, ParseError> {
    let time = humantime::parse_rfc3339(text).map_err(|_| ParseError::Time(text.to_owned()))?;
    Ok(unix_millis(time))
}

/// Writes a time in RFC 3339 form with milliseconds.
#[must_use]
pub fn format_time(time: UnixMillis) -> String {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(time);
    humantime::format_rfc3339_millis(time).to_string()
}

/// Milliseconds since the Unix epoch; 0 for a clock that stands before it.
#[must_use]
pub fn unix_millis(time: SystemTime) -> UnixMillis {
    let since = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn split(text: &str) -> Result<(f64, &str), ParseError> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let number: f64 = text[..end]
        .parse()
        .map_err(|_| ParseError::Number(text.to_owned()))?;
    Ok((number, text[end..].trim()))
}

/// `serde_with` adapter: a [`Duration`] as text with a unit.
pub struct Span;

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        parsed(deserializer, parse_duration)
    }
}

/// `serde_with` adapter: a size in bytes as text with a unit.
pub struct Size;

impl SerializeAs<u64> for Size {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{source}B"))
    }
}

impl<'de> DeserializeAs<'de, u64> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        parsed(deserializer, parse_size)
    }
}

/// `serde_with` adapter: [`UnixMillis`] as an RFC 3339 time.
pub struct Rfc3339;

impl SerializeAs<UnixMillis> for Rfc3339 {
    fn serialize_as<S: Serializer>(source: &UnixMillis, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_time(*source))
    }
}

impl<'de> DeserializeAs<'de, UnixMillis> for Rfc3339 {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<UnixMillis, D::Error> {
        parsed(deserializer, parse_time)
    }
}

/// Reads a text or a plain number, so that a number without a unit gets the unit's message.
///
/// Parses inside the visitor: that way a format's error names the place of the value.
fn parsed<'de, D, T>(
    deserializer: D,
    parse: impl Fn(&str) -> Result<T, ParseError>,
) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
{
    deserializer.deserialize_any(ParseVisitor { parse })
}

struct ParseVisitor<F> {
    parse: F,
}

impl<T, F: Fn(&str) -> Result<T, ParseError>> serde::de::Visitor<'_> for ParseVisitor<F> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number with a unit")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<T, E> {
        (self.parse)(text).map_err(E::custom)
    }

    fn visit_u64<E: serde::de::Error>(self, number: u64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }

    fn visit_f64<E: serde::de::Error>(self, number: f64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
}
