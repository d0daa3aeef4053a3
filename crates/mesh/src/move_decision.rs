//! Decisions of the controller of moves: the next stage of each open move, from the evidence.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use base::ServiceName;

use crate::canary::CanaryAnalysis;
use crate::canary::Verdict;
use crate::moves::FIRST_SHARE;
use crate::moves::MovePrecedence;
use crate::moves::MoveRecord;
use crate::moves::Stage;
use crate::moves::advance;

/// Answers of the target that a stage above the first share needs for the next one; with fewer, a
/// version that fails half of its requests is not told from a good one on each of a few routes.
const STAGE_ANSWERS: u32 = 24;

/// Number of the target's answers when each move entered its present stage, as the controller saw it.
#[derive(Debug, Default)]
pub struct StageEvidence {
    entered: FastMap<ServiceName, (MovePrecedence, u32)>,
}

impl StageEvidence {
    /// Returns the verdict for the next step of a move whose target has given `answers` so far. A good
    /// one holds only once the target has proven itself at the present share: after an outage the steps
    /// are due all at once.
    pub fn verdict_at_stage(
        &mut self,
        record: &MoveRecord,
        answers: u32,
        verdict: Verdict,
    ) -> Verdict {
        let precedence = record.precedence();
        let entered = self
            .entered
            .entry(record.order.service.clone())
            .or_insert((precedence, answers));
        if entered.0 != precedence || entered.1 > answers {
            *entered = (precedence, answers);
        }
        let is_raised = matches!(record.stage, Stage::Sharing(share) if share > FIRST_SHARE);
        if verdict == Verdict::Good && is_raised && answers - entered.1 < STAGE_ANSWERS {
            return Verdict::InsufficientData;
        }
        verdict
    }
}

/// Decision on an open move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The move with its next stage.
    pub record: MoveRecord,
    /// Verdict that led there.
    pub verdict: Verdict,
    /// Whether the verdict differs from the one before on a move of the service.
    pub is_verdict_new: bool,
    /// Instances of the target that report evidence.
    pub reporting: usize,
}

/// Decides on the open moves.
#[derive(Debug, Default)]
pub struct MoveDecider {
    stages: StageEvidence,
    last_verdicts: FastMap<ServiceName, Verdict>,
}

impl MoveDecider {
    /// Decides on a move at the time `elapsed` after its order. `instances` is the number of the target's
    /// instances that take requests.
    pub fn decide(
        &mut self,
        record: &MoveRecord,
        canary: &CanaryAnalysis,
        instances: usize,
        elapsed: Duration,
        now: Instant,
    ) -> Decision {
        let order = &record.order;
        let verdict = canary.verdict(&order.service, &order.target, instances, now);
        let answers = canary.answers(&order.service, &order.target);
        let verdict = self.stages.verdict_at_stage(record, answers, verdict);
        let last_verdict = self.last_verdicts.insert(order.service.clone(), verdict);
        Decision {
            record: advance(record, elapsed, verdict),
            verdict,
            is_verdict_new: last_verdict != Some(verdict),
            reporting: canary.reporting(&order.service, &order.target, now),
        }
    }
}
