//! Text forms of durations, sizes and timestamps, with `serde_with` adapters.
//!
//! A duration or size without a unit is an error, so that no reader has to guess the unit.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

use crate::ids::UnixMillis;

/// Error of parsing a duration, a size or a timestamp. Each variant holds the whole text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// The text does not start with a number, or the number is out of range.
    Number(String),
    /// The unit is missing or unknown. Also holds the list of valid units.
    Unit(String, &'static str),
    /// The text is not a date and time in RFC 3339 format.
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

/// Longest duration that is taken from outside, a century. Any clock can add it to its time, and its milliseconds
/// fit into 64 bits.
pub const MAX_DURATION: Duration = Duration::from_hours(100 * 365 * 24);

const DURATION_UNITS: &str = "us, ms, s, m, h, d";
const SIZE_UNITS: &str = "B, KiB, MiB, GiB";

/// Parses a duration such as `1.5ms`, `7s` or `2h`.
///
/// # Errors
/// When the number is missing, the duration is above [`MAX_DURATION`], or the unit is missing or unknown.
pub fn parse_duration(text: &str) -> Result<Duration, ParseError> {
    let seconds = parse_seconds(text)?;
    if seconds > MAX_DURATION.as_secs_f64() {
        return Err(ParseError::Number(text.to_owned()));
    }
    capped_seconds(seconds).ok_or_else(|| ParseError::Number(text.to_owned()))
}

/// Returns a duration of this many seconds, at most [`MAX_DURATION`]; `None` unless that is a number from 0 on.
#[must_use]
pub fn capped_seconds(seconds: f64) -> Option<Duration> {
    if !seconds.is_finite() {
        return None;
    }
    Duration::try_from_secs_f64(seconds.min(MAX_DURATION.as_secs_f64())).ok()
}

/// Parses as [`parse_duration`], and returns [`MAX_DURATION`] for what is longer.
fn parse_capped_duration(text: &str) -> Result<Duration, ParseError> {
    let seconds = parse_seconds(text)?.min(MAX_DURATION.as_secs_f64());
    capped_seconds(seconds).ok_or_else(|| ParseError::Number(text.to_owned()))
}

fn parse_seconds(text: &str) -> Result<f64, ParseError> {
    let (number, unit) = split_unit(text)?;
    Ok(match unit {
        "us" => number / 1e6,
        "ms" => number / 1e3,
        "s" => number,
        "m" => number * 60.0,
        "h" => number * 3600.0,
        "d" => number * 86_400.0,
        _ => return Err(ParseError::Unit(text.to_owned(), DURATION_UNITS)),
    })
}

/// Formats a duration in whole seconds, milliseconds or microseconds.
///
/// [`parse_duration`] returns the same duration, truncated to microseconds.
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

/// Parses a size such as `64MiB` or `512B` into bytes; truncates to whole bytes.
///
/// # Errors
/// When the number is missing, or the unit is missing or unknown.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn parse_size(text: &str) -> Result<u64, ParseError> {
    let (number, unit) = split_unit(text)?;
    let scale = match unit {
        "B" => 1.0,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "GiB" => 1024.0 * 1024.0 * 1024.0,
        _ => return Err(ParseError::Unit(text.to_owned(), SIZE_UNITS)),
    };
    Ok((number * scale) as u64)
}

/// Parses a timestamp in RFC 3339 format; truncates to milliseconds.
///
/// # Errors
/// When the text has another format or the time is before 1970.
pub fn parse_time(text: &str) -> Result<UnixMillis, ParseError> {
    let time = humantime::parse_rfc3339(text).map_err(|_| ParseError::Time(text.to_owned()))?;
    Ok(unix_millis(time))
}

/// Formats a timestamp in RFC 3339 format with milliseconds.
#[must_use]
pub fn format_time(time: UnixMillis) -> String {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(time);
    humantime::format_rfc3339_millis(time).to_string()
}

/// Converts to milliseconds since the Unix epoch; times before it give 0.
#[must_use]
pub fn unix_millis(time: SystemTime) -> UnixMillis {
    let elapsed = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Splits a text into its leading number and the unit after it.
fn split_unit(text: &str) -> Result<(f64, &str), ParseError> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let number: f64 = text[..end]
        .parse()
        .map_err(|_| ParseError::Number(text.to_owned()))?;
    Ok((number, text[end..].trim()))
}

/// `serde_with` adapter: a [`Duration`] as text with a unit, such as `250ms`.
pub struct Span;

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        deserialize_text(deserializer, parse_duration)
    }
}

/// `serde_with` adapter: as [`Span`], but what is above [`MAX_DURATION`] becomes that, for texts that others have
/// accepted already.
pub struct CappedSpan;

impl<'de> DeserializeAs<'de, Duration> for CappedSpan {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        deserialize_text(deserializer, parse_capped_duration)
    }
}

/// Deserializes a duration as its type does; what is above [`MAX_DURATION`] becomes that. For messages of other
/// processes.
///
/// # Errors
/// Those of the format.
pub fn deserialize_capped<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    Duration::deserialize(deserializer).map(|duration| duration.min(MAX_DURATION))
}

/// As [`deserialize_capped`], for a duration that may be missing.
///
/// # Errors
/// Those of the format.
pub fn deserialize_capped_option<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    let duration = Option::<Duration>::deserialize(deserializer)?;
    Ok(duration.map(|duration| duration.min(MAX_DURATION)))
}

/// `serde_with` adapter: a size in bytes as text with a unit, such as `64MiB`; written in `B`.
pub struct Size;

impl SerializeAs<u64> for Size {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{source}B"))
    }
}

impl<'de> DeserializeAs<'de, u64> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        deserialize_text(deserializer, parse_size)
    }
}

/// `serde_with` adapter: [`UnixMillis`] as a timestamp in RFC 3339 format.
pub struct Rfc3339;

impl SerializeAs<UnixMillis> for Rfc3339 {
    fn serialize_as<S: Serializer>(source: &UnixMillis, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_time(*source))
    }
}

impl<'de> DeserializeAs<'de, UnixMillis> for Rfc3339 {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<UnixMillis, D::Error> {
        deserialize_text(deserializer, parse_time)
    }
}

/// Deserializes with `parse`, from a string or from a plain number.
///
/// Plain numbers go through `parse` too, so that its error names the valid units. `parse` runs
/// inside the visitor, because the format's errors then include the location of the value.
fn deserialize_text<'de, D, T>(
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
