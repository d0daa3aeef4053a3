//! Decisions of the controller of moves: the next stage of each open move, from the evidence.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::ServiceName;

use crate::canary::CanaryAnalysis;
use crate::canary::ProofInstances;
use crate::canary::ProofSpan;
use crate::canary::UnprovenRoute;
use crate::canary::Verdict;
use crate::config::RouteName;
use crate::moves::MAX_UNPROVEN_SHARE;
use crate::moves::MoveOrder;
use crate::moves::MovePrecedence;
use crate::moves::MoveRecord;
use crate::moves::Stage;
use crate::moves::advance;
use crate::route_proof::BadRate;
use crate::route_proof::RouteProof;

/// Rate of faulty answers that the first share must rule out on each route; a version that fails half
/// of its requests is told with few answers.
const FIRST_BAD_RATE: BadRate = BadRate {
    rate: 0.5,
    margin: 0.2,
};

/// Rate of faulty answers that the raised shares must rule out on each route.
const RAISED_BAD_RATE: BadRate = BadRate {
    rate: 0.2,
    margin: 0.15,
};

/// Rate of faulty answers that the full share must rule out over all routes: a version that fails under
/// load does so on each of them, and often less.
const FULL_BAD_RATE: BadRate = BadRate {
    rate: 0.1,
    margin: 0.07,
};

/// Rate of failures that the full share must rule out over all routes. A version that fails under load fails
/// few requests at first.
const LOADED_BAD_RATE: BadRate = BadRate {
    rate: 0.075,
    margin: 0.05,
};

/// Answers of the target that a raised share needs for the next stage.
const STAGE_ANSWERS: u32 = 24;

/// Minimum time at the full share before a move completes: some times the latency of a request, so that
/// the answers are those of an instance under load.
const MIN_FULL_SHARE_TIME: Duration = Duration::from_millis(1200);

/// The same for a move that cannot complete in time any more, so that nothing is lost by watching it.
const LATE_FULL_SHARE_TIME: Duration = Duration::from_secs(5);

/// Most routes with a larger share of their own; a record with them fits a datagram.
const MAX_BOOSTED_ROUTES: usize = 6;

/// Largest part of the service's requests that routes with a larger share have together, in thousandths: the
/// target must get less than the tenth of all requests that the platform allows.
const MAX_BOOSTED_PERMILLE: u32 = 100;

/// Decision on an open move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The move with its next stage.
    pub record: MoveRecord,
    /// Verdict that led there.
    pub verdict: Verdict,
    /// Whether the verdict differs from the one before on a move of the service.
    pub is_verdict_new: bool,
    /// Routes that still lack a proof for the next stage.
    pub unproven: Vec<RouteName>,
    /// Instances of the target that report evidence.
    pub reporting: usize,
    /// Time since this daemon, as the controller, first saw the move at its stage.
    pub at_stage: Duration,
}

/// Decides on the open moves.
#[derive(Debug, Default)]
pub struct MoveDecider {
    /// Stage of each move, and when this daemon first saw it as the controller.
    entered: FastMap<ServiceName, (MovePrecedence, Instant)>,
    last_verdicts: FastMap<ServiceName, Verdict>,
}

impl MoveDecider {
    /// Decides on a move at the time `elapsed` after its order. `instances` is the number of the target's
    /// instances that take requests.
    pub fn decide(
        &mut self,
        record: &MoveRecord,
        canary: &mut CanaryAnalysis,
        instances: usize,
        elapsed: Duration,
        now: Instant,
    ) -> Decision {
        let MoveOrder {
            service, target, ..
        } = &record.order;
        canary.discard_versions(service, &record.origin.withdrawn);
        let entered = self.enter_stage(record, canary, now);
        let at_stage = now.saturating_duration_since(entered);
        let mut verdict = canary.verdict(service, target, instances, now);
        let mut unproven = Vec::new();
        if verdict == Verdict::Good {
            unproven = unproven_routes(record, canary);
            let is_suspicious = |route: &UnprovenRoute| route.proof == RouteProof::Suspicious;
            verdict = if unproven.iter().any(is_suspicious) {
                Verdict::Suspicious
            } else if !unproven.is_empty() || !is_cleared(record, canary) {
                Verdict::Unproven
            } else {
                stage_verdict(record, canary, elapsed, at_stage)
            };
        }
        let last_verdict = self.last_verdicts.insert(service.clone(), verdict);
        let mut next = advance(record, elapsed, verdict);
        if next.precedence() != record.precedence() {
            next.boosted = boosted_routes(&next, &unproven);
        }
        Decision {
            record: next,
            verdict,
            is_verdict_new: last_verdict != Some(verdict),
            unproven: unproven.into_iter().map(|route| route.name).collect(),
            reporting: canary.reporting(service, target, now),
            at_stage,
        }
    }

    /// Returns when the move entered its present stage, as this daemon saw it.
    fn enter_stage(
        &mut self,
        record: &MoveRecord,
        canary: &mut CanaryAnalysis,
        now: Instant,
    ) -> Instant {
        let service = &record.order.service;
        let precedence = record.precedence();
        if let Some((known, entered)) = self.entered.get(service)
            && *known == precedence
        {
            return *entered;
        }
        // The full share comes soon after the step before it, and after a setback no step begins anew.
        let is_first_raised = match record.stage {
            Stage::Sharing(share) => share < base::FULL_SHARE && record.setbacks == 0,
            Stage::Complete | Stage::RolledBack => false,
        };
        canary.begin_stage(service, is_first_raised);
        self.entered.insert(service.clone(), (precedence, now));
        now
    }
}

/// Returns quiet routes that lack proof at one of the small shares, those first that wait longest for answers.
fn boosted_routes(record: &MoveRecord, unproven: &[UnprovenRoute]) -> Vec<RouteName> {
    if record.stage > Stage::Sharing(MAX_UNPROVEN_SHARE) {
        return Vec::new();
    }
    let mut quiet: Vec<&UnprovenRoute> = unproven
        .iter()
        .filter(|route| route.is_quiet && route.proof == RouteProof::Open)
        .collect();
    quiet.sort_by_key(|route| route.requests_permille);
    let mut left_permille = MAX_BOOSTED_PERMILLE;
    quiet
        .into_iter()
        .take_while(|route| {
            let left = left_permille.checked_sub(route.requests_permille);
            left_permille = left.unwrap_or(0);
            left.is_some()
        })
        .take(MAX_BOOSTED_ROUTES)
        .map(|route| route.name.clone())
        .collect()
}

/// Returns the routes that lack proof for the stage after this one.
fn unproven_routes(record: &MoveRecord, canary: &CanaryAnalysis) -> Vec<UnprovenRoute> {
    let MoveOrder {
        service, target, ..
    } = &record.order;
    let routes = |span, busy| canary.unproven_routes(service, target, span, busy, FIRST_BAD_RATE);
    match record.stage {
        Stage::Sharing(base::FULL_SHARE..) if record.setbacks == 0 => {
            routes(ProofSpan::Stage, RAISED_BAD_RATE)
        }
        Stage::Sharing(base::FULL_SHARE..) => routes(ProofSpan::Raised, RAISED_BAD_RATE),
        Stage::Sharing(share) if share > MAX_UNPROVEN_SHARE || record.setbacks > 0 => {
            routes(ProofSpan::Move, RAISED_BAD_RATE)
        }
        _ => {
            let mut unproven = routes(ProofSpan::Move, FIRST_BAD_RATE);
            // A raised share would be reduced at once on the answers that are suspicious there.
            let mut suspicious = routes(ProofSpan::Move, RAISED_BAD_RATE);
            suspicious.retain(|route| route.proof == RouteProof::Suspicious);
            unproven.retain(|route| suspicious.iter().all(|other| other.name != route.name));
            unproven.append(&mut suspicious);
            unproven
        }
    }
}

/// Whether the answers of all instances have removed the doubt that reduced the share, if any did. Few come
/// at the small share from a version that fails under load only, so those at the raised one count on.
fn is_cleared(record: &MoveRecord, canary: &CanaryAnalysis) -> bool {
    let MoveOrder {
        service, target, ..
    } = &record.order;
    let (span, instances) = (ProofSpan::Raised, ProofInstances::All);
    record.setbacks == 0 || canary.is_proven(service, target, span, instances, FULL_BAD_RATE)
}

/// Returns whether a raised stage has shown enough over all routes.
fn stage_verdict(
    record: &MoveRecord,
    canary: &CanaryAnalysis,
    elapsed: Duration,
    at_stage: Duration,
) -> Verdict {
    let MoveOrder {
        service,
        target,
        within,
        ..
    } = &record.order;
    let is_raised = record.stage > Stage::Sharing(MAX_UNPROVEN_SHARE);
    if !is_raised {
        return Verdict::Good;
    }
    if canary.answers_at_stage(service, target) < STAGE_ANSWERS {
        return Verdict::InsufficientData;
    }
    if record.stage < Stage::Sharing(base::FULL_SHARE) {
        return Verdict::Good;
    }
    if at_stage < MIN_FULL_SHARE_TIME {
        return Verdict::InsufficientData;
    }
    let failures = canary.failure_proof(service, target, LOADED_BAD_RATE);
    if failures == RouteProof::Suspicious {
        return Verdict::Suspicious;
    }
    let is_late = elapsed + MIN_FULL_SHARE_TIME.saturating_sub(at_stage) > *within;
    let (min_time, instances) = if is_late {
        (LATE_FULL_SHARE_TIME, ProofInstances::All)
    } else {
        (MIN_FULL_SHARE_TIME, ProofInstances::Most)
    };
    let (span, bad) = (ProofSpan::Stage, FULL_BAD_RATE);
    let is_proven =
        failures == RouteProof::Proven && canary.is_proven(service, target, span, instances, bad);
    if at_stage < min_time || !is_proven {
        return Verdict::InsufficientData;
    }
    Verdict::Good
}
