//! Moves: staged rollouts of a service's traffic to a new version.
//!
//! A move starts with a small share, so that a bad version affects few requests, and keeps it for
//! most of its time, so that a version that degrades later is detected at this share. Then the
//! share grows in steps while the verdict of [`crate::canary`] is good. A bad verdict rolls the
//! move back for good.

use std::mem;
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
use crate::config::RouteName;

/// An operator's order to move a service's traffic to a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveOrder {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that receives the traffic.
    pub target: VersionName,
    /// Time within which the move must complete.
    #[serde(deserialize_with = "base::units::deserialize_capped")]
    pub within: Duration,
    /// Offset of the order in the operator's topic, or a higher number if the store's offsets went back;
    /// identifies the order, and a later one is higher.
    pub offset: Offset,
}

/// What serves a service beside the target of a move, and after the move was rolled back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Version in use when the order came; `None` while unknown.
    pub version: Option<VersionName>,
    /// Targets of earlier orders that did not come into use, the latest last. They get no requests.
    pub withdrawn: Vec<VersionName>,
}

/// Most versions in [`Origin::withdrawn`]; the instances of earlier ones have long left.
const MAX_WITHDRAWN: usize = 4;

impl Origin {
    fn is_unknown(&self) -> bool {
        *self == Self::default()
    }

    /// Adds what another daemon, or an earlier record, knows.
    fn fill_from(&mut self, other: &Self) {
        if self.version.is_none() {
            self.version.clone_from(&other.version);
        }
        let known = mem::take(&mut self.withdrawn);
        let earlier = other.withdrawn.iter().cloned();
        earlier
            .chain(known)
            .for_each(|version| self.withdraw(version));
    }

    /// Adds a version as the latest withdrawn one. That in use never is: an outdated record may show its move as
    /// open.
    fn withdraw(&mut self, version: VersionName) {
        self.withdrawn.retain(|known| *known != version);
        if self.version.as_ref() != Some(&version) {
            self.withdrawn.push(version);
        }
        let excess = self.withdrawn.len().saturating_sub(MAX_WITHDRAWN);
        self.withdrawn.drain(..excess);
    }

    /// Whether a version other than that in use may take its place if it has no instance left.
    #[must_use]
    pub fn may_replace(&self, version: &VersionName, target: &VersionName) -> bool {
        version != target && !self.withdrawn.contains(version)
    }
}

/// Progress of a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// The operator's order.
    pub order: MoveOrder,
    /// When a daemon first saw the order, by that daemon's clock.
    pub began: UnixMillis,
    /// Stage that the move has reached.
    pub stage: Stage,
    /// How often the share was reduced to the first one after an inconclusive or a suspicious verdict.
    pub setbacks: u32,
    /// Whether the store holds this final stage, which then excludes any other one.
    pub is_settled: bool,
    /// Routes that send [`BOOSTED_SHARE`] of their requests to the target: they have few, and lack proof.
    /// They change with the stage only.
    pub boosted: Vec<RouteName>,
    /// Time since the order, as the daemon that sent or stored the record had counted it.
    #[serde(default, deserialize_with = "base::units::deserialize_capped")]
    pub elapsed: Duration,
    /// What the requests move from.
    #[serde(default, skip_serializing_if = "Origin::is_unknown")]
    pub origin: Origin,
}

impl MoveRecord {
    /// Returns what a later order to move the service to `target` moves from.
    #[must_use]
    pub fn origin_after(&self, target: &VersionName) -> Origin {
        let mut origin = if self.stage == Stage::Complete {
            Origin {
                version: Some(self.order.target.clone()),
                withdrawn: Vec::new(),
            }
        } else {
            let mut origin = self.origin.clone();
            origin.withdraw(self.order.target.clone());
            origin
        };
        origin.withdrawn.retain(|version| version != target);
        origin
    }

    /// Returns the precedence by which records of one service replace each other: the later order,
    /// then a final stage that the store holds, then any final stage, then more setbacks, then the
    /// larger share.
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

    /// Returns the share of a route's requests for the target, in thousandths, at the share `share` of the
    /// move.
    #[must_use]
    pub fn share_of(&self, route: &RouteName, share: Share) -> Share {
        if share > 0 && self.boosted.contains(route) {
            share.max(BOOSTED_SHARE)
        } else {
            share
        }
    }

    /// Whether the move is still in progress.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Sharing(_))
    }
}

/// Precedence of a record; the highest of a service wins.
pub type MovePrecedence = (Offset, bool, bool, u32, Stage);

/// What a controller does with a decision after it has read the record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleAction {
    /// The stored decision takes precedence; adopt it.
    Adopt(MoveRecord),
    /// Write this record, on the condition that the store has not changed since the read.
    Write(MoveRecord),
}

/// Compares a decision with the record in the store. The first final stage in the store wins, so
/// that two daemons that both act as controller cannot store different ones.
#[must_use]
pub fn settle(decided: &MoveRecord, stored: Option<&MoveRecord>) -> SettleAction {
    if let Some(stored) = stored
        && stored.precedence() >= decided.precedence()
    {
        return SettleAction::Adopt(stored.clone());
    }
    SettleAction::Write(MoveRecord {
        is_settled: !decided.is_open(),
        origin: settle_origin(decided, stored),
        ..decided.clone()
    })
}

/// Returns the origin of a move that is written over the record in the store. All orders of a service come by
/// there one after the other, so what the store says of the version in use goes before what a daemon knows.
fn settle_origin(decided: &MoveRecord, stored: Option<&MoveRecord>) -> Origin {
    let Some(stored) = stored else {
        return decided.origin.clone();
    };
    let mut origin = if stored.order.offset == decided.order.offset {
        stored.origin.clone()
    } else {
        stored.origin_after(&decided.order.target)
    };
    origin.fill_from(&decided.origin);
    origin
}

/// Stage of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// In progress: the target gets this share of the requests, in thousandths.
    Sharing(Share),
    /// Final: the target gets all requests.
    Complete,
    /// Final: the target gets no requests.
    RolledBack,
}

/// First share, in thousandths; the platform limits a bad version to a tenth of the requests.
const FIRST_SHARE: Share = 30;

/// Steps of a move: elapsed part of its time and the share from then on, both in thousandths. The
/// last one leaves old instances time to finish before the move completes. The steps are short, so
/// that a version that fails only under load is detected at any of them before it has received a
/// tenth of all requests during the move.
const STEPS: [(u64, Share); 3] = [(0, FIRST_SHARE), (700, 500), (720, 1000)];

/// Share of the routes that have few requests and lack proof, in thousandths. All of them together have less
/// than a tenth of the service's requests.
pub const BOOSTED_SHARE: Share = 400;

/// Steps of a move while routes with few requests lack proof: until the end of its time, the target gets
/// less than the tenth of all requests that the platform allows.
const UNPROVEN_STEPS: [(u64, Share); 4] = [
    (0, FIRST_SHARE),
    (300, 50),
    (500, 80),
    (700, MAX_UNPROVEN_SHARE),
];

/// Largest share of a target that lacks proof on some routes.
pub const MAX_UNPROVEN_SHARE: Share = 120;

/// Elapsed part of the time of a move at which it completes, in thousandths. Of the 16 s that the
/// users allow for a move, this leaves 2 s to report the result.
const COMPLETE_AT_PERMILLE: u64 = 860;

/// Returns the record of a move at the time `elapsed` after its order. [`Stage::Complete`] and
/// [`Stage::RolledBack`] are final. The share shrinks only on an inconclusive or a suspicious
/// verdict, to the first one.
#[must_use]
pub fn advance(record: &MoveRecord, elapsed: Duration, verdict: Verdict) -> MoveRecord {
    let Stage::Sharing(current) = record.stage else {
        return record.clone();
    };
    let with_stage = |stage: Stage| MoveRecord {
        stage,
        ..record.clone()
    };
    match verdict {
        Verdict::Bad => with_stage(Stage::RolledBack),
        Verdict::InsufficientData => with_stage(Stage::Sharing(current.max(FIRST_SHARE))),
        Verdict::Inconclusive if current > FIRST_SHARE => MoveRecord {
            setbacks: record.setbacks.saturating_add(1),
            ..with_stage(Stage::Sharing(FIRST_SHARE))
        },
        Verdict::Inconclusive => record.clone(),
        Verdict::Unproven => with_stage(unproven_stage(record, current, elapsed)),
        Verdict::Suspicious => suspicious_step(record, current, elapsed),
        Verdict::Good => with_stage(next_stage(record, current, elapsed)),
    }
}

/// The faults become a verdict at the first share too, and fewer requests meet them. A move that is late
/// goes on at the larger one, where it takes less time.
fn suspicious_step(record: &MoveRecord, current: Share, elapsed: Duration) -> MoveRecord {
    let is_raised = current > MAX_UNPROVEN_SHARE;
    let stage = if is_raised {
        Stage::Sharing(FIRST_SHARE)
    } else if elapsed >= record.order.within {
        unproven_stage(record, current, elapsed)
    } else {
        Stage::Sharing(current.max(FIRST_SHARE))
    };
    MoveRecord {
        stage,
        setbacks: record.setbacks + u32::from(is_raised),
        ..record.clone()
    }
}

fn unproven_stage(record: &MoveRecord, current: Share, elapsed: Duration) -> Stage {
    let elapsed_permille = elapsed_permille(record, elapsed);
    let step = UNPROVEN_STEPS
        .iter()
        .rfind(|(from, _)| elapsed_permille >= *from);
    Stage::Sharing(step.map_or(FIRST_SHARE, |(_, share)| *share).max(current))
}

/// Returns the next stage, one step at a time: after an outage several are due at once.
fn next_stage(record: &MoveRecord, current: Share, elapsed: Duration) -> Stage {
    let elapsed_permille = elapsed_permille(record, elapsed);
    if elapsed_permille >= COMPLETE_AT_PERMILLE && current == base::FULL_SHARE {
        return Stage::Complete;
    }
    let step = STEPS
        .iter()
        .find(|(from, share)| *share > current && elapsed_permille >= *from);
    Stage::Sharing(step.map_or(current, |(_, share)| *share))
}

fn elapsed_permille(record: &MoveRecord, elapsed: Duration) -> u64 {
    let total_ms = record.order.within.as_millis().max(1);
    u64::try_from(elapsed.as_millis() * 1000 / total_ms).unwrap_or(u64::MAX)
}

/// Moves by service, merged from the store and from gossip.
#[derive(Debug, Default)]
pub struct Moves {
    records: FastMap<ServiceName, MoveRecord>,
    /// Whether orders may have lower offsets than earlier ones.
    have_offsets_gone_back: bool,
}

impl Moves {
    /// Merges a record by [`MoveRecord::precedence`]. Returns whether it is newer than the known one. Of the
    /// other one, only what it tells of the origin of the move is kept.
    pub fn merge(&mut self, mut record: MoveRecord) -> bool {
        let Some(known) = self.records.get_mut(&record.order.service) else {
            self.records.insert(record.order.service.clone(), record);
            return true;
        };
        let is_newer = record.precedence() > known.precedence();
        if is_newer {
            mem::swap(known, &mut record);
        }
        let (latest, other) = (known, record);
        let origin = if other.order.offset == latest.order.offset {
            other.origin
        } else {
            other.origin_after(&latest.order.target)
        };
        latest.origin.fill_from(&origin);
        is_newer
    }

    /// Records that the offsets of the operator's topic went back.
    pub fn offsets_went_back(&mut self) {
        self.have_offsets_gone_back = true;
    }

    /// Returns an order that was read from the store with the number that orders it after the known
    /// ones. After the offsets went back, a lower one with the same content as the known order is that
    /// order; daemons that know the same one give the next the same number.
    #[must_use]
    pub fn number(&self, order: MoveOrder) -> MoveOrder {
        let known = self.records.get(&order.service).map(|record| &record.order);
        let is_outdated = |known: &&MoveOrder| order.offset <= known.offset;
        let Some(known) = known
            .filter(is_outdated)
            .filter(|_| self.have_offsets_gone_back)
        else {
            return order;
        };
        if known.target == order.target && known.within == order.within {
            return known.clone();
        }
        MoveOrder {
            offset: known.offset.saturating_add(1),
            ..order
        }
    }

    /// Returns the latest move of a service.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&MoveRecord> {
        self.records.get(service)
    }

    /// Returns the latest move of each service, unordered.
    pub fn records(&self) -> impl Iterator<Item = &MoveRecord> {
        self.records.values()
    }

    /// Returns which versions a request to a service on a route may use; `random` is uniformly
    /// distributed.
    #[must_use]
    pub fn version_filter(
        &self,
        service: &str,
        route: &RouteName,
        random: u64,
    ) -> VersionFilter<'_> {
        let Some(record) = self.records.get(service) else {
            return VersionFilter::Oldest;
        };
        match record.stage {
            Stage::Complete => VersionFilter::Only(&record.order.target),
            Stage::Sharing(share) if random % 1000 < u64::from(record.share_of(route, share)) => {
                VersionFilter::Target(record)
            }
            Stage::Sharing(base::FULL_SHARE..) => VersionFilter::Target(record),
            Stage::Sharing(_) | Stage::RolledBack => VersionFilter::Origin(record),
        }
    }
}

/// Versions that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// The version of the instance that started first, as no move is known.
    Oldest,
    /// This version only.
    Only(&'a VersionName),
    /// The target of this move, or what it moves from if the target has no instance.
    Target(&'a MoveRecord),
    /// What this move moves from.
    Origin(&'a MoveRecord),
}
