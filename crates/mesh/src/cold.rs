//! Warmth of the instance beside this daemon, which decides on the rate of requests that it gets.
//!
//! Handles an instance that starts, or becomes cold at any moment, alone or with all others of its zone,
//! while the rest of the fleet is full: it must get no more requests a second than it accepts, although
//! every caller finds it idle. Its heartbeats tell how long it stays cold, but come seconds apart, so an
//! instance that may have become cold since is treated as cold until a statement that is newer. After the
//! cold time the rate doubles at short intervals, since all callers would fall on the idle instance at once.

use std::time::Duration;
use std::time::Instant;

use crate::config::ColdLimit;
use crate::rate_limit::RequestRate;

/// Time by which a heartbeat may be older than its arrival. Some arrive seconds late; a busy instance is
/// probed long before this.
const HEARTBEAT_DELAY: Duration = Duration::from_secs(2);

/// Heartbeat intervals after which the last statement no longer shows that the instance is warm.
const STATEMENT_INTERVALS: u32 = 2;

/// Longest time in which the rate grows after the cold time.
const RAMP_TIME: Duration = Duration::from_secs(1);

/// Time in which the rate doubles then: over the whole ramp it grows sixteen times, beyond what the slots of
/// the users' instances allow.
const RAMP_DOUBLING: Duration = Duration::from_millis(250);

/// Minimum time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Where a statement of the instance comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Statement {
    /// A heartbeat that arrived now.
    Heartbeat,
    /// The answer to a probe that was sent at this time.
    Probe(Instant),
}

/// Whether the instance is known to be warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It said so, and nothing has happened since.
    Warm,
    /// It said that it is cold until then.
    Cold(Instant),
    /// It may have become cold since then.
    Doubtful(Instant),
}

/// Tracks the warmth of the local instance.
#[derive(Debug)]
pub struct ColdWatch {
    warmth: Warmth,
    /// When the instance last stated its warmth.
    stated_at: Instant,
    /// When the limit came into force; `None` while it does not hold.
    limited_since: Option<Instant>,
    /// When the limit ended, and for how long the rate grows from then on.
    ramp: Option<(Instant, Duration)>,
    probed_at: Option<Instant>,
}

impl ColdWatch {
    /// An instance that has not stated anything to this process.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            warmth: Warmth::Doubtful(now),
            stated_at: now,
            limited_since: None,
            ramp: None,
            probed_at: None,
        }
    }

    /// Returns the warmth at a time.
    #[must_use]
    pub fn warmth(&self, now: Instant) -> Warmth {
        match self.warmth {
            Warmth::Cold(until) if until <= now => Warmth::Warm,
            warmth => warmth,
        }
    }

    /// Whether the instance is treated as cold.
    #[must_use]
    pub fn is_limited(&self, now: Instant) -> bool {
        self.warmth(now) != Warmth::Warm
    }

    /// Records that another instance serves from now on; its first heartbeat follows.
    pub fn replace_instance(&mut self, now: Instant) {
        *self = Self::new(now);
        // Nothing can be known of it from before.
        self.warmth = Warmth::Warm;
    }

    /// Records that the instance may have become cold.
    pub fn doubt(&mut self, now: Instant) {
        // A new cold time may begin before the known one ends.
        self.warmth = Warmth::Doubtful(now);
        self.probed_at = None;
    }

    /// Doubts an instance whose heartbeats are overdue. Returns whether it was thought warm.
    pub fn doubt_if_overdue(&mut self, interval: Duration, now: Instant) -> bool {
        let is_overdue =
            now.saturating_duration_since(self.stated_at) > interval * STATEMENT_INTERVALS;
        let has_doubted = is_overdue && self.warmth(now) == Warmth::Warm;
        if has_doubted {
            self.doubt(now);
        }
        has_doubted
    }

    /// Records that the instance says it stays cold for `left`. That it is warm counts only if it cannot have
    /// been said before the doubt, or before the instance said that it is cold.
    pub fn record(&mut self, left: Duration, statement: Statement, now: Instant) {
        let said_after = match statement {
            Statement::Heartbeat => now.checked_sub(HEARTBEAT_DELAY),
            Statement::Probe(sent_at) => Some(sent_at),
        };
        if !left.is_zero() {
            self.warmth = Warmth::Cold(now + left);
            self.stated_at = now;
            return;
        }
        let known_at = match self.warmth {
            Warmth::Warm => None,
            Warmth::Cold(_) => Some(self.stated_at),
            Warmth::Doubtful(since) => Some(since),
        };
        let is_newer = known_at.is_none_or(|at| said_after.is_some_and(|said| said >= at));
        if is_newer {
            self.warmth = Warmth::Warm;
            self.stated_at = now;
        }
    }

    /// Whether to ask the instance now, as the limit delays requests while the warmth is in doubt.
    pub fn must_probe(&mut self, delays_requests: bool, now: Instant) -> bool {
        let is_due = self
            .probed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL);
        let is_doubtful = matches!(self.warmth(now), Warmth::Doubtful(_));
        let must_probe = delays_requests && is_doubtful && is_due;
        if must_probe {
            self.probed_at = Some(now);
        }
        must_probe
    }

    /// Returns the rate that holds now; `None` if the instance gets all requests.
    pub fn rate(&mut self, limit: ColdLimit, now: Instant) -> Option<RequestRate> {
        if self.is_limited(now) {
            self.limited_since.get_or_insert(now);
            self.ramp = None;
            return Some(limit.rate);
        }
        if let Some(since) = self.limited_since.take() {
            let limited = now.saturating_duration_since(since);
            self.ramp = Some((now, limited.min(RAMP_TIME)));
        }
        let (began, time) = self.ramp?;
        let elapsed = now.saturating_duration_since(began);
        if elapsed >= time {
            self.ramp = None;
            return None;
        }
        let doublings = elapsed.as_secs_f64() / RAMP_DOUBLING.as_secs_f64();
        RequestRate::from_per_sec(limit.rate.per_sec() * doublings.exp2())
    }
}
