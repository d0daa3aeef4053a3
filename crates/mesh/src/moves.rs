//! Moves of a service's traffic to a new version: orders, shares and ends.
//!
//! A move starts with a small share, so that a bad version costs few requests, and keeps it for
//! the greater part of its time, so that a version that turns bad later is found out first. Then
//! the share grows in steps, as the verdict of [`crate::canary`] allows. A bad verdict is final.

use std::time::Duration;

use base::FastMap;
use base::Offset;
use base::ServiceName;
use base::Share;
use base::UnixMillis;
use base::VersionName;
use serde::Deserialize;
use serde::Serialize;

use crate::canary::Verdict;

/// An operator's order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveOrder {
    /// Service that is moved.
    pub service: ServiceName,
    /// Version that gets its traffic.
    pub target: VersionName,
    /// Time that the move may take.
    pub within: Duration,
    /// Place of the order in the operator's log, which names it.
    pub offset: Offset,
}

/// How far a move is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// The order.
    pub order: MoveOrder,
    /// When a daemon saw the order first.
    pub began: UnixMillis,
    /// How far it is.
    pub stage: Stage,
    /// How often the share was taken back to the first one since nothing could be told.
    pub setbacks: u32,
    /// Whether the store holds this end, which rules any other out.
    pub is_settled: bool,
}

impl MoveRecord {
    /// Rank by which records of one service's moves replace each other: a later order, then an end that
    /// the store holds, then any end, then the latest share.
    #[must_use]
    pub fn precedence(&self) -> MovePrecedence {
        (
            self.order.offset,
            self.is_settled,
            !self.is_open(),
            self.setbacks,
            self.stage,
        )
    }

    /// Whether the move has not ended.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Sharing(_))
    }
}

/// Rank of a record; the highest of a service stands.
pub type MovePrecedence = (Offset, bool, bool, u32, Stage);

/// What a controller does with a decision when it has read what the store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleAction {
    /// Another decision stands already; follow it.
    Adopt(MoveRecord),
    /// Write this one, on the condition that the store has not changed since.
    Write(MoveRecord),
}

/// Weighs a decision against the record that the store holds. The first end that is stored stands:
/// two daemons that both take themselves for the controller cannot store different ones.
#[must_use]
pub fn settle(decided: &MoveRecord, stored: Option<&MoveRecord>) -> SettleAction {
    if let Some(stored) = stored
        && stored.precedence() >= decided.precedence()
    {
        return SettleAction::Adopt(stored.clone());
    }
    SettleAction::Write(MoveRecord {
        is_settled: !decided.is_open(),
        ..decided.clone()
    })
}

/// How far a move is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The target gets this share of the requests, in thousandths.
    Sharing(Share),
    /// The target gets all, for good.
    Complete,
    /// The target gets nothing, for good.
    RolledBack,
}

/// Share while the target is unproven; the platform bounds a bad version to a tenth.
const PROBE_SHARE: Share = 30;

/// Steps of a move: part of its time that has passed, in thousandths, and the share from then on.
/// The last one leaves old instances time to finish before the move is complete.
/// The steps are short, so that a version that is bad under load only is found out at each of them
/// before it got a tenth of the requests of the whole time.
const STEPS: [(u64, Share); 3] = [(0, PROBE_SHARE), (700, 500), (720, 1000)];

/// Part of the time of a move after which it is complete, in thousandths. After it 2 s of the users'
/// 16 s are left for the report.
const COMPLETE_AT: u64 = 860;

/// The record of a move, `elapsed` after its order. An end is final; a share only falls where it is
/// taken back to the first one, since nothing can be told.
#[must_use]
pub fn advance(record: &MoveRecord, elapsed: Duration, verdict: Verdict) -> MoveRecord {
    let Stage::Sharing(present) = record.stage else {
        return record.clone();
    };
    let to = |stage: Stage| MoveRecord {
        stage,
        ..record.clone()
    };
    match verdict {
        Verdict::Bad => to(Stage::RolledBack),
        Verdict::InsufficientData => to(Stage::Sharing(present.max(PROBE_SHARE))),
        Verdict::Inconclusive if present > PROBE_SHARE => MoveRecord {
            setbacks: record.setbacks + 1,
            ..to(Stage::Sharing(PROBE_SHARE))
        },
        Verdict::Inconclusive => record.clone(),
        Verdict::Good => to(next_step(record, present, elapsed)),
    }
}

fn next_step(record: &MoveRecord, present: Share, elapsed: Duration) -> Stage {
    let whole = record.order.within.as_millis().max(1);
    let passed = u64::try_from(elapsed.as_millis() * 1000 / whole).unwrap_or(u64::MAX);
    if passed >= COMPLETE_AT && present == base::FULL_SHARE {
        return Stage::Complete;
    }
    let step = STEPS.iter().rev().find(|(from, _)| passed >= *from);
    Stage::Sharing(step.map_or(PROBE_SHARE, |(_, share)| *share).max(present))
}

/// Moves by service, merged from records and gossip.
#[derive(Debug, Default)]
pub struct Moves {
    records: FastMap<ServiceName, MoveRecord>,
}

impl Moves {
    /// Takes in a record; a later order wins, then an end that the store holds, then a later stage.
    /// Says whether it was news.
    pub fn merge(&mut self, record: MoveRecord) -> bool {
        if let Some(known) = self.records.get(&record.order.service)
            && known.precedence() >= record.precedence()
        {
            return false;
        }
        self.records.insert(record.order.service.clone(), record);
        true
    }

    /// The move of a service.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&MoveRecord> {
        self.records.get(service)
    }

    /// All moves, in no order.
    pub fn records(&self) -> impl Iterator<Item = &MoveRecord> {
        self.records.values()
    }

    /// Which versions a request to a service may go to; `random` is any number.
    #[must_use]
    pub fn version_filter(&self, service: &str, random: u64) -> VersionFilter<'_> {
        let Some(record) = self.records.get(service) else {
            return VersionFilter::Oldest;
        };
        let target = &record.order.target;
        match record.stage {
            Stage::Complete => VersionFilter::Only(target),
            Stage::Sharing(share) if random % 1000 < u64::from(share) => {
                VersionFilter::Prefer(target)
            }
            Stage::Sharing(base::FULL_SHARE..) => VersionFilter::Prefer(target),
            Stage::Sharing(_) | Stage::RolledBack => VersionFilter::Except(target),
        }
    }
}

/// Which versions a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// The version of the instance that started first; no move is known.
    Oldest,
    /// This one alone.
    Only(&'a VersionName),
    /// This one, or another where it has no instance.
    Prefer(&'a VersionName),
    /// All but this one.
    Except(&'a VersionName),
}
