//! The upstream side's memory of attempts.
//!
//! Each attempt is fenced before it begins or begins once; never both. That holds for idempotent
//! calls too, so that "not run" is true of every call; only their answers are not kept, since
//! nobody asks for them. Memory is bounded:
//!
//! - Finished and fenced attempts are forgotten oldest first beyond `max_ended`. The caller's
//!   floor then rises above the forgotten attempt. An attempt below the floor that is not in
//!   memory neither runs nor is called "not run": it may have run. The cost is an attempt that
//!   was overtaken by more than `max_ended` others; it ends as unknown without having run.
//! - Only the highest incarnation of a caller begins new attempts. A restarted caller has a
//!   higher one, so one floor per caller name is enough.
//! - Callers beyond `max_callers` names are refused as not run. That is true, and stays true,
//!   since a name that found no room never finds any later. The daemon has to be restarted to
//!   serve more names; a new incarnation starts with an empty memory.
//! - Answers are dropped oldest first beyond `max_answer_bytes`. The attempt is then known to
//!   have run, and who asks for the answer is told "unknown".
//! - Running attempts are never forgotten; admission bounds their number.
//!
//! A daemon that restarts has lost its memory. Callers send the incarnation that an attempt went
//! to with their question; see [`AttemptTable::resolve`].

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::DaemonId;
use base::FastMap;
use base::Incarnation;
use protocol::call::AttemptId;
use protocol::call::ResolveRequest;

/// Bounds of the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTableLimits {
    /// Ended attempts that are remembered.
    pub max_ended: usize,
    /// Names of callers that are remembered.
    pub max_callers: usize,
    /// Bytes of answers that are kept.
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

/// Memory of attempts; `A` is an answer that can be handed over.
#[derive(Debug)]
pub struct AttemptTable<A> {
    incarnation: Incarnation,
    limits: AttemptTableLimits,
    callers: FastMap<DaemonId, Caller<A>>,
    ended: VecDeque<AttemptId>,
    answers: VecDeque<(AttemptId, usize)>,
    answer_bytes: usize,
}

/// Orders the attempts of one caller name: a later incarnation is above all earlier ones.
type AttemptKey = (Incarnation, u64);

#[derive(Debug)]
struct Caller<A> {
    /// Attempts below it that are not in `attempts` are forgotten.
    floor: AttemptKey,
    attempts: BTreeMap<AttemptKey, Entry<A>>,
}

#[derive(Debug)]
enum Entry<A> {
    Running,
    Fenced,
    Finished(A),
    /// It ran, but its answer was not kept or never came.
    NoAnswer,
}

/// Whether an attempt may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// It begins now, and never again.
    Run,
    /// It was fenced before: not run.
    Fenced,
    /// It has begun before; this is a second copy. Nothing is said about the first.
    Duplicate,
    /// It may have been here before; it does not run now. Unknown.
    Evicted,
    /// There is no room for another caller: not run.
    TableFull,
}

/// What may be said of an attempt that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// How an attempt ended that had begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion<A> {
    /// The upstream answered; `bytes` is the memory that the answer takes.
    Answered {
        /// The whole answer.
        answer: A,
        /// Its size in bytes.
        bytes: usize,
    },
    /// The upstream said that it did not begin, or was never reached.
    NotRun,
    /// The upstream may have run it, but there is no answer to hand over.
    NoAnswer,
}

/// What became of an attempt.
#[derive(Debug, PartialEq, Eq)]
pub enum Resolution<'a, A> {
    /// It did not run and never will.
    Fenced,
    /// It runs; its end is not known yet.
    Running,
    /// It ran; here is the answer.
    Finished(&'a A),
    /// It may have run; there is no answer to hand over.
    Unknown,
}

impl<A> AttemptTable<A> {
    /// An empty memory of the daemon with the given incarnation.
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

    /// Asks, right before an attempt is sent to the upstream, whether it may be.
    pub fn begin(&mut self, attempt: &AttemptId) -> Begin {
        let Some(caller) = self.caller(attempt) else {
            return Begin::TableFull;
        };
        let key = key(attempt);
        match caller.attempts.get(&key) {
            Some(Entry::Fenced) => return Begin::Fenced,
            Some(_) => return Begin::Duplicate,
            None if key < caller.floor => return Begin::Evicted,
            None => {}
        }
        caller.attempts.insert(key, Entry::Running);
        Begin::Run
    }

    /// Asks whether an attempt that found no room may be called "not run", and sees to it that
    /// a second copy of it finds none either.
    pub fn refuse(&mut self, attempt: &AttemptId) -> Refusal {
        match self.fence(attempt) {
            Fence::Set | Fence::TableFull => Refusal::NotRun,
            Fence::Evicted => Refusal::Unknown,
            Fence::Known => match self.entry(attempt) {
                Some(Entry::Fenced) => Refusal::NotRun,
                _ => Refusal::Unknown,
            },
        }
    }

    /// Notes the end of an attempt that had begun.
    pub fn finish(&mut self, attempt: &AttemptId, ending: Completion<A>) {
        let Some(entry) = self.entry(attempt) else {
            return;
        };
        if !matches!(entry, Entry::Running) {
            return;
        }
        match ending {
            Completion::NotRun => *entry = Entry::Fenced,
            Completion::NoAnswer => *entry = Entry::NoAnswer,
            Completion::Answered { answer, bytes } => {
                *entry = Entry::Finished(answer);
                self.answers.push_back((attempt.clone(), bytes));
                self.answer_bytes += bytes;
                self.drop_answers();
            }
        }
        self.note_end(attempt);
    }

    /// Says what became of an attempt, and fences it if it has not begun.
    ///
    /// An attempt that was sent to an earlier incarnation of this daemon may have run there. It
    /// is fenced here as well, since it may still arrive, but its end is unknown.
    pub fn resolve(&mut self, question: &ResolveRequest) -> Resolution<'_, A> {
        let attempt = &question.attempt;
        let is_earlier = question.incarnation != self.incarnation;
        match self.fence(attempt) {
            Fence::Set if is_earlier => Resolution::Unknown,
            Fence::Set | Fence::TableFull if !is_earlier => Resolution::Fenced,
            Fence::Set | Fence::TableFull | Fence::Evicted => Resolution::Unknown,
            Fence::Known => self.known(attempt, is_earlier),
        }
    }

    /// Number of ended attempts in memory.
    #[must_use]
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Bytes of the answers in memory.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn known(&mut self, attempt: &AttemptId, is_earlier: bool) -> Resolution<'_, A> {
        match self.entry(attempt) {
            Some(Entry::Fenced) if !is_earlier => Resolution::Fenced,
            Some(Entry::Running) => Resolution::Running,
            Some(Entry::Finished(answer)) => Resolution::Finished(answer),
            Some(Entry::Fenced | Entry::NoAnswer) | None => Resolution::Unknown,
        }
    }

    fn fence(&mut self, attempt: &AttemptId) -> Fence {
        let Some(caller) = self.caller(attempt) else {
            return Fence::TableFull;
        };
        let key = key(attempt);
        if caller.attempts.contains_key(&key) {
            return Fence::Known;
        }
        if key < caller.floor {
            return Fence::Evicted;
        }
        caller.attempts.insert(key, Entry::Fenced);
        self.note_end(attempt);
        Fence::Set
    }

    /// Memory of the attempt's caller; `None` when there is no room for a new one.
    fn caller(&mut self, attempt: &AttemptId) -> Option<&mut Caller<A>> {
        let is_full = self.callers.len() >= self.limits.max_callers;
        if is_full && !self.callers.contains_key(&attempt.caller) {
            return None;
        }
        let caller = self
            .callers
            .entry(attempt.caller.clone())
            .or_insert_with(|| Caller {
                floor: (attempt.incarnation, 0),
                attempts: BTreeMap::new(),
            });
        caller.floor = caller.floor.max((attempt.incarnation, 0));
        Some(caller)
    }

    fn entry(&mut self, attempt: &AttemptId) -> Option<&mut Entry<A>> {
        let caller = self.callers.get_mut(&attempt.caller)?;
        caller.attempts.get_mut(&key(attempt))
    }

    fn note_end(&mut self, attempt: &AttemptId) {
        self.ended.push_back(attempt.clone());
        while self.ended.len() > self.limits.max_ended {
            let Some(oldest) = self.ended.pop_front() else {
                return;
            };
            self.forget(&oldest);
        }
    }

    fn forget(&mut self, attempt: &AttemptId) {
        if let Some(caller) = self.callers.get_mut(&attempt.caller) {
            let key = key(attempt);
            caller.attempts.remove(&key);
            caller.floor = caller.floor.max((key.0, key.1 + 1));
        }
        // Its answer, if any, is the oldest one: both queues are in the order of the ends.
        if self.answers.front().is_some_and(|(id, _)| id == attempt) {
            self.pop_answer();
        }
    }

    fn drop_answers(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(attempt) = self.pop_answer() else {
                return;
            };
            if let Some(entry) = self.entry(&attempt) {
                *entry = Entry::NoAnswer;
            }
        }
    }

    fn pop_answer(&mut self) -> Option<AttemptId> {
        let (attempt, bytes) = self.answers.pop_front()?;
        self.answer_bytes -= bytes;
        Some(attempt)
    }
}

enum Fence {
    Set,
    Known,
    Evicted,
    TableFull,
}

fn key(attempt: &AttemptId) -> AttemptKey {
    (attempt.incarnation, attempt.sequence)
}
