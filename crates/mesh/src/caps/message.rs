//! Messages between daemons about usage caps.

use base::DaemonId;
use serde::Deserialize;
use serde::Serialize;

use crate::caps::CapId;
use crate::config::ConfigVersion;

/// Numbers the asks of a daemon.
pub type Seq = u32;

/// Most customers in one ask; ask and answer fit one packet.
pub const MAX_WANTS: usize = 80;

/// A moment by the clock of a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Process of the candidate.
    pub life: u64,
    /// Time since the start of its machine, in ms, rounded down.
    pub at_ms: u64,
}

/// What a daemon wants for a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The customer.
    pub id: CapId,
    /// Requests that wait, or were refused since the last ask.
    pub firm: u16,
    /// Requests that are expected until the next ask.
    pub expected: u16,
}

/// Asks a candidate for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Daemon that asks.
    pub from: DaemonId,
    /// Number of the ask.
    pub seq: Seq,
    /// Configuration that the sender has.
    pub config: ConfigVersion,
    /// Number of daemons that the sender knows.
    pub members: u32,
    /// Whether the sender promises itself to the receiver.
    pub promises: bool,
    /// Latest stamp of the receiver that the sender knows.
    pub echo: Option<Stamp>,
    /// What the sender wants.
    pub wants: Vec<Want>,
}

/// What a customer gets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Tokens.
    pub tokens: u16,
    /// Time until a token may be free, if the daemon got fewer than its requests need, in ms.
    pub wait_ms: u16,
}

/// Whether a candidate gives tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It does: one grant for each want, in order.
    Leads(Vec<Grant>),
    /// It does not; the allocator that it knows.
    Follows(Option<DaemonId>),
    /// It never will again in this process; the allocator that it knows.
    Resigned(Option<DaemonId>),
}

/// Answers an ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the ask.
    pub seq: Seq,
    /// When it was answered.
    pub stamp: Stamp,
    /// Configuration that the sender has.
    pub config: ConfigVersion,
    /// Whether the sender gives tokens.
    pub standing: Standing,
}

/// A datagram about usage caps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CapMessage {
    /// To a candidate.
    Ask(Ask),
    /// From a candidate.
    Answer(Answer),
    /// From a candidate that gave tokens, to all: this process never will again.
    Resigned(DaemonId, Stamp),
}
