//! Admission beside one instance: which requests run, wait, or are turned away.
//!
//! Answers the load of a service that is asked for more than its slots serve: bursts, abusive
//! retries, and all clients back at once after an outage. Requests wait only while they can still
//! be answered while the answer has its full value; the more urgent rank goes first, and takes
//! the place of a less urgent one where the queue is full. Within a rank, requests that are much
//! shorter than the mean go first and may wait until their deadline: most are calls that a running
//! request waits for, whose work is lost when the call is refused. What cannot be served is refused the
//! moment that this is known, so that the client comes back while it still has time.

use std::time::Duration;
use std::time::Instant;

use base::FastMap;
use protocol::call::Load;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
pub use routing::admission::AdmissionDecision;
pub use routing::admission::QueueAction;

use crate::config::Rank;
use crate::config::RouteName;

/// Weight of the latest request in the mean service time, as one part in so many: the mean follows
/// within some dozen requests, a second of one instance.
const SERVICE_TIME_PARTS: u32 = 16;

/// Bounds of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionCfg {
    /// Requests that the instance runs at once.
    pub slots: u32,
    /// Requests that may wait.
    pub max_queued: usize,
    /// Service time that is assumed before the first request has ended.
    pub initial_service_time: Duration,
    /// Shortest time after which a refused request is told to come back.
    pub min_retry_after: Duration,
    /// Longest time after which a refused request is told to come back.
    pub max_retry_after: Duration,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest<K> {
    /// Names the request.
    pub key: K,
    /// Route that it came by.
    pub route: RouteName,
    /// Its rank; 0 is the most urgent.
    pub rank: Rank,
    /// When the answer loses its full value.
    pub full_value_until: Instant,
    /// When the client gives up.
    pub deadline: Instant,
}

#[derive(Debug)]
struct Queued<K> {
    ask: AdmissionRequest<K>,
    length: Length,
    since: Instant,
    expected_wait: Duration,
}

/// How long a request runs against the mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Length {
    /// Much shorter.
    Short,
    /// All others.
    Long,
}

/// A request is short when it takes less than this part of the mean, in thousandths. The users' calls
/// take a fifth to a third of their pages.
const SHORT_PART: u32 = 750;

/// Part of the time sums that is kept with each request that ends: they tell of the last hundred.
const TIME_KEPT: f64 = 0.99;

/// Largest share of the slot time that is believed to go to short requests, so that long ones are
/// never taken for hopeless: a fifth of the slots is theirs.
const MAX_SHORT_SHARE: f64 = 0.8;

/// Weight of the latest wait in the factor between real and expected waits: it tells of the last
/// twenty.
const WAIT_SMOOTHING: f64 = 0.05;

/// Expected waits below this, in seconds, are not compared with real ones; timers alone are off by as
/// much.
const MIN_EXPECTED_WAIT: f64 = 0.005;

/// Largest factor between real and expected waits that is believed: beyond it an instance stands
/// still, which silence shows sooner.
const MAX_WAIT_FACTOR: f64 = 4.0;

/// Decides which requests run, wait, or are refused. `K` names a request.
#[derive(Debug)]
pub struct AdmissionController<K> {
    cfg: AdmissionCfg,
    running: u32,
    /// Ordered by rank, then short before long, then by arrival.
    queue: Vec<Queued<K>>,
    /// Slot time that short and all requests took, fading, in milliseconds.
    short_time: f64,
    all_time: f64,
    /// Real waits of long requests against the expected ones, fading.
    wait_factor: f64,
    service_time: Duration,
    by_route: FastMap<RouteName, Duration>,
}

impl<K: PartialEq + Clone> AdmissionController<K> {
    /// A gate with nothing running.
    #[must_use]
    pub fn new(cfg: AdmissionCfg) -> Self {
        Self {
            cfg,
            running: 0,
            queue: Vec::new(),
            short_time: 0.0,
            all_time: 0.0,
            wait_factor: 1.0,
            service_time: cfg.initial_service_time,
            by_route: FastMap::default(),
        }
    }

    /// Offers a request that came in.
    pub fn offer(&mut self, ask: AdmissionRequest<K>, now: Instant) -> AdmissionDecision<K> {
        if self.has_free_slot() && self.queue.is_empty() {
            if now + self.service_time_of(&ask.route) / 2 > ask.deadline {
                return AdmissionDecision::Refused(self.not_run(NotRunReason::DeadlineTooShort));
            }
            self.running += 1;
            return AdmissionDecision::Run;
        }
        let length = self.length_of(&ask.route);
        let place = self.place_of(ask.rank, length);
        if !self.is_worth_waiting(&ask, length, place, now) {
            return AdmissionDecision::Refused(self.not_run(NotRunReason::Overloaded));
        }
        let queued = Queued {
            ask,
            length,
            since: now,
            expected_wait: self.wait_of(place, length),
        };
        self.queue.insert(place, queued);
        if self.queue.len() <= self.cfg.max_queued {
            return AdmissionDecision::Queued;
        }
        let not_run = self.not_run(NotRunReason::Overloaded);
        match self.queue.pop() {
            Some(last) if place < self.queue.len() => {
                AdmissionDecision::QueuedInPlaceOf(last.ask.key, not_run)
            }
            _ => AdmissionDecision::Refused(not_run),
        }
    }

    /// Whether a request at this place of the queue is answered in time, by what is known of the
    /// service times.
    fn is_worth_waiting(
        &self,
        ask: &AdmissionRequest<K>,
        length: Length,
        place: usize,
        now: Instant,
    ) -> bool {
        let wait = self.wait_of(place, length);
        let own = self.service_time_of(&ask.route);
        let end = now + wait + own;
        let may_be_late = length == Length::Short || wait <= own / 2;
        end <= ask.full_value_until || (may_be_late && end <= ask.deadline)
    }

    /// Notes that a running request was answered after the given time. Then ask [`Self::next`].
    pub fn finished(&mut self, route: &RouteName, took: Duration) {
        self.released();
        self.count_time(route, took);
        self.service_time = blend(self.service_time, took);
        let known = self.by_route.get(route).copied().unwrap_or(took);
        self.by_route.insert(route.clone(), blend(known, took));
    }

    fn count_time(&mut self, route: &RouteName, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        self.all_time = self.all_time * TIME_KEPT + ms;
        self.short_time *= TIME_KEPT;
        if self.length_of(route) == Length::Short {
            self.short_time += ms;
        }
    }

    /// Notes that a running request ended in a way that tells nothing about the service time.
    /// Then ask [`Self::next`].
    pub fn released(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes a waiting request out; its client no longer wants it. Says whether it waited here.
    pub fn withdraw(&mut self, key: &K) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.ask.key != *key);
        self.queue.len() < before
    }

    /// Says what to do next; ask until the answer is [`QueueAction::Idle`].
    pub fn next(&mut self, now: Instant) -> QueueAction<K> {
        let hopeless = (0..self.queue.len())
            .find(|place| self.is_hopeless(*place, now) || self.is_outvalued(*place, now));
        if let Some(place) = hopeless {
            let queued = self.queue.remove(place);
            self.compare_wait(&queued, now);
            return QueueAction::Refuse(queued.ask.key, self.not_run(NotRunReason::Overloaded));
        }
        if !self.has_free_slot() || self.queue.is_empty() {
            return QueueAction::Idle;
        }
        self.running += 1;
        let queued = self.queue.remove(0);
        self.compare_wait(&queued, now);
        QueueAction::Run(queued.ask.key)
    }

    /// Learns from the wait of a long request how far the expected waits are off.
    fn compare_wait(&mut self, queued: &Queued<K>, now: Instant) {
        if queued.length == Length::Short {
            return;
        }
        let real = now.saturating_duration_since(queued.since).as_secs_f64();
        let expected = queued.expected_wait.as_secs_f64() / self.wait_factor;
        let factor = (real / expected.max(MIN_EXPECTED_WAIT)).clamp(1.0, MAX_WAIT_FACTOR);
        self.wait_factor += WAIT_SMOOTHING * (factor - self.wait_factor);
    }

    /// Whether the answer to a long request comes too late for its full value while another one of
    /// its rank waits that can still have it.
    fn is_outvalued(&self, place: usize, now: Instant) -> bool {
        let queued = &self.queue[place];
        let in_time = |queued: &Queued<K>| {
            now + self.service_time_of(&queued.ask.route) <= queued.ask.full_value_until
        };
        let is_rival = |other: &Queued<K>| {
            other.ask.rank == queued.ask.rank && other.length == Length::Long && in_time(other)
        };
        queued.length == Length::Long
            && !in_time(queued)
            && self.queue[place + 1..].iter().any(is_rival)
    }

    /// Whether a waiting request cannot be answered before its deadline any more.
    fn is_hopeless(&self, place: usize, now: Instant) -> bool {
        let queued = &self.queue[place];
        let wait = if self.has_free_slot() {
            Duration::ZERO
        } else {
            self.wait_of(place, queued.length)
        };
        let end = now + wait + self.service_time_of(&queued.ask.route) / 2;
        end > queued.ask.deadline
    }

    /// Empties the queue: the instance takes no new work.
    pub fn refuse_waiting(&mut self, reason: NotRunReason) -> Vec<(K, NotRun)> {
        let waiting = std::mem::take(&mut self.queue);
        let not_run = self.not_run(reason);
        waiting
            .into_iter()
            .map(|queued| (queued.ask.key, not_run.clone()))
            .collect()
    }

    /// Changes the number of slots. Then ask [`Self::next`].
    pub fn set_slots(&mut self, slots: u32) {
        self.cfg.slots = slots.max(1);
    }

    /// Forgets the service times of the instance before.
    pub fn reset_service_times(&mut self) {
        self.service_time = self.cfg.initial_service_time;
        self.by_route.clear();
        self.short_time = 0.0;
        self.all_time = 0.0;
        self.wait_factor = 1.0;
    }

    /// Load to tell with replies.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: self.cfg.slots,
        }
    }

    /// A refusal with the time after which room is expected.
    #[must_use]
    pub fn not_run(&self, reason: NotRunReason) -> NotRun {
        let retry_after = match reason {
            // Another instance may take it at once.
            NotRunReason::Leaving | NotRunReason::WrongVersion | NotRunReason::Unreachable => {
                self.cfg.min_retry_after
            }
            _ => self.wait_of(self.queue.len(), Length::Long),
        };
        NotRun {
            reason,
            retry_after: Some(
                retry_after.clamp(self.cfg.min_retry_after, self.cfg.max_retry_after),
            ),
        }
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.cfg.slots
    }

    /// Place behind all that are as urgent or more.
    fn place_of(&self, rank: Rank, length: Length) -> usize {
        self.queue
            .partition_point(|queued| (queued.ask.rank, queued.length) <= (rank, length))
    }

    /// Time until a request at this place of the queue gets a slot. Short ones that come later
    /// overtake long ones.
    fn wait_of(&self, place: usize, length: Length) -> Duration {
        let ends = u32::try_from(place + 1).unwrap_or(u32::MAX);
        let wait = self.service_time.saturating_mul(ends) / self.cfg.slots.max(1);
        match length {
            Length::Short => wait,
            Length::Long => wait.mul_f64(self.wait_factor / (1.0 - self.short_share())),
        }
    }

    fn short_share(&self) -> f64 {
        (self.short_time / self.all_time.max(1.0)).min(MAX_SHORT_SHARE)
    }

    fn length_of(&self, route: &RouteName) -> Length {
        if self.service_time_of(route) * 1000 < self.service_time * SHORT_PART {
            Length::Short
        } else {
            Length::Long
        }
    }

    fn service_time_of(&self, route: &RouteName) -> Duration {
        self.by_route
            .get(route)
            .copied()
            .unwrap_or(self.service_time)
    }
}

fn blend(mean: Duration, latest: Duration) -> Duration {
    (mean * (SERVICE_TIME_PARTS - 1) + latest) / SERVICE_TIME_PARTS
}
