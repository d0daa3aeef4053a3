//! Rate of the requests that an instance accepts from the whole fleet, as it states in its responses.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A number of requests a second, kept in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    per_1000_secs: u64,
}

impl RequestRate {
    /// Returns the rate of this many requests a second; `None` unless that is a number from 0 on.
    #[must_use]
    pub fn from_per_sec(per_sec: f64) -> Option<Self> {
        let is_valid = per_sec.is_finite() && per_sec >= 0.0;
        // The cast rounds down and saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        is_valid.then_some(Self {
            per_1000_secs: (per_sec * 1e3) as u64,
        })
    }

    /// Returns the number of requests a second.
    #[must_use]
    pub fn per_sec(self) -> f64 {
        // Rates above 2^53 thousandths need no precision.
        #[allow(clippy::cast_precision_loss)]
        let per_1000_secs = self.per_1000_secs as f64;
        per_1000_secs / 1e3
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_sec())
    }
}

/// What a response states about the accepted rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// It states no limit.
    Absent,
    /// It states this limit.
    Limit(RequestRate),
    /// It states a limit that is no rate.
    Unreadable,
}
