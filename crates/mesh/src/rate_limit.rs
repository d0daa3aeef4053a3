//! Limit on the requests that reach an instance, as the instance states it in its responses.
//!
//! Handles an instance in need, which accepts only some requests a second from the whole fleet. All
//! requests to an instance pass the daemon beside it, so that daemon alone holds the limit, and no
//! daemon needs a share of it. Callers keep the limit that the daemon reports: it steers their requests
//! to other instances, and they send it with each request, so that a daemon that has restarted holds
//! it before the instance has answered it once.
//!
//! The same limiter holds the lower rate that an instance accepts while it is cold. That rate binds in each
//! second, whatever came before, so the starts of the last second are counted beside the bucket.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Time of the limit that may be used at once, so that requests that arrive together need not queue.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Span before a limit is stated or lowered whose requests count against it.
const LOOKBACK: Duration = Duration::from_secs(1);

/// Span in which no more requests start than a cold instance accepts in a second. The way to the instance
/// takes some requests longer than others, which brings their arrivals closer together.
const COLD_SPAN: Duration = Duration::from_millis(1050);

/// Longest pause after which the requests of [`LOOKBACK`] are no longer held against the limit.
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// Longest time between two requests to an instance. Only its responses tell that a limit of 0 has
/// ended.
const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Most starts that are kept for [`LOOKBACK`]; bounds the memory.
const MAX_RECENT_STARTS: usize = 4096;

/// A number of requests a second, kept in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    per_1000_secs: u64,
}

impl RequestRate {
    /// Returns the rate of this many requests a second; `None` unless that is a number from 0 on.
    #[must_use]
    pub fn from_per_sec(per_sec: f64) -> Option<Self> {
        let is_valid = per_sec.is_finite() && per_sec >= 0.0;
        // The cast rounds down and saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        is_valid.then_some(Self {
            per_1000_secs: (per_sec * 1e3) as u64,
        })
    }

    /// Returns the number of requests a second.
    #[must_use]
    pub fn per_sec(self) -> f64 {
        // Rates above 2^53 thousandths need no precision.
        #[allow(clippy::cast_precision_loss)]
        let per_1000_secs = self.per_1000_secs as f64;
        per_1000_secs / 1e3
    }

    /// Returns the number of requests that may start at once after a pause; at least one.
    #[must_use]
    pub fn burst(self) -> f64 {
        (self.per_sec() * BURST_TIME.as_secs_f64()).max(1.0)
    }

    /// Returns the number of requests in `time`. A rate of less than one request in [`MAX_INTERVAL`]
    /// counts as that one.
    pub(crate) fn requests_in(self, time: Duration) -> f64 {
        time.as_secs_f64() * self.per_sec().max(1.0 / MAX_INTERVAL.as_secs_f64())
    }

    /// Returns the number of whole requests in a second; at least one.
    #[must_use]
    pub fn whole_per_sec(self) -> usize {
        usize::try_from(self.per_1000_secs / 1000)
            .unwrap_or(usize::MAX)
            .max(1)
    }

    /// Returns the time in which this many requests may start.
    fn time_for(self, requests: f64) -> Duration {
        let secs = requests.max(0.0) / self.requests_in(Duration::from_secs(1));
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_sec())
    }
}

/// What a response states about the accepted rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// It states no limit.
    Absent,
    /// It states this limit.
    Limit(RequestRate),
    /// It states a limit that is no rate.
    Unreadable,
}

/// What the daemon beside an instance reports about its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LimitReportWire", into = "LimitReportWire")]
pub enum LimitReport {
    /// The instance has not answered this process of the daemon yet.
    #[default]
    Unknown,
    /// The instance states no limit.
    Unlimited,
    /// The instance states a limit.
    Limited {
        /// Accepted requests from the whole fleet.
        rate: RequestRate,
        /// Used part of [`RequestRate::burst`], in thousandths. Above 1000 requests wait for the limit.
        used_permille: u16,
    },
}

/// Encoding of a [`LimitReport`], since a datagram carries many: the rate in thousandths of a request a
/// second, or one of the values below, and the used part.
#[derive(Serialize, Deserialize)]
struct LimitReportWire(i64, u16);

const WIRE_UNKNOWN: i64 = -2;
const WIRE_UNLIMITED: i64 = -1;

impl From<LimitReport> for LimitReportWire {
    fn from(report: LimitReport) -> Self {
        match report {
            LimitReport::Unknown => Self(WIRE_UNKNOWN, 0),
            LimitReport::Unlimited => Self(WIRE_UNLIMITED, 0),
            LimitReport::Limited {
                rate,
                used_permille,
            } => Self(
                i64::try_from(rate.per_1000_secs).unwrap_or(i64::MAX),
                used_permille,
            ),
        }
    }
}

impl From<LimitReportWire> for LimitReport {
    fn from(LimitReportWire(rate, used_permille): LimitReportWire) -> Self {
        match u64::try_from(rate) {
            Ok(per_1000_secs) => Self::Limited {
                rate: RequestRate { per_1000_secs },
                used_permille,
            },
            Err(_) if rate == WIRE_UNLIMITED => Self::Unlimited,
            Err(_) => Self::Unknown,
        }
    }
}

/// Holds the limits of the instance beside this daemon: a token bucket whose rate is the stated one, and one
/// for its cold time.
#[derive(Debug, Default)]
pub struct RateLimiter {
    state: LimitState,
    /// Bucket of the rate that the instance accepts while it is cold; `None` while it is warm.
    cold: Option<Bucket>,
    /// Starts of requests within [`COLD_SPAN`], oldest first.
    recent_starts: VecDeque<Instant>,
}

#[derive(Debug, Default)]
enum LimitState {
    #[default]
    Unknown,
    Unlimited,
    Limited(Bucket),
}

#[derive(Debug)]
struct Bucket {
    rate: RequestRate,
    /// When the limit became known here, or was last confirmed.
    stated_at: Instant,
    /// Requests that may start now; negative while too many have started.
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Returns the tokens at a later time.
    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        (self.tokens + self.rate.requests_in(elapsed)).min(self.rate.burst())
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    /// Returns how long the request with `ahead` others before it has to wait.
    fn wait(&self, ahead: usize, now: Instant) -> Duration {
        let needed = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
        self.rate.time_for(needed - self.tokens_at(now))
    }

    /// Returns the state for the callers with this many requests left to start at once.
    fn report(&self, left: f64, queued: u32) -> LimitReport {
        let burst = self.rate.burst();
        let used = (burst - left + f64::from(queued)) / burst * 1e3;
        // The cast saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        LimitReport::Limited {
            rate: self.rate,
            used_permille: used as u16,
        }
    }
}

impl RateLimiter {
    /// Records what a response of the instance states; its request was sent at `sent_at`. Only a
    /// response to a request that was sent after the limit became known ends it: earlier ones may
    /// overtake each other on their connections.
    pub fn record_notice(&mut self, notice: LimitNotice, sent_at: Instant, now: Instant) {
        match (notice, &mut self.state) {
            (LimitNotice::Limit(rate), LimitState::Limited(bucket)) if rate >= bucket.rate => {
                bucket.refill(now);
                bucket.rate = rate;
                bucket.stated_at = now;
            }
            (LimitNotice::Limit(rate), _) => self.lower_to(rate, now),
            (LimitNotice::Absent, LimitState::Limited(bucket)) if sent_at < bucket.stated_at => {}
            (LimitNotice::Absent, _) => self.state = LimitState::Unlimited,
            (LimitNotice::Unreadable, _) => {}
        }
    }

    /// Adopts the limit that a caller knows, unless the instance has answered this process. While a lower one
    /// holds for its cold time, that is the one which the caller knows.
    pub fn adopt(&mut self, rate: RequestRate, now: Instant) {
        let is_cold_rate = self.cold.as_ref().is_some_and(|cold| cold.rate <= rate);
        if matches!(self.state, LimitState::Unknown) && !is_cold_rate {
            self.state = LimitState::Limited(Bucket {
                rate,
                stated_at: now,
                // An earlier process may have used them.
                tokens: 0.0,
                refilled_at: now,
            });
        }
    }

    /// Takes a lower limit into force. What the instance got in [`LOOKBACK`] beyond it is made up for.
    fn lower_to(&mut self, rate: RequestRate, now: Instant) {
        let recent = u32::try_from(self.starts_within(LOOKBACK, now)).unwrap_or(u32::MAX);
        let excess = f64::from(recent) - rate.requests_in(LOOKBACK);
        let known = match &self.state {
            LimitState::Limited(bucket) => bucket.tokens_at(now),
            LimitState::Unknown | LimitState::Unlimited => rate.burst(),
        };
        self.state = LimitState::Limited(Bucket {
            rate,
            stated_at: now,
            tokens: known
                .min(-excess)
                .clamp(-rate.requests_in(MAX_PAUSE), rate.burst()),
            refilled_at: now,
        });
    }

    /// Sets the rate that the instance accepts while it is cold; `None` once it is warm.
    pub fn set_cold_rate(&mut self, rate: Option<RequestRate>, now: Instant) {
        let Some(rate) = rate else {
            self.cold = None;
            return;
        };
        match &mut self.cold {
            Some(bucket) => {
                bucket.refill(now);
                bucket.rate = rate;
            }
            None => {
                self.cold = Some(Bucket {
                    rate,
                    stated_at: now,
                    tokens: 1.0,
                    refilled_at: now,
                });
            }
        }
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Instant) {
        self.prune(now);
        if self.recent_starts.len() == MAX_RECENT_STARTS {
            self.recent_starts.pop_front();
        }
        self.recent_starts.push_back(now);
        if let LimitState::Limited(bucket) = &mut self.state {
            bucket.refill(now);
            bucket.tokens -= 1.0;
        }
        if let Some(bucket) = &mut self.cold {
            bucket.refill(now);
            bucket.tokens -= 1.0;
        }
    }

    /// Whether a request has started within the last second.
    #[must_use]
    pub fn has_started_recently(&self, now: Instant) -> bool {
        self.starts_within(LOOKBACK, now) > 0
    }

    /// Returns the number of requests that started within a span of at most [`COLD_SPAN`].
    fn starts_within(&self, span: Duration, now: Instant) -> usize {
        let is_before = |at: &Instant| now.saturating_duration_since(*at) >= span;
        self.recent_starts.len() - self.recent_starts.partition_point(is_before)
    }

    fn prune(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < COLD_SPAN;
        while self.recent_starts.front().is_some_and(|at| !is_recent(at)) {
            self.recent_starts.pop_front();
        }
    }

    /// Returns how long the request with `ahead` others before it has to wait for the limits.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: Instant) -> Duration {
        let stated = match &self.state {
            LimitState::Limited(bucket) => bucket.wait(ahead, now),
            LimitState::Unknown | LimitState::Unlimited => Duration::ZERO,
        };
        stated.max(self.cold_wait(ahead, now))
    }

    /// Returns how long that request has to wait because the instance is cold.
    #[must_use]
    pub fn cold_wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(bucket) = &self.cold else {
            return Duration::ZERO;
        };
        bucket
            .wait(ahead, now)
            .max(self.span_wait(bucket.rate, ahead, now))
    }

    /// Returns how long that request has to wait until fewer than `rate` requests have started within
    /// [`COLD_SPAN`].
    fn span_wait(&self, rate: RequestRate, ahead: usize, now: Instant) -> Duration {
        let most = rate.whole_per_sec();
        let recent = self.starts_within(COLD_SPAN, now);
        let Some(beyond) = (recent + ahead).checked_sub(most) else {
            return Duration::ZERO;
        };
        let first = self.recent_starts.len() - recent;
        match self.recent_starts.get(first + beyond) {
            Some(at) => (*at + COLD_SPAN).saturating_duration_since(now),
            // The others have to wait for requests that have yet to start.
            None => rate.time_for(f64::from(u32::try_from(beyond).unwrap_or(u32::MAX))),
        }
    }

    /// Returns the state for the callers while `queued` requests wait. Of two limits it is that of the one
    /// for which a request waits longer.
    #[must_use]
    pub fn report(&self, queued: u32, now: Instant) -> LimitReport {
        let ahead = usize::try_from(queued).unwrap_or(usize::MAX);
        match (&self.state, &self.cold) {
            (LimitState::Limited(stated), Some(cold))
                if stated.wait(ahead, now) > self.cold_wait(ahead, now)
                    || stated.rate < cold.rate =>
            {
                stated.report(stated.tokens_at(now), queued)
            }
            (_, Some(cold)) => {
                let most = cold.rate.whole_per_sec();
                let room = most.saturating_sub(self.starts_within(COLD_SPAN, now));
                let room = f64::from(u32::try_from(room).unwrap_or(u32::MAX));
                cold.report(cold.tokens_at(now).min(room), queued)
            }
            (LimitState::Limited(stated), None) => stated.report(stated.tokens_at(now), queued),
            (LimitState::Unknown, None) => LimitReport::Unknown,
            (LimitState::Unlimited, None) => LimitReport::Unlimited,
        }
    }

    /// Returns the lowest limit in force; `None` without one.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        let stated = match &self.state {
            LimitState::Limited(bucket) => Some(bucket.rate),
            LimitState::Unknown | LimitState::Unlimited => None,
        };
        let cold = self.cold.as_ref().map(|bucket| bucket.rate);
        stated.into_iter().chain(cold).min()
    }
}
