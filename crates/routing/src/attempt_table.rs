//! Table of attempts on the upstream side; deduplicates attempts and keeps their answers.
//!
//! An attempt either begins once or is fenced before it begins, never both. That holds for
//! idempotent calls too, so that "not run" is true of every call. Memory is bounded:
//!
//! - Beyond `max_ended`, finished and fenced attempts are evicted oldest first, and the caller's
//!   low watermark rises above the evicted attempt. An attempt below the watermark without an
//!   entry may have run, so it is neither run nor reported as not run. An attempt that more than
//!   `max_ended` others overtake therefore ends as unknown although it did not run.
//! - Only the highest incarnation of a caller begins new attempts. A restarted caller has a
//!   higher one, so one watermark per caller name is enough.
//! - Attempts of callers beyond `max_callers` names are refused as not run. Callers are never
//!   evicted, so a refused name is never admitted later and "not run" stays true. To serve more
//!   names the daemon has to restart; a new incarnation starts with an empty table.
//! - Beyond `max_answer_bytes`, answers are evicted oldest first. Such an attempt is known to have
//!   run, but a request for its answer gets "unknown".
//! - Running attempts are never evicted; admission bounds their number.
//!
//! A restart of the daemon clears the table. Resolve requests therefore carry the incarnation to
//! which the attempt was sent; see [`AttemptTable::resolve`].

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;
use protocol::call::AttemptId;
use protocol::call::ResolveRequest;

/// Size limits of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTableLimits {
    /// Maximum number of ended attempts.
    pub max_ended: usize,
    /// Maximum number of caller names.
    pub max_callers: usize,
    /// Maximum total size of the stored answers, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for AttemptTableLimits {
    fn default() -> Self {
        Self {
            max_ended: 8192,
            max_callers: 16_384,
            max_answer_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Table of attempts; `A` is the type of a stored answer.
#[derive(Debug)]
pub struct AttemptTable<A> {
    incarnation: Incarnation,
    limits: AttemptTableLimits,
    callers: FastMap<DaemonId, CallerState<A>>,
    ended: VecDeque<AttemptId>,
    answers: VecDeque<(AttemptId, usize)>,
    answer_bytes: usize,
}

/// Orders the attempts of one caller name; a later incarnation sorts after all earlier ones.
type AttemptKey = (Incarnation, u64);

#[derive(Debug)]
struct CallerState<A> {
    /// Attempts below this key that are not in `attempts` may have been evicted.
    low_watermark: AttemptKey,
    attempts: BTreeMap<AttemptKey, Entry<A>>,
}

#[derive(Debug)]
enum Entry<A> {
    Running,
    Fenced,
    Finished(A),
    /// The attempt may have run, but its answer never came or was evicted.
    NoAnswer,
}

/// Whether an attempt may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// The attempt begins now and cannot begin again.
    Run,
    /// The attempt was fenced before: not run.
    Fenced,
    /// The attempt has begun before, and this is a second copy; the outcome of the first copy is
    /// not known here.
    Duplicate,
    /// The attempt is below the low watermark of its caller: it may have run, and does not run
    /// now. Unknown.
    BelowWatermark,
    /// The table has no room for another caller: not run.
    TableFull,
}

/// What may be reported about a refused attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The attempt did not run and never will.
    NotRun,
    /// The attempt may have run.
    Unknown,
}

/// How an attempt that had begun ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion<A> {
    /// The upstream answered.
    Answered {
        /// The complete answer.
        answer: A,
        /// Size of the answer in bytes, counted against `max_answer_bytes`.
        bytes: usize,
    },
    /// The upstream reported that it did not begin the attempt, or was never reached.
    NotRun,
    /// The upstream may have run the attempt, but no answer is available.
    NoAnswer,
}

/// Outcome of an attempt, as far as the table knows it.
#[derive(Debug, PartialEq, Eq)]
pub enum Resolution<'a, A> {
    /// The attempt did not run and never will.
    Fenced,
    /// The attempt is running.
    Running,
    /// The attempt ran and has this answer.
    Finished(&'a A),
    /// The attempt may have run; no answer is available.
    Unknown,
}

impl<A> AttemptTable<A> {
    /// Creates an empty table for the daemon with the given incarnation.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: AttemptTableLimits) -> Self {
        Self {
            incarnation,
            limits,
            callers: FastMap::default(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Decides whether an attempt may be sent to the upstream; called right before it is sent.
    pub fn begin(&mut self, attempt: &AttemptId) -> Begin {
        let Some(caller) = self.caller_mut(attempt) else {
            return Begin::TableFull;
        };
        let key = key(attempt);
        match caller.attempts.get(&key) {
            Some(Entry::Fenced) => return Begin::Fenced,
            Some(_) => return Begin::Duplicate,
            None if key < caller.low_watermark => return Begin::BelowWatermark,
            None => {}
        }
        caller.attempts.insert(key, Entry::Running);
        Begin::Run
    }

    /// Fences an attempt that admission refused, so that a second copy of it cannot begin either.
    /// Returns whether the attempt may be reported as not run.
    pub fn refuse(&mut self, attempt: &AttemptId) -> Refusal {
        match self.fence(attempt) {
            FenceOutcome::Set | FenceOutcome::TableFull => Refusal::NotRun,
            FenceOutcome::BelowWatermark => Refusal::Unknown,
            FenceOutcome::Known => match self.entry_mut(attempt) {
                Some(Entry::Fenced) => Refusal::NotRun,
                _ => Refusal::Unknown,
            },
        }
    }

    /// Records how an attempt that had begun ended; ignores attempts that are not running.
    pub fn finish(&mut self, attempt: &AttemptId, completion: Completion<A>) {
        let Some(entry) = self.entry_mut(attempt) else {
            return;
        };
        if !matches!(entry, Entry::Running) {
            return;
        }
        match completion {
            Completion::NotRun => *entry = Entry::Fenced,
            Completion::NoAnswer => *entry = Entry::NoAnswer,
            Completion::Answered { answer, bytes } => {
                *entry = Entry::Finished(answer);
                self.answers.push_back((attempt.clone(), bytes));
                self.answer_bytes += bytes;
                self.evict_answers();
            }
        }
        self.record_end(attempt);
    }

    /// Returns the outcome of an attempt, and fences the attempt if it has not begun.
    ///
    /// An attempt that was sent to another incarnation of this daemon may have run there. It is
    /// fenced here as well, since it may still arrive, but its outcome is unknown.
    pub fn resolve(&mut self, request: &ResolveRequest) -> Resolution<'_, A> {
        let attempt = &request.attempt;
        let is_other_incarnation = request.incarnation != self.incarnation;
        match self.fence(attempt) {
            FenceOutcome::Set if is_other_incarnation => Resolution::Unknown,
            FenceOutcome::Set | FenceOutcome::TableFull if !is_other_incarnation => {
                Resolution::Fenced
            }
            FenceOutcome::Set | FenceOutcome::TableFull | FenceOutcome::BelowWatermark => {
                Resolution::Unknown
            }
            FenceOutcome::Known => self.resolve_known(attempt, is_other_incarnation),
        }
    }

    /// Number of ended attempts in the table, at most `max_ended`.
    #[must_use]
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Total size of the stored answers, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn resolve_known(
        &mut self,
        attempt: &AttemptId,
        is_other_incarnation: bool,
    ) -> Resolution<'_, A> {
        match self.entry_mut(attempt) {
            Some(Entry::Fenced) if !is_other_incarnation => Resolution::Fenced,
            Some(Entry::Running) => Resolution::Running,
            Some(Entry::Finished(answer)) => Resolution::Finished(answer),
            Some(Entry::Fenced | Entry::NoAnswer) | None => Resolution::Unknown,
        }
    }

    fn fence(&mut self, attempt: &AttemptId) -> FenceOutcome {
        let Some(caller) = self.caller_mut(attempt) else {
            return FenceOutcome::TableFull;
        };
        let key = key(attempt);
        if caller.attempts.contains_key(&key) {
            return FenceOutcome::Known;
        }
        if key < caller.low_watermark {
            return FenceOutcome::BelowWatermark;
        }
        caller.attempts.insert(key, Entry::Fenced);
        self.record_end(attempt);
        FenceOutcome::Set
    }

    /// Returns the state of the attempt's caller, or `None` if there is no room for a new caller.
    fn caller_mut(&mut self, attempt: &AttemptId) -> Option<&mut CallerState<A>> {
        let is_full = self.callers.len() >= self.limits.max_callers;
        if is_full && !self.callers.contains_key(&attempt.caller) {
            return None;
        }
        let caller = self
            .callers
            .entry(attempt.caller.clone())
            .or_insert_with(|| CallerState {
                low_watermark: (attempt.incarnation, 0),
                attempts: BTreeMap::new(),
            });
        caller.low_watermark = caller.low_watermark.max((attempt.incarnation, 0));
        Some(caller)
    }

    fn entry_mut(&mut self, attempt: &AttemptId) -> Option<&mut Entry<A>> {
        let caller = self.callers.get_mut(&attempt.caller)?;
        caller.attempts.get_mut(&key(attempt))
    }

    fn record_end(&mut self, attempt: &AttemptId) {
        self.ended.push_back(attempt.clone());
        while self.ended.len() > self.limits.max_ended {
            let Some(oldest) = self.ended.pop_front() else {
                return;
            };
            self.evict(&oldest);
        }
    }

    fn evict(&mut self, attempt: &AttemptId) {
        if let Some(caller) = self.callers.get_mut(&attempt.caller) {
            let key = key(attempt);
            caller.attempts.remove(&key);
            caller.low_watermark = caller.low_watermark.max((key.0, key.1 + 1));
        }
        // Both queues are in order of completion, so the answer, if there is one, is the oldest.
        if self.answers.front().is_some_and(|(id, _)| id == attempt) {
            self.pop_oldest_answer();
        }
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(attempt) = self.pop_oldest_answer() else {
                return;
            };
            if let Some(entry) = self.entry_mut(&attempt) {
                *entry = Entry::NoAnswer;
            }
        }
    }

    fn pop_oldest_answer(&mut self) -> Option<AttemptId> {
        let (attempt, bytes) = self.answers.pop_front()?;
        self.answer_bytes -= bytes;
        Some(attempt)
    }
}

enum FenceOutcome {
    Set,
    Known,
    BelowWatermark,
    TableFull,
}

fn key(attempt: &AttemptId) -> AttemptKey {
    (attempt.incarnation, attempt.sequence)
}
