//! Results of the ticket commands, as text for people and as JSON for scripts. The output calls a
//! rollout a move, and a rolled-back version taken back.

use std::fmt;

use base::ServiceName;
use base::Share;
use base::TicketNumber;
use base::UnixMillis;
use base::VersionName;
use base::units::Rfc3339;
use base::units::format_time;
use ledger::Phase;
use ledger::Rollout;
use ledger::RolloutEnd;
use ledger::RolloutOutcome;
use serde::Serialize;
use serde_with::serde_as;

/// Verdict on a ticket, with its reason.
#[derive(Debug, Serialize)]
pub struct VerdictResult {
    /// Number of the ticket.
    pub ticket: TicketNumber,
    /// The verdict, from a check, a publish or the log.
    pub verdict: Verdict,
    /// Why the ticket was, or would be, rejected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Whether a ticket was accepted, or would be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The file is a valid ticket; it was not checked against the log's state.
    WellFormed,
    /// The log's state would accept the ticket.
    Acceptable,
    /// The ticket was accepted.
    Accepted,
    /// The ticket was rejected as a whole, or a check found that it would be.
    Rejected,
    /// The ticket was not published, since it would be rejected.
    NotPublished,
}

impl fmt::Display for VerdictResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self.verdict {
            Verdict::WellFormed => "is well formed; give --log to check it against the state",
            Verdict::Acceptable => "would be accepted",
            Verdict::Accepted => "accepted",
            Verdict::Rejected => "rejected",
            Verdict::NotPublished => "not published",
        };
        write!(f, "ticket {} {text}", self.ticket)?;
        match &self.reason {
            Some(reason) => write!(f, ": {reason}"),
            None => Ok(()),
        }
    }
}

/// End of a rollout.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct RolloutEndResult {
    ticket: TicketNumber,
    service: ServiceName,
    from: VersionName,
    to: VersionName,
    end: EndKind,
    detail: String,
    #[serde_as(as = "Rfc3339")]
    at: UnixMillis,
}

/// How a rollout ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// Completed by the ticket's time, or the ticket set none.
    Done,
    /// Completed after the ticket's time.
    DoneLate,
    /// Rolled back; the new version receives no calls any more.
    #[serde(rename = "taken-back")]
    RolledBack,
    /// Replaced by a later ticket.
    Superseded,
}

impl From<&RolloutEnd> for RolloutEndResult {
    fn from(rollout_end: &RolloutEnd) -> Self {
        Self {
            ticket: rollout_end.ticket,
            service: rollout_end.service.clone(),
            from: rollout_end.from.clone(),
            to: rollout_end.to.clone(),
            end: EndKind::of(&rollout_end.end),
            detail: rollout_end.end.to_string(),
            at: rollout_end.at,
        }
    }
}

impl EndKind {
    /// Returns the kind of an outcome, without its details.
    pub fn of(end: &RolloutOutcome) -> Self {
        match end {
            RolloutOutcome::Done => Self::Done,
            RolloutOutcome::DoneLate { .. } => Self::DoneLate,
            RolloutOutcome::RolledBack { .. } => Self::RolledBack,
            RolloutOutcome::Superseded { .. } => Self::Superseded,
        }
    }
}

impl fmt::Display for RolloutEndResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = format_time(self.at);
        let Self {
            ticket,
            service,
            from,
            to,
            detail,
            ..
        } = self;
        write!(f, "{at} ticket {ticket} {service} {from} -> {to} {detail}")
    }
}

/// A rollout in progress.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct RolloutResult {
    ticket: TicketNumber,
    service: ServiceName,
    from: VersionName,
    to: VersionName,
    /// Share of the new version, in thousandths.
    share: Share,
    /// Whether the new version has the full share and is observed before the rollout completes.
    is_watched: bool,
    #[serde_as(as = "Option<Rfc3339>")]
    finish_by: Option<UnixMillis>,
}

impl RolloutResult {
    /// Describes a rollout of a service whose stable version is `from`.
    pub fn new(service: &ServiceName, from: &VersionName, rollout: &Rollout) -> Self {
        Self {
            ticket: rollout.ticket,
            service: service.clone(),
            from: from.clone(),
            to: rollout.to.clone(),
            share: rollout.share,
            is_watched: rollout.phase != Phase::Ramping,
            finish_by: rollout.finish_by,
        }
    }
}

impl fmt::Display for RolloutResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            ticket,
            service,
            from,
            to,
            share,
            ..
        } = self;
        write!(f, "ticket {ticket} {service} {from} -> {to} {share}/1000")?;
        if self.is_watched {
            f.write_str(", watched")?;
        }
        match self.finish_by {
            Some(time) => write!(f, ", finish by {}", format_time(time)),
            None => Ok(()),
        }
    }
}

/// Rollouts in the log's state.
#[derive(Debug, Serialize)]
pub struct RolloutsResult {
    /// Number of the last accepted ticket.
    pub ticket: TicketNumber,
    /// Rollouts in progress.
    pub moves: Vec<RolloutResult>,
    /// Ends of the latest rollouts, oldest first.
    pub ends: Vec<RolloutEndResult>,
}

impl fmt::Display for RolloutsResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "last accepted ticket {}", self.ticket)?;
        write!(f, "\nunder way: {}", self.moves.len())?;
        for rollout in &self.moves {
            write!(f, "\n  {rollout}")?;
        }
        write!(f, "\nended: {}", self.ends.len())?;
        for end in &self.ends {
            write!(f, "\n  {end}")?;
        }
        Ok(())
    }
}

/// Summary of a ticket whose rollouts have all ended.
#[derive(Debug, Serialize)]
pub struct WatchResult {
    /// Number of the ticket.
    pub ticket: TicketNumber,
    /// Services whose rollout ended.
    pub moves: usize,
    /// Services whose rollout was rolled back.
    #[serde(rename = "taken_back")]
    pub rolled_back: usize,
}

impl fmt::Display for WatchResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            ticket,
            moves,
            rolled_back,
        } = self;
        if *moves == 0 {
            return write!(f, "ticket {ticket} is in force and moves nothing");
        }
        write!(
            f,
            "ticket {ticket}: {moves} moves ended, {rolled_back} taken back"
        )
    }
}
