//! Check of a configuration before it is sent: entries that can never match, limits that contradict each
//! other, and what differs from the configuration in force.

mod diff;
mod lint;

use base::FastMap;

pub use self::diff::Change;
pub use self::diff::Difference;
pub use self::diff::differences;
pub use self::lint::findings;
pub use crate::config::Place;
use crate::customers::CustomerName;
use crate::rate_limit::RequestRate;

/// Requests a second that customers are measured to send.
pub type SentRates = FastMap<CustomerName, RequestRate>;

/// What is doubtful about an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// No request can match it, or it can have no effect.
    NeverMatches,
    /// It contradicts another value.
    Contradiction,
}

impl Kind {
    /// Returns the name of the kind.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NeverMatches => "never-matches",
            Self::Contradiction => "contradiction",
        }
    }
}

/// A doubtful entry of a valid configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The entry.
    pub place: Place,
    /// What is doubtful about it.
    pub kind: Kind,
    /// Reason, for people.
    pub reason: String,
}
