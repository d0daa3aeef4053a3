//! Human-readable texts of reject reasons and rollout outcomes.

use std::fmt;
use std::time::Duration;

use base::units::format_duration;

use crate::state::RejectReason;
use crate::state::RolloutOutcome;

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NumberTaken { last } => {
                write!(
                    f,
                    "number is not above that of the last accepted ticket, {last}"
                )
            }
            Self::RouteWithoutService { route, service } => {
                write!(
                    f,
                    "route {route} needs service {service}, which would not exist"
                )
            }
            Self::UnknownService(service) => {
                write!(f, "removes service {service}, which does not exist")
            }
            Self::UnknownRoute(route) => write!(f, "removes route {route}, which does not exist"),
            Self::VersionRolledBack { service, version } => {
                write!(f, "version {version} of {service} was taken back before")
            }
            Self::Contradiction(key) => write!(f, "{key} is both set and removed"),
            Self::OutOfRange(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for RejectReason {}

impl fmt::Display for RolloutOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => f.write_str("done"),
            Self::DoneLate { by_ms } => {
                let late = format_duration(Duration::from_millis(*by_ms));
                write!(f, "done late by {late}")
            }
            Self::RolledBack { reason } => write!(f, "taken back: {reason}"),
            Self::Superseded { by } => write!(f, "superseded by ticket {by}"),
        }
    }
}
