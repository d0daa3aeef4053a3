//! The candidate that a daemon asks for tokens, and its promises to candidates.

use std::time::Duration;

use base::DaemonId;
use base::FastMap;

use crate::caps::PROMISE_TIME;
use crate::caps::TOUCH_TIME;
use crate::caps::message::Answer;
use crate::caps::message::Seq;
use crate::caps::message::Stamp;
use crate::caps::message::Standing;
use crate::wake::BootTime;

/// Time without an answer after which asks promise nothing more, so that the promise runs out soon
/// if the candidate has failed.
const DOUBT_TIME: Duration = Duration::from_millis(150);

/// Time without an answer after which another candidate is asked.
const SILENT_TIME: Duration = Duration::from_millis(400);

/// Time for which a candidate that was silent is not asked.
const AVOID_SILENT: Duration = Duration::from_secs(5);

/// Time after which another candidate is asked if none leads, and for which this one is not.
const NO_TERM_TIME: Duration = Duration::from_secs(2);
const AVOID_NO_TERM: Duration = Duration::from_secs(3);

/// Asks of which the receiver is remembered.
const MAX_SENT: usize = 64;

/// How the next ask goes out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pledge {
    /// Receiver.
    pub to: DaemonId,
    /// Whether the ask promises.
    pub promises: bool,
    /// Latest stamp of the receiver.
    pub echo: Option<Stamp>,
}

/// What an answer changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The next ask is due at once: it goes to another candidate, or carries a stamp that counts.
    AskNow,
    /// Nothing of that kind.
    Nothing,
}

/// The latest promise.
#[derive(Debug)]
struct Promise {
    to: DaemonId,
    /// Process whose stamp went with it.
    life: u64,
    until: BootTime,
}

#[derive(Debug)]
struct Target {
    daemon: DaemonId,
    /// Time of the first ask since its last answer.
    unanswered_since: Option<BootTime>,
    /// Since when it is asked and does not lead.
    no_term_since: BootTime,
    stamp: Option<Stamp>,
}

#[derive(Debug)]
struct Leader {
    daemon: DaemonId,
    answered_at: BootTime,
    /// Whether its latest answer says so.
    leads: bool,
}

/// Chooses the candidate to ask.
#[derive(Debug)]
pub struct Ballot {
    started: BootTime,
    target: Option<Target>,
    promised: Option<Promise>,
    avoided: FastMap<DaemonId, BootTime>,
    /// Allocator that answered last.
    leader: Option<Leader>,
    /// Allocator that another candidate named.
    hint: Option<DaemonId>,
    /// Receivers of the latest asks.
    sent: Vec<(Seq, DaemonId)>,
    /// Time without an allocator, up to the last answer of one.
    out_of_touch: Duration,
}

impl Ballot {
    /// State of a process that has just started: it promises nothing until an earlier process's
    /// promise has run out.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            started: now,
            target: None,
            promised: None,
            avoided: FastMap::default(),
            leader: None,
            hint: None,
            sent: Vec::new(),
            out_of_touch: Duration::ZERO,
        }
    }

    /// Returns the allocator that answered within [`TOUCH_TIME`].
    #[must_use]
    pub fn leader(&self, now: BootTime) -> Option<&DaemonId> {
        self.leader
            .as_ref()
            .filter(|leader| leader.leads && now < leader.answered_at + TOUCH_TIME)
            .map(|leader| &leader.daemon)
    }

    /// Returns for how long in all this daemon has used its own part of the caps; `None` while it may
    /// not.
    #[must_use]
    pub fn time_out_of_touch(&self, now: BootTime) -> Option<Duration> {
        let begin = self.out_of_touch_from();
        let time = now.checked_sub(begin)?;
        Some(self.out_of_touch + time)
    }

    fn out_of_touch_from(&self) -> BootTime {
        let answered_at = self.leader.as_ref().map(|leader| leader.answered_at);
        answered_at.unwrap_or(self.started) + TOUCH_TIME
    }

    /// Returns how the next ask goes out; `None` without a candidate.
    pub fn pledge(
        &mut self,
        own: &DaemonId,
        candidates: &[DaemonId],
        now: BootTime,
    ) -> Option<Pledge> {
        self.avoid_failed(own, now);
        self.choose(candidates, now);
        let target = self.target.as_ref()?;
        let in_doubt = target
            .unanswered_since
            .is_some_and(|since| now >= since + DOUBT_TIME);
        let is_free = self
            .promised
            .as_ref()
            .is_none_or(|promise| promise.to == target.daemon || now >= promise.until);
        // A candidate counts a promise only with its stamp.
        let echo = target.stamp;
        let may_promise = !in_doubt && is_free && now >= self.started + PROMISE_TIME;
        let promise = echo.filter(|_| may_promise).map(|echo| Promise {
            to: target.daemon.clone(),
            life: echo.life,
            until: now + PROMISE_TIME,
        });
        let promises = promise.is_some();
        if promises {
            self.promised = promise;
        }
        Some(Pledge {
            to: target.daemon.clone(),
            promises,
            echo,
        })
    }

    fn avoid_failed(&mut self, own: &DaemonId, now: BootTime) {
        let Some(target) = &self.target else { return };
        let is_silent = target
            .unanswered_since
            .is_some_and(|since| now >= since + SILENT_TIME);
        let leads = self.leader(now) == Some(&target.daemon);
        let lacks_term = !leads && now >= target.no_term_since + NO_TERM_TIME;
        let time = if is_silent && target.daemon != *own {
            AVOID_SILENT
        } else if lacks_term {
            AVOID_NO_TERM
        } else {
            return;
        };
        self.avoid(now + time);
    }

    fn avoid(&mut self, until: BootTime) {
        if let Some(target) = self.target.take() {
            if self.hint.as_ref() == Some(&target.daemon) {
                self.hint = None;
            }
            self.avoided.insert(target.daemon, until);
        }
    }

    /// Keeps to a candidate that leads; goes to the one that another named, or to the first.
    fn choose(&mut self, candidates: &[DaemonId], now: BootTime) {
        self.avoided.retain(|_, until| *until > now);
        let current = self.target.as_ref().map(|target| &target.daemon);
        if current.is_some() && current == self.leader(now) {
            return;
        }
        let is_open = |daemon: &&DaemonId| !self.avoided.contains_key(*daemon);
        let hint = self
            .hint
            .as_ref()
            .filter(|hint| candidates.contains(hint))
            .filter(is_open);
        let chosen = hint
            .or_else(|| candidates.iter().find(is_open))
            .or_else(|| {
                candidates
                    .iter()
                    .min_by_key(|daemon| self.avoided.get(*daemon))
            });
        if chosen == current {
            return;
        }
        self.target = chosen.map(|daemon| Target {
            daemon: daemon.clone(),
            unanswered_since: None,
            no_term_since: now,
            stamp: None,
        });
    }

    /// Records that an ask was sent.
    pub fn record_ask(&mut self, to: &DaemonId, seq: Seq, now: BootTime) {
        if self.sent.len() == MAX_SENT {
            self.sent.remove(0);
        }
        self.sent.push((seq, to.clone()));
        if let Some(target) = &mut self.target {
            target.unanswered_since.get_or_insert(now);
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self, answer: &Answer, now: BootTime) -> Effect {
        let Some(index) = self.sent.iter().position(|(seq, _)| *seq == answer.seq) else {
            return Effect::Nothing;
        };
        let (_, from) = self.sent.remove(index);
        let is_first = self.record_stamp(&from, answer.stamp);
        match &answer.standing {
            Standing::Leads(_) => return self.record_leader(from, now),
            Standing::Follows(leader) => self.record_no_term(&from, leader.as_ref(), now),
            Standing::Resigned(leader) => {
                self.record_no_term(&from, leader.as_ref(), now);
                return self.record_resignation(&from, answer.stamp.life, now);
            }
        }
        if is_first {
            Effect::AskNow
        } else {
            Effect::Nothing
        }
    }

    /// Returns whether it is the first stamp of the candidate that is asked.
    fn record_stamp(&mut self, from: &DaemonId, stamp: Stamp) -> bool {
        let target = self.target.as_mut();
        let Some(target) = target.filter(|target| target.daemon == *from) else {
            return false;
        };
        target.unanswered_since = None;
        let known = target.stamp.filter(|known| known.life == stamp.life);
        if known.is_none_or(|known| known.at_ms < stamp.at_ms) {
            target.stamp = Some(stamp);
        }
        known.is_none()
    }

    fn record_leader(&mut self, from: DaemonId, now: BootTime) -> Effect {
        // The allocator fills by this daemon's part from the next ask on.
        let effect = if self.leader(now) == Some(&from) {
            Effect::Nothing
        } else {
            Effect::AskNow
        };
        if let Some(time) = self.time_out_of_touch(now) {
            self.out_of_touch = time;
        }
        if let Some(target) = &mut self.target {
            target.no_term_since = now;
        }
        self.hint = None;
        self.leader = Some(Leader {
            daemon: from,
            answered_at: now,
            leads: true,
        });
        effect
    }

    /// Records that a daemon does not lead. The time since the last answer of an allocator goes on.
    fn record_no_term(&mut self, from: &DaemonId, named: Option<&DaemonId>, now: BootTime) {
        if let Some(leader) = self.leader.as_mut().filter(|known| known.daemon == *from) {
            leader.leads = false;
            if let Some(target) = self.target.as_mut().filter(|target| target.daemon == *from) {
                target.no_term_since = now;
            }
        }
        if self.hint.as_ref() == Some(from) {
            self.hint = None;
        }
        if let Some(named) = named.filter(|named| *named != from) {
            self.hint = Some(named.clone());
        }
    }

    /// Ends the promise to a process that will never give tokens again.
    pub fn record_resignation(&mut self, from: &DaemonId, life: u64, now: BootTime) -> Effect {
        let is_of_process = |promise: &Promise| promise.to == *from && promise.life == life;
        if self.promised.as_ref().is_some_and(is_of_process) {
            self.promised = None;
        }
        let is_asked = self.target.as_ref().is_some_and(|target| {
            target.daemon == *from && target.stamp.is_none_or(|stamp| stamp.life == life)
        });
        if !is_asked {
            return Effect::Nothing;
        }
        if let Some(leader) = self.leader.as_mut().filter(|known| known.daemon == *from) {
            leader.leads = false;
        }
        self.avoid(now + AVOID_SILENT);
        Effect::AskNow
    }
}
