//! Tokens that a daemon holds, requests that wait for one, and what it asks for.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use base::FastMap;

use crate::caps::ASK_AGAIN_TIME;
use crate::caps::ASK_INTERVAL;
use crate::caps::CapId;
use crate::caps::TOKEN_VALIDITY;
use crate::caps::message::Grant;
use crate::caps::message::MAX_WANTS;
use crate::caps::message::Seq;
use crate::caps::message::Want;
use crate::wake::BootTime;

/// Identifies a request that waits.
pub type WaiterId = u64;

/// Span over which the rate of a customer's requests is averaged.
const RATE_SPAN: Duration = Duration::from_millis(500);

/// Time between two asks for the expected requests of a customer.
const EXPECT_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which requests of a customer are refused without an ask after the allocator had no token.
const MIN_PAUSE: Duration = Duration::from_millis(10);
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// Time after which a customer without requests is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// The right to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    pub(crate) id: CapId,
    /// When it runs out; `None` if it comes from the daemon's own part.
    pub(crate) expires: Option<BootTime>,
}

impl Token {
    pub(crate) fn local(id: CapId) -> Self {
        Self { id, expires: None }
    }

    /// A request of a customer without a cap.
    pub(crate) fn unlimited(id: CapId) -> Self {
        Self {
            id,
            expires: Some(BootTime::ZERO),
        }
    }
}

/// Decision on a request for which no token is held.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// It waits for an answer.
    Waits(WaiterId),
    /// The allocator had no token a moment ago; one may be free after this time.
    OverCap(Duration),
}

/// Decision on a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Granted(Token),
    /// The allocator has no token; one may be free after this time.
    OverCap(Duration),
    /// The allocator does not know the customer yet.
    NoAllocator,
}

#[derive(Debug)]
struct Waiter {
    id: WaiterId,
    asked: Option<(Seq, BootTime)>,
}

#[derive(Debug)]
struct Lot {
    tokens: u16,
    expires: BootTime,
}

/// State of a customer with recent requests.
#[derive(Debug)]
struct Demand {
    /// Tokens, the first to expire first.
    lots: VecDeque<Lot>,
    waiters: VecDeque<Waiter>,
    /// Requests a second, and when it was last updated.
    rate: f64,
    updated_at: BootTime,
    /// Requests refused since the last ask.
    refused: u16,
    paused_until: BootTime,
    /// When a token may be free.
    free_at: BootTime,
    expected_at: BootTime,
}

#[derive(Debug)]
struct SentAsk {
    seq: Seq,
    at: BootTime,
    wants: Vec<Want>,
}

/// Tokens, waiting requests and unanswered asks of one daemon.
#[derive(Debug, Default)]
pub struct Holder {
    demands: FastMap<CapId, Demand>,
    next_waiter: WaiterId,
    seq: Seq,
    sent: Vec<SentAsk>,
    next_round: BootTime,
    unasked: usize,
}

impl Demand {
    fn new(now: BootTime) -> Self {
        Self {
            lots: VecDeque::new(),
            waiters: VecDeque::new(),
            rate: 0.0,
            updated_at: now,
            refused: 0,
            paused_until: BootTime::ZERO,
            free_at: BootTime::ZERO,
            expected_at: BootTime::ZERO,
        }
    }

    /// Records that time has passed and, with 1, that a request came.
    fn record(&mut self, requests: f64, now: BootTime) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let span = RATE_SPAN.as_secs_f64();
        self.rate = self.rate * (-elapsed / span).exp() + requests / span;
        self.updated_at = now;
    }

    fn take(&mut self, now: BootTime) -> Option<BootTime> {
        while self
            .lots
            .front()
            .is_some_and(|lot| lot.expires <= now || lot.tokens == 0)
        {
            self.lots.pop_front();
        }
        let lot = self.lots.front_mut()?;
        lot.tokens -= 1;
        Some(lot.expires)
    }

    /// Returns what to ask for now.
    fn want(&self, id: CapId, now: BootTime) -> Want {
        let waiting = self.waiters.iter().filter(|waiter| waiter.asked.is_none());
        let waiting = u16::try_from(waiting.count()).unwrap_or(u16::MAX);
        if now < self.paused_until {
            return Want {
                id,
                firm: waiting,
                expected: 0,
            };
        }
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let rate = self.rate * (-elapsed / RATE_SPAN.as_secs_f64()).exp();
        // The cast rounds down and saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let requests_in = |span: Duration| (rate * span.as_secs_f64()) as u16;
        let expected = requests_in(ASK_INTERVAL);
        // As many others are likely to come while the tokens are valid.
        let likely = self.refused.min(requests_in(TOKEN_VALIDITY / 2));
        let is_expected_due = now >= self.expected_at + EXPECT_INTERVAL;
        Want {
            id,
            firm: waiting.saturating_add(likely),
            expected: if is_expected_due { expected } else { 0 },
        }
    }
}

impl Holder {
    /// Takes a held token for a request that comes now.
    pub fn take(&mut self, id: CapId, now: BootTime) -> Option<Token> {
        let demand = self.demands.entry(id).or_insert_with(|| Demand::new(now));
        demand.record(1.0, now);
        let expires = demand.take(now)?;
        Some(Token {
            id,
            expires: Some(expires),
        })
    }

    /// Lets a request wait that found no token in [`Self::take`].
    pub fn wait(&mut self, id: CapId, now: BootTime) -> Decision {
        let demand = self.demands.entry(id).or_insert_with(|| Demand::new(now));
        if now < demand.paused_until {
            demand.refused = demand.refused.saturating_add(1);
            return Decision::OverCap(demand.free_at.saturating_sub(now));
        }
        self.next_waiter += 1;
        self.unasked += 1;
        demand.waiters.push_back(Waiter {
            id: self.next_waiter,
            asked: None,
        });
        Decision::Waits(self.next_waiter)
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, id: CapId, waiter: WaiterId) {
        if let Some(demand) = self.demands.get_mut(&id) {
            demand.waiters.retain(|known| known.id != waiter);
        }
    }

    /// Takes a token back that was not used.
    pub fn give_back(&mut self, token: &Token, now: BootTime) {
        let Some(expires) = token.expires.filter(|expires| *expires > now) else {
            return;
        };
        if let Some(demand) = self.demands.get_mut(&token.id) {
            demand.lots.push_front(Lot { tokens: 1, expires });
        }
    }

    /// Whether a request waits that no ask covers, or the next regular ask is due.
    pub fn is_ask_due(&mut self, now: BootTime) -> bool {
        self.forget_lost_asks(now);
        self.unasked > 0 || now >= self.next_round
    }

    /// Lets the requests of asks without an answer be asked for again.
    fn forget_lost_asks(&mut self, now: BootTime) {
        let is_lost = |ask: &SentAsk| now >= ask.at + ASK_AGAIN_TIME;
        if !self.sent.iter().any(is_lost) {
            return;
        }
        for demand in self.demands.values_mut() {
            for waiter in &mut demand.waiters {
                if waiter
                    .asked
                    .is_some_and(|(_, at)| now >= at + ASK_AGAIN_TIME)
                {
                    waiter.asked = None;
                    self.unasked += 1;
                }
            }
        }
        self.sent.retain(|ask| now < ask.at + TOKEN_VALIDITY);
    }

    /// Makes the next ask due at once.
    pub fn hurry(&mut self) {
        self.next_round = BootTime::ZERO;
    }

    /// Returns when the next regular ask is due.
    #[must_use]
    pub fn next_round(&self) -> BootTime {
        self.next_round
    }

    /// Numbers an ask that is sent now, and returns what it asks for: the most first.
    pub fn start_ask(&mut self, now: BootTime) -> (Seq, Vec<Want>) {
        if now >= self.next_round {
            self.forget_idle(now);
        }
        self.next_round = now + ASK_INTERVAL;
        self.seq = self.seq.wrapping_add(1);
        let mut wants: Vec<Want> = self
            .demands
            .iter()
            .map(|(id, demand)| demand.want(*id, now))
            .filter(|want| want.firm > 0 || want.expected > 0)
            .collect();
        wants.sort_unstable_by_key(|want| Reverse((want.firm, want.expected)));
        let has_more = wants.len() > MAX_WANTS;
        wants.truncate(MAX_WANTS);
        for want in &wants {
            self.mark_asked(want, now);
        }
        if !has_more {
            self.unasked = 0;
        }
        self.sent.push(SentAsk {
            seq: self.seq,
            at: now,
            wants: wants.clone(),
        });
        (self.seq, wants)
    }

    fn mark_asked(&mut self, want: &Want, now: BootTime) {
        let Some(demand) = self.demands.get_mut(&want.id) else {
            return;
        };
        if now >= demand.paused_until {
            demand.refused = 0;
        }
        if want.expected > 0 {
            demand.expected_at = now;
        }
        for waiter in &mut demand.waiters {
            waiter.asked.get_or_insert((self.seq, now));
        }
    }

    fn forget_idle(&mut self, now: BootTime) {
        self.demands
            .retain(|_, demand| !demand.waiters.is_empty() || now < demand.updated_at + IDLE_TIME);
    }

    /// Records the grants for the wants of an ask, in order. Returns the requests that they decide.
    pub fn record_grants(
        &mut self,
        seq: Seq,
        grants: &[Grant],
        now: BootTime,
    ) -> Vec<(WaiterId, Verdict)> {
        let Some(index) = self.sent.iter().position(|ask| ask.seq == seq) else {
            return Vec::new();
        };
        let ask = self.sent.swap_remove(index);
        let mut verdicts = Vec::new();
        for (want, grant) in ask.wants.iter().zip(grants) {
            let Some(demand) = self.demands.get_mut(&want.id) else {
                continue;
            };
            demand.lots.push_back(Lot {
                tokens: grant.tokens,
                expires: ask.at + TOKEN_VALIDITY,
            });
            demand.serve_waiters(want.id, now, &mut verdicts);
            if grant.tokens < want.firm {
                demand.refuse_waiters(seq, *grant, now, &mut verdicts);
            }
            for waiter in &mut demand.waiters {
                if waiter.asked.is_some_and(|(asked, _)| asked == seq) {
                    // Its token went to a request whose own ask was lost.
                    waiter.asked = None;
                    self.unasked += 1;
                }
            }
        }
        verdicts
    }
}

impl Demand {
    fn serve_waiters(&mut self, id: CapId, now: BootTime, verdicts: &mut Vec<(WaiterId, Verdict)>) {
        while !self.waiters.is_empty() {
            let Some(expires) = self.take(now) else {
                return;
            };
            if let Some(waiter) = self.waiters.pop_front() {
                let expires = Some(expires);
                verdicts.push((waiter.id, Verdict::Granted(Token { id, expires })));
            }
        }
    }

    /// Refuses the requests of an ask that got fewer tokens than it needs.
    fn refuse_waiters(
        &mut self,
        seq: Seq,
        grant: Grant,
        now: BootTime,
        verdicts: &mut Vec<(WaiterId, Verdict)>,
    ) {
        let wait = Duration::from_millis(u64::from(grant.wait_ms));
        self.paused_until = now + wait.clamp(MIN_PAUSE, MAX_PAUSE);
        self.free_at = now + wait;
        self.waiters.retain(|waiter| {
            let is_covered = waiter.asked.is_some_and(|(asked, _)| asked == seq);
            if is_covered {
                let verdict = match grant.wait_ms {
                    0 => Verdict::NoAllocator,
                    _ => Verdict::OverCap(wait),
                };
                verdicts.push((waiter.id, verdict));
            }
            !is_covered
        });
    }
}
