//! Results of the ticket commands, for people and for scripts.

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

/// What became of a ticket, or would become of it.
#[derive(Debug, Serialize)]
pub struct VerdictResult {
    /// Its number.
    pub ticket: TicketNumber,
    /// What is said about it.
    pub verdict: Verdict,
    /// Why, where there is something to say.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// What became of a ticket, or would become of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The file is a ticket; nothing was compared with the log.
    WellFormed,
    /// The log's state would accept it.
    Acceptable,
    /// It is in force.
    Accepted,
    /// It was rejected as a whole.
    Rejected,
    /// It was not published, since it would be rejected.
    NotPublished,
}

impl fmt::Display for VerdictResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = match self.verdict {
            Verdict::WellFormed => "is well formed; give --log to check it against the state",
            Verdict::Acceptable => "would be accepted",
            Verdict::Accepted => "accepted",
            Verdict::Rejected => "rejected",
            Verdict::NotPublished => "not published",
        };
        write!(f, "ticket {} {words}", self.ticket)?;
        match &self.reason {
            Some(reason) => write!(f, ": {reason}"),
            None => Ok(()),
        }
    }
}

/// The end of a move.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct EndResult {
    ticket: TicketNumber,
    service: ServiceName,
    from: VersionName,
    to: VersionName,
    end: End,
    detail: String,
    #[serde_as(as = "Rfc3339")]
    at: UnixMillis,
}

/// Kind of an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// On time.
    Done,
    /// After the ticket's time.
    DoneLate,
    /// The version showed itself bad.
    TakenBack,
    /// A later ticket replaced the move.
    Superseded,
}

impl From<&RolloutEnd> for EndResult {
    fn from(report: &RolloutEnd) -> Self {
        Self {
            ticket: report.ticket,
            service: report.service.clone(),
            from: report.from.clone(),
            to: report.to.clone(),
            end: End::of(&report.end),
            detail: report.end.to_string(),
            at: report.at,
        }
    }
}

impl End {
    /// The kind of an end.
    pub fn of(end: &RolloutOutcome) -> Self {
        match end {
            RolloutOutcome::Done => Self::Done,
            RolloutOutcome::DoneLate { .. } => Self::DoneLate,
            RolloutOutcome::RolledBack { .. } => Self::TakenBack,
            RolloutOutcome::Superseded { .. } => Self::Superseded,
        }
    }
}

impl fmt::Display for EndResult {
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

/// A move under way.
#[serde_as]
#[derive(Debug, Serialize)]
pub struct MoveResult {
    ticket: TicketNumber,
    service: ServiceName,
    from: VersionName,
    to: VersionName,
    /// In thousandths.
    share: Share,
    is_watched: bool,
    #[serde_as(as = "Option<Rfc3339>")]
    finish_by: Option<UnixMillis>,
}

impl MoveResult {
    /// The move of a service whose stable version is `from`.
    pub fn new(service: &ServiceName, from: &VersionName, moving: &Rollout) -> Self {
        Self {
            ticket: moving.ticket,
            service: service.clone(),
            from: from.clone(),
            to: moving.to.clone(),
            share: moving.share,
            is_watched: moving.phase != Phase::Ramping,
            finish_by: moving.finish_by,
        }
    }
}

impl fmt::Display for MoveResult {
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

/// All moves that the log knows of.
#[derive(Debug, Serialize)]
pub struct MovesResult {
    /// Last accepted ticket.
    pub ticket: TicketNumber,
    /// Moves under way.
    pub moves: Vec<MoveResult>,
    /// Ends of the latest moves, oldest first.
    pub ends: Vec<EndResult>,
}

impl fmt::Display for MovesResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "last accepted ticket {}", self.ticket)?;
        write!(f, "\nunder way: {}", self.moves.len())?;
        for moving in &self.moves {
            write!(f, "\n  {moving}")?;
        }
        write!(f, "\nended: {}", self.ends.len())?;
        for end in &self.ends {
            write!(f, "\n  {end}")?;
        }
        Ok(())
    }
}

/// All moves of a ticket have ended.
#[derive(Debug, Serialize)]
pub struct WatchResult {
    /// The ticket.
    pub ticket: TicketNumber,
    /// Moves that ended.
    pub moves: usize,
    /// Moves that were taken back.
    pub taken_back: usize,
}

impl fmt::Display for WatchResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            ticket,
            moves,
            taken_back,
        } = self;
        if *moves == 0 {
            return write!(f, "ticket {ticket} is in force and moves nothing");
        }
        write!(
            f,
            "ticket {ticket}: {moves} moves ended, {taken_back} taken back"
        )
    }
}
