//! Validation of a ticket without the state: ranges, names, contradictions.

use std::fmt;
use std::time::Duration;

use base::FULL_SHARE;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::ticket::RolloutPolicy;
use crate::ticket::Route;
use crate::ticket::ServiceSpec;
use crate::ticket::Ticket;

/// Longest name of a service or a version, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Longest path prefix of a route, in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;

/// Shortest timeout of a route.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Longest timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_hours(1);

/// Longest watch period after the full share.
pub const MAX_WATCH: Duration = Duration::from_hours(24);

const NAME_RULE: &str = "1 to 64 letters, digits, `.`, `_` or `-`";
const PREFIX_RULE: &str = "a path of at most 256 bytes that begins with `/` and holds no space";

/// A ticket that fails validation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RangeError {
    /// The value under the key is out of range or malformed.
    Value {
        /// Path of keys from the top of the ticket.
        key: Vec<SmolStr>,
        /// Description of the values that are allowed.
        expected: &'static str,
    },
    /// The ticket both sets and removes a service or route.
    Contradiction {
        /// Path of keys to the service or route that it sets.
        key: Vec<SmolStr>,
    },
}

impl RangeError {
    /// Returns the path of keys from the top of the ticket.
    #[must_use]
    pub fn key(&self) -> &[SmolStr] {
        match self {
            Self::Value { key, .. } | Self::Contradiction { key } => key,
        }
    }

    fn value(key: &[&str], expected: &'static str) -> Self {
        let key = key.iter().copied().map(SmolStr::new).collect();
        Self::Value { key, expected }
    }

    fn contradiction(key: &[&str]) -> Self {
        let key = key.iter().copied().map(SmolStr::new).collect();
        Self::Contradiction { key }
    }
}

impl fmt::Display for RangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = self.key().join(".");
        match self {
            Self::Value { expected, .. } => write!(f, "{key}: expected {expected}"),
            Self::Contradiction { .. } => write!(f, "{key}: both set and removed"),
        }
    }
}

impl std::error::Error for RangeError {}

impl Ticket {
    /// Checks ranges, names and contradictions; needs no state.
    ///
    /// # Errors
    /// Returns the first value that fails.
    pub fn check(&self) -> Result<(), RangeError> {
        if self.ticket == 0 {
            return Err(RangeError::value(&["ticket"], "a number of at least 1"));
        }
        for (name, spec) in &self.services {
            check_service(name, spec)?;
        }
        for (prefix, route) in &self.routes {
            check_route(prefix, route)?;
        }
        self.check_contradictions()
    }

    fn check_contradictions(&self) -> Result<(), RangeError> {
        for name in &self.remove_services {
            if self.services.contains_key(name) {
                return Err(RangeError::contradiction(&["services", name]));
            }
        }
        for prefix in &self.remove_routes {
            if self.routes.contains_key(prefix) {
                return Err(RangeError::contradiction(&["routes", prefix]));
            }
        }
        Ok(())
    }
}

fn check_service(name: &str, spec: &ServiceSpec) -> Result<(), RangeError> {
    if !is_name(name) {
        let key = format_smolstr!("`{name}`");
        return Err(RangeError::value(&["services", &key], NAME_RULE));
    }
    if !is_name(&spec.version) {
        return Err(RangeError::value(&["services", name, "version"], NAME_RULE));
    }
    check_policy(name, &spec.policy)
}

fn check_policy(name: &str, policy: &RolloutPolicy) -> Result<(), RangeError> {
    let fail = |key, expected| {
        let key = ["services", name, "policy", key];
        Err(RangeError::value(&key, expected))
    };
    if !(1..=FULL_SHARE).contains(&policy.probe_share) {
        return fail("probe_share", "1 to 1000 thousandths");
    }
    if policy.watch > MAX_WATCH {
        return fail("watch", "at most 24h");
    }
    Ok(())
}

fn check_route(prefix: &str, route: &Route) -> Result<(), RangeError> {
    if !is_prefix(prefix) {
        let key = format_smolstr!("`{prefix}`");
        return Err(RangeError::value(&["routes", &key], PREFIX_RULE));
    }
    if !is_name(&route.service) {
        return Err(RangeError::value(&["routes", prefix, "service"], NAME_RULE));
    }
    if !(MIN_TIMEOUT..=MAX_TIMEOUT).contains(&route.timeout) {
        return Err(RangeError::value(
            &["routes", prefix, "timeout"],
            "1ms to 1h",
        ));
    }
    Ok(())
}

// Names are used in headers, metric labels and file names, so few characters are allowed.
fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}

fn is_prefix(prefix: &str) -> bool {
    prefix.starts_with('/')
        && prefix.len() <= MAX_PREFIX_BYTES
        && prefix.chars().all(|c| c.is_ascii_graphic())
}
