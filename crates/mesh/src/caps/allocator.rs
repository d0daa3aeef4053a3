//! The buckets of the daemon that gives tokens, and the promises by which it may.

use std::time::Duration;

use base::DaemonId;
use base::FastMap;

use crate::caps::ASK_INTERVAL;
use crate::caps::Cap;
use crate::caps::CapId;
use crate::caps::CapTable;
use crate::caps::HEARD_TIME;
use crate::caps::PROMISE_TIME;
use crate::caps::message::Ask;
use crate::caps::message::Grant;
use crate::caps::message::Stamp;
use crate::caps::message::Standing;
use crate::caps::message::Want;
use crate::wake::BootTime;

/// Time between two counts of the promises, unless one may have run out.
const COUNT_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time until a token is free that is stated to a daemon.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Returns how many promises are a majority. The margin covers daemons that some do not know yet.
#[must_use]
pub fn majority(members: usize) -> usize {
    members / 2 + 1 + members / 16
}

/// What is known of a daemon that asks.
#[derive(Debug, Default)]
struct Asker {
    promised_until: BootTime,
    /// Time up to which it counts as in touch with this allocator, and since when.
    heard_until: BootTime,
    heard_since: BootTime,
}

/// Tokens of a customer.
#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    /// Value of [`Term::filled_secs`] up to which it was filled.
    filled_secs: f64,
    /// Requests that were refused and are likely to return.
    backlog: f64,
}

/// A time in which a majority has promised without a gap.
#[derive(Debug)]
struct Term {
    since: BootTime,
    /// A majority has promised at least until then.
    until: BootTime,
    /// Time for which the buckets were filled at the full rates.
    filled_secs: f64,
    filled_at: BootTime,
    /// Part of the full rates at which they fill.
    part: f64,
    buckets: FastMap<CapId, Bucket>,
}

/// Gives tokens while a majority of the daemons has promised.
#[derive(Debug)]
pub struct Allocator {
    life: u64,
    is_resigned: bool,
    askers: FastMap<DaemonId, Asker>,
    term: Option<Term>,
    /// Most daemons that this one or an asker has known.
    members: usize,
    counted_at: BootTime,
}

impl Allocator {
    /// State of a process that nobody has asked.
    #[must_use]
    pub fn new(life: u64) -> Self {
        Self {
            life,
            is_resigned: false,
            askers: FastMap::default(),
            term: None,
            members: 0,
            counted_at: BootTime::ZERO,
        }
    }

    /// Whether it may give tokens now.
    #[must_use]
    pub fn leads(&self, now: BootTime) -> bool {
        self.term.as_ref().is_some_and(|term| now < term.until)
    }

    /// Returns the stamp of an answer.
    #[must_use]
    pub fn stamp(&self, now: BootTime) -> Stamp {
        Stamp {
            life: self.life,
            at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Gives no more tokens.
    pub fn resign(&mut self) {
        self.is_resigned = true;
        self.term = None;
    }

    /// Fills the buckets by the caps until now; from now on by others.
    pub fn set_caps(&mut self, before: &CapTable, after: &CapTable, now: BootTime) {
        if self.term.is_some() {
            self.count(now);
        }
        let Some(term) = &mut self.term else { return };
        for (id, bucket) in &mut term.buckets {
            if let Some(cap) = before.get(id) {
                bucket.fill(cap, term.filled_secs);
            }
            if let Some(cap) = after.get(id) {
                bucket.fill(cap, term.filled_secs);
            }
        }
        term.buckets.retain(|id, _| after.contains_key(id));
    }

    /// Answers an ask; `members` is the number of daemons that this daemon knows.
    pub fn answer(
        &mut self,
        ask: &Ask,
        caps: &CapTable,
        members: usize,
        now: BootTime,
    ) -> Standing {
        if self.is_resigned {
            return Standing::Resigned(None);
        }
        self.end_lapsed_term(now);
        self.record_ask(ask, members, now);
        if caps.is_empty() || !self.is_term(now) {
            return Standing::Follows(None);
        }
        let Some(term) = &mut self.term else {
            return Standing::Follows(None);
        };
        // Tokens that fill after the last count belong to the time of this ask, not of the next count.
        term.fill(now);
        let grants = ask.wants.iter().map(|want| term.grant(want, caps));
        Standing::Leads(grants.collect())
    }

    fn record_ask(&mut self, ask: &Ask, members: usize, now: BootTime) {
        let claimed = usize::try_from(ask.members).unwrap_or(usize::MAX);
        if claimed.max(members) > self.members {
            self.members = claimed.max(members);
            self.counted_at = BootTime::ZERO;
        }
        let echoed_at = ask
            .echo
            .filter(|echo| echo.life == self.life)
            .map(|echo| Duration::from_millis(echo.at_ms))
            .filter(|at| *at <= now);
        let Some(at) = echoed_at else { return };
        let asker = self.askers.entry(ask.from.clone()).or_default();
        if ask.promises {
            asker.promised_until = asker.promised_until.max(at + PROMISE_TIME);
        }
        let is_of_term = self.term.as_ref().is_some_and(|term| at >= term.since);
        if is_of_term && at + HEARD_TIME > now {
            if asker.heard_until <= now {
                asker.heard_since = now;
            }
            asker.heard_until = asker.heard_until.max(at + HEARD_TIME);
        }
    }

    fn end_lapsed_term(&mut self, now: BootTime) {
        if self.term.as_ref().is_some_and(|term| now >= term.until) {
            // Promises that have come since the last count may still last.
            self.count(now);
        }
    }

    /// Whether a majority has promised; a new term begins with empty buckets.
    fn is_term(&mut self, now: BootTime) -> bool {
        if self.term.is_none() || now >= self.counted_at + COUNT_INTERVAL {
            self.count(now);
        }
        self.term.is_some()
    }

    /// Counts the promises, and fills the buckets.
    fn count(&mut self, now: BootTime) {
        self.counted_at = now;
        self.askers
            .retain(|_, asker| asker.promised_until > now || asker.heard_until > now);
        let mut until: Vec<BootTime> = self
            .askers
            .values()
            .map(|asker| asker.promised_until)
            .filter(|until| *until > now)
            .collect();
        let needed = majority(self.members);
        if until.len() < needed {
            self.term = None;
            return;
        }
        until.sort_unstable_by(|a, b| b.cmp(a));
        let lasts_until = until[needed - 1];
        match &mut self.term {
            Some(term) => {
                let heard = self.askers.values().filter(|asker| {
                    asker.heard_until >= now && asker.heard_since <= term.filled_at
                });
                term.part = ratio(heard.count(), self.members);
                term.until = lasts_until;
                term.fill(now);
            }
            None => self.term = Some(Term::new(now, lasts_until)),
        }
    }
}

impl Term {
    fn new(now: BootTime, until: BootTime) -> Self {
        Self {
            since: now,
            until,
            filled_secs: 0.0,
            filled_at: now,
            part: 0.0,
            buckets: FastMap::default(),
        }
    }

    fn fill(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.filled_at).min(ASK_INTERVAL);
        self.filled_secs += elapsed.as_secs_f64() * self.part;
        self.filled_at = now;
    }

    fn grant(&mut self, want: &Want, caps: &CapTable) -> Grant {
        let Some(cap) = caps.get(&want.id) else {
            // This daemon has an older configuration than the asker.
            return Grant::default();
        };
        let bucket = self.buckets.entry(want.id).or_default();
        bucket.fill(cap, self.filled_secs);
        bucket.grant(want, cap, self.part)
    }
}

impl Bucket {
    fn fill(&mut self, cap: &Cap, filled_secs: f64) {
        let gained = (filled_secs - self.filled_secs) * cap.rate.per_sec();
        self.filled_secs = filled_secs;
        self.tokens = (self.tokens + gained).min(cap.capacity());
        self.backlog = (self.backlog - gained).max(0.0);
    }

    /// Gives tokens for requests that wait, and for expected ones while more than half of the bucket
    /// is left, since tokens for those may run out unused.
    fn grant(&mut self, want: &Want, cap: &Cap, part: f64) -> Grant {
        let firm = whole(self.tokens).min(want.firm);
        let spare = whole(self.tokens - f64::from(firm) - cap.capacity() / 2.0);
        let tokens = firm.saturating_add(spare.min(want.expected));
        self.tokens -= f64::from(tokens);
        let unmet = want.firm - firm;
        if unmet == 0 {
            return Grant { tokens, wait_ms: 0 };
        }
        let missing = (1.0 - self.tokens).max(0.0) + self.backlog;
        self.backlog += f64::from(unmet);
        let rate = cap.rate.per_sec() * part.max(0.1);
        let until_free = Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_WAIT);
        let wait_ms = u16::try_from(until_free.min(MAX_WAIT).as_millis()).unwrap_or(u16::MAX);
        Grant {
            tokens,
            wait_ms: wait_ms.max(1),
        }
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let as_f64 = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    (as_f64(part) / as_f64(whole.max(1))).min(1.0)
}

/// Returns the whole tokens.
fn whole(tokens: f64) -> u16 {
    // The cast saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = tokens as u16;
    whole
}
