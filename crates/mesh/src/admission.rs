//! Admission control for one instance: which requests run, wait, or are refused.
//!
//! Handles overload of the instance's slots: bursts, abusive retries, and all clients returning at
//! once after an outage. A request waits only while its answer can still have its full value, and only
//! if that is likely once the shortage of slots lasts (module `shortage`). The more urgent rank goes
//! first and, in a full queue, displaces a less urgent one. Within a rank, requests much shorter than
//! the mean go first and may wait until their deadline: most are calls that a running request waits
//! for, and refusing them wastes its work. A request that cannot be served is refused as soon as this
//! is known, so that the client can retry within its time.

mod queue;
mod request;
mod reserve;
mod returns;
mod service_times;
mod shortage;
mod wait_ratio;

use std::time::Duration;
use std::time::Instant;

use protocol::call::Load;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
pub use routing::admission::AdmissionDecision;
pub use routing::admission::QueueAction;

use self::queue::Queued;
use self::queue::WaitQueue;
pub use self::request::AdmissionCfg;
pub use self::request::AdmissionRequest;
pub use self::request::Ended;
use self::reserve::Arrival;
use self::reserve::Reserve;
pub use self::returns::return_after;
use self::service_times::Length;
use self::service_times::ServiceTimes;
use self::shortage::Shortage;
use self::wait_ratio::WaitRatio;
use crate::config::Rank;
use crate::config::RouteName;
use crate::customers::CustomerName;
use crate::rate_limit::LimitNotice;
use crate::rate_limit::LimitReport;
use crate::rate_limit::RateLimiter;
use crate::rate_limit::RequestRate;

/// Part of its service time, as a divisor, that a request may wait whatever the load: a queue of that
/// length keeps the slots busy.
const SHORT_WAIT_DIVISOR: u32 = 3;

/// Longest time that a request waits because the instance is cold; another instance may have room, and while
/// none has, others arrive in its place.
const MAX_COLD_WAIT: Duration = Duration::from_millis(100);

/// Decides which requests run, wait, or are refused. `K` identifies a request.
#[derive(Debug)]
pub struct AdmissionController<K> {
    cfg: AdmissionCfg,
    running: u32,
    limiter: RateLimiter,
    queue: WaitQueue<K>,
    reserve: Reserve,
    /// Whether slots are kept free for more urgent ranks.
    keeps_slots: bool,
    service_times: ServiceTimes,
    wait_ratio: WaitRatio,
    shortage: Shortage,
}

impl<K: PartialEq + Clone> AdmissionController<K> {
    /// Starts with no running and no waiting requests.
    #[must_use]
    pub fn new(cfg: AdmissionCfg) -> Self {
        Self {
            cfg,
            running: 0,
            limiter: RateLimiter::default(),
            queue: WaitQueue::default(),
            reserve: Reserve::default(),
            keeps_slots: false,
            service_times: ServiceTimes::default(),
            wait_ratio: WaitRatio::default(),
            shortage: Shortage::default(),
        }
    }

    /// Decides on a new request without a customer: run, wait or refuse.
    pub fn offer(&mut self, request: AdmissionRequest<K>, now: Instant) -> AdmissionDecision<K> {
        self.offer_for(None, request, now)
    }

    /// Decides on a new request of a customer: run, wait or refuse.
    pub fn offer_for(
        &mut self,
        customer: Option<CustomerName>,
        request: AdmissionRequest<K>,
        now: Instant,
    ) -> AdmissionDecision<K> {
        self.record_arrival(&request, now);
        let (rank, length) = (request.rank, self.service_times.length_of(&request.route));
        let place = self.queue.place_for(rank, length, &customer);
        let starts = place.position == 0 && self.can_start(rank, now);
        if length == Length::Long {
            self.shortage.record_arrival(!starts, now);
        }
        if starts {
            if now + self.service_times.of(&request.route) / 2 > request.deadline {
                return AdmissionDecision::Refused(
                    self.not_run(NotRunReason::DeadlineTooShort, now),
                );
            }
            self.start(rank, now);
            return AdmissionDecision::Run;
        }
        if self.limiter.cold_wait(place.position, now) > MAX_COLD_WAIT {
            return AdmissionDecision::Refused(self.not_run_of(
                NotRunReason::RateLimited,
                rank,
                now,
            ));
        }
        let wait = self.expected_wait_at(place.position, rank, length, now);
        if !self.is_worth_waiting(&request, length, wait, now)
            || self.is_likely_late(&request, length, place.position, wait, now)
        {
            return AdmissionDecision::Refused(self.refusal_of(rank, now));
        }
        let (key, cost) = (request.key.clone(), self.service_times.of(&request.route));
        let queued = Queued {
            request,
            owner: customer,
            length,
            enqueued_at: now,
            expected_wait: wait,
            cost,
            turn: place.turn,
        };
        self.queue.insert(place.position, queued);
        if self.queue.len() <= self.cfg.max_queued {
            return AdmissionDecision::Queued;
        }
        let Some(evicted) = self.queue.evict() else {
            return AdmissionDecision::Queued;
        };
        let not_run = self.refusal_of(evicted.request.rank, now);
        if evicted.request.key == key {
            AdmissionDecision::Refused(not_run)
        } else {
            AdmissionDecision::QueuedInPlaceOf(evicted.request.key, not_run)
        }
    }

    fn record_arrival(&mut self, request: &AdmissionRequest<K>, now: Instant) {
        let times = &mut self.service_times;
        times.assume(&request.route, request.expected_service_time);
        let service_time = times.of(&request.route);
        let time_left = request.full_value_until.saturating_duration_since(now);
        let arrival = Arrival {
            rank: request.rank,
            service_time,
            slack: time_left.saturating_sub(service_time),
        };
        self.reserve.record_arrival(arrival, now);
    }

    /// Whether a request that starts after `wait` is expected to be answered in time, by the known
    /// service times.
    fn is_worth_waiting(
        &self,
        request: &AdmissionRequest<K>,
        length: Length,
        wait: Duration,
        now: Instant,
    ) -> bool {
        let route_service_time = self.service_times.of(&request.route);
        let answered_at = now + wait + route_service_time;
        let may_exceed_full_value = length == Length::Short || wait <= route_service_time / 2;
        answered_at <= request.full_value_until
            || (may_exceed_full_value && answered_at <= request.deadline)
    }

    /// Whether the answer to a request that waits is likely to be late while others, which come later, can
    /// still be in time. Waits for the limit of the instance have bounds of their own.
    fn is_likely_late(
        &self,
        request: &AdmissionRequest<K>,
        length: Length,
        position: usize,
        wait: Duration,
        now: Instant,
    ) -> bool {
        let times = &self.service_times;
        self.shortage.is_lasting()
            && length == Length::Long
            && wait > times.of(&request.route) / SHORT_WAIT_DIVISOR
            && self.limiter.wait(position, now).is_zero()
            && now + wait + times.upper_bound_of(&request.route) > request.full_value_until
    }

    /// Records the end of a running request. Call [`Self::next`] afterwards.
    pub fn ended(&mut self, ended: &Ended) {
        self.running = self.running.saturating_sub(1);
        self.reserve.ended(ended.rank);
        if let Some(took) = ended.took {
            self.service_times.record(ended.route, took);
        }
    }

    /// Records that a running request of the least urgent rank was answered after `latency`. Call
    /// [`Self::next`] afterwards.
    pub fn finished(&mut self, route: &RouteName, latency: Duration) {
        self.released();
        self.service_times.record(route, latency);
    }

    /// Frees the slot of a request of the least urgent rank that ended without information about the
    /// service time. Call [`Self::next`] afterwards.
    pub fn released(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.reserve.ended_least_urgent();
    }

    /// Removes a waiting request that its client abandoned. Returns whether it was waiting.
    pub fn withdraw(&mut self, key: &K) -> bool {
        self.queue.withdraw(key)
    }

    /// Returns the next action; call it until it returns [`QueueAction::Idle`].
    pub fn next(&mut self, now: Instant) -> QueueAction<K> {
        let refused = (0..self.queue.len()).find(|position| {
            self.is_past_deadline(*position, now) || self.is_superseded(*position, now)
        });
        if let Some(position) = refused {
            let queued = self.queue.remove(position);
            self.record_wait(&queued, now);
            let not_run = self.refusal_of(queued.request.rank, now);
            return QueueAction::Refuse(queued.request.key, not_run);
        }
        let first_rank = self
            .queue
            .entries()
            .first()
            .map(|queued| queued.request.rank);
        match first_rank {
            Some(rank) if self.can_start(rank, now) => {}
            _ => return QueueAction::Idle,
        }
        let Some(queued) = self.queue.start_first() else {
            return QueueAction::Idle;
        };
        self.start(queued.request.rank, now);
        self.record_wait(&queued, now);
        QueueAction::Run(queued.request.key)
    }

    /// Updates the ratio of actual to expected waits from the wait of a long request.
    fn record_wait(&mut self, queued: &Queued<K>, now: Instant) {
        if queued.length == Length::Short {
            return;
        }
        let actual = now.saturating_duration_since(queued.enqueued_at);
        self.wait_ratio.record(actual, queued.expected_wait);
    }

    /// Whether the answer to a long request would come too late for its full value while another
    /// long request of its rank behind it can still be in time.
    fn is_superseded(&self, position: usize, now: Instant) -> bool {
        let queued = &self.queue.entries()[position];
        let in_time = |queued: &Queued<K>| {
            now + self.service_times.of(&queued.request.route) <= queued.request.full_value_until
        };
        let is_competing = |other: &Queued<K>| {
            other.request.rank == queued.request.rank
                && other.length == Length::Long
                && in_time(other)
        };
        queued.length == Length::Long
            && !in_time(queued)
            && self.queue.entries()[position + 1..]
                .iter()
                .any(is_competing)
    }

    /// Whether a waiting request can no longer be answered before its deadline.
    fn is_past_deadline(&self, position: usize, now: Instant) -> bool {
        let queued = &self.queue.entries()[position];
        let rank = queued.request.rank;
        let wait = if self.can_start(rank, now) {
            Duration::ZERO
        } else {
            self.expected_wait_at(position, rank, queued.length, now)
        };
        let answered_at = now + wait + self.service_times.of(&queued.request.route) / 2;
        answered_at > queued.request.deadline
    }

    /// Refuses all waiting requests, as the instance accepts no new ones.
    pub fn refuse_waiting(&mut self, reason: NotRunReason, now: Instant) -> Vec<(K, NotRun)> {
        let waiting = self.queue.take_all();
        let not_run = self.not_run(reason, now);
        waiting
            .into_iter()
            .map(|queued| (queued.request.key, not_run.clone()))
            .collect()
    }

    /// Changes the number of slots, at least 1. Call [`Self::next`] afterwards.
    pub fn set_slots(&mut self, slots: u32) {
        self.cfg.slots = slots.max(1);
    }

    /// Discards the service times and the limit of the previous instance.
    pub fn reset_for_new_instance(&mut self) {
        self.limiter = RateLimiter::default();
        self.service_times = ServiceTimes::default();
        self.wait_ratio = WaitRatio::default();
        self.shortage = Shortage::default();
    }

    /// Whether more arrives than the slots serve, and has for some time.
    #[must_use]
    pub fn has_lasting_shortage(&self) -> bool {
        self.shortage.is_lasting()
    }

    /// Returns the load that replies and gossip report.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            slots: self.cfg.slots,
        }
    }

    /// Records what a response of the instance states about the rate that it accepts; its request was
    /// sent at `sent_at`. Call [`Self::next`] afterwards.
    pub fn record_limit_notice(&mut self, notice: LimitNotice, sent_at: Instant, now: Instant) {
        self.limiter.record_notice(notice, sent_at, now);
    }

    /// Sets the rate that the instance accepts while it is cold; `None` once it is warm. Call [`Self::next`]
    /// afterwards.
    pub fn set_cold_rate(&mut self, rate: Option<RequestRate>, now: Instant) {
        self.limiter.set_cold_rate(rate, now);
    }

    /// Whether requests come so fast that the cold time of the instance delays them.
    #[must_use]
    pub fn delays_for_cold(&self, now: Instant) -> bool {
        let wait = self.limiter.cold_wait(self.queue.len() + 1, now);
        self.limiter.has_started_recently(now) && !wait.is_zero()
    }

    /// Counts a request of the daemon itself against the limits.
    pub fn record_own_request(&mut self, now: Instant) {
        self.limiter.record_start(now);
    }

    /// Adopts the limit that a caller knows, unless the instance has answered this process.
    pub fn adopt_limit(&mut self, rate: RequestRate, now: Instant) {
        self.limiter.adopt(rate, now);
    }

    /// Returns the limit in force; `None` without one.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.limiter.rate()
    }

    /// Returns the state of the limit that replies and gossip report.
    #[must_use]
    pub fn limit_report(&self, now: Instant) -> LimitReport {
        self.limiter.report(self.load().queued, now)
    }

    /// Returns the refusal of a request that the limit would delay until after `latest_start`; `None`
    /// if it may be offered.
    #[must_use]
    pub fn refusal_by_limit(&self, latest_start: Instant, now: Instant) -> Option<NotRun> {
        let wait = self.limiter.wait(self.queue.len(), now);
        (now + wait > latest_start).then(|| self.not_run(NotRunReason::RateLimited, now))
    }

    /// Returns why a request cannot start: the limit of the instance, or else its load.
    fn shortage(&self, now: Instant) -> NotRunReason {
        let slot_wait = self.slot_wait(self.queue.len(), self.cfg.slots);
        if self.limiter.wait(self.queue.len(), now) > slot_wait {
            NotRunReason::RateLimited
        } else {
            NotRunReason::Overloaded
        }
    }

    /// Builds a refusal with the time after which a request is expected to start as retry-after.
    #[must_use]
    pub fn not_run(&self, reason: NotRunReason, now: Instant) -> NotRun {
        self.not_run_of(reason, 0, now)
    }

    /// Builds the refusal of a request of this rank for which there is no room.
    fn refusal_of(&self, rank: Rank, now: Instant) -> NotRun {
        self.not_run_of(self.shortage(now), rank, now)
    }

    fn not_run_of(&self, reason: NotRunReason, rank: Rank, now: Instant) -> NotRun {
        let retry_after = match reason {
            // Another instance may accept it immediately.
            NotRunReason::Leaving
            | NotRunReason::WrongVersion
            | NotRunReason::Unreachable
            | NotRunReason::Evacuated => self.cfg.min_retry_after,
            _ => self.expected_wait_at(self.queue.len(), rank, Length::Long, now),
        };
        NotRun {
            reason,
            retry_after: Some(
                retry_after.clamp(self.cfg.min_retry_after, self.cfg.max_retry_after),
            ),
        }
    }

    /// Sets whether slots are kept free for more urgent ranks. Call [`Self::next`] afterwards.
    pub fn set_keeps_slots(&mut self, keeps_slots: bool) {
        self.keeps_slots = keeps_slots;
    }

    /// Returns the number of slots that requests of this rank leave free for more urgent ones.
    #[must_use]
    pub fn kept_slots(&self, rank: Rank, now: Instant) -> u32 {
        if self.keeps_slots {
            self.reserve.kept_from(rank, self.cfg.slots, now)
        } else {
            0
        }
    }

    /// Returns the number of slots that requests of this rank may use.
    fn usable_slots(&self, rank: Rank, now: Instant) -> u32 {
        self.cfg.slots.saturating_sub(self.kept_slots(rank, now))
    }

    /// Whether a request of this rank may start now: a slot is free that need not be kept for more
    /// urgent ones, and the limit of the instance allows it.
    fn can_start(&self, rank: Rank, now: Instant) -> bool {
        self.running < self.usable_slots(rank, now) && self.limiter.wait(0, now).is_zero()
    }

    fn start(&mut self, rank: Rank, now: Instant) {
        self.running += 1;
        self.reserve.started(rank);
        self.limiter.record_start(now);
    }

    /// Returns the expected time until the request at this queue position starts. For long requests it
    /// includes the short ones that arrive later and overtake them.
    fn expected_wait_at(
        &self,
        position: usize,
        rank: Rank,
        length: Length,
        now: Instant,
    ) -> Duration {
        let wait = self.slot_wait(position, self.usable_slots(rank, now));
        let wait = match length {
            Length::Short => wait,
            Length::Long => {
                wait.mul_f64(self.wait_ratio.value() / (1.0 - self.service_times.short_share()))
            }
        };
        wait.max(self.limiter.wait(position, now))
    }

    /// Returns the expected time until the request at this queue position gets one of `slots`, if no
    /// other overtakes it.
    fn slot_wait(&self, position: usize, slots: u32) -> Duration {
        let ahead = u32::try_from(position).unwrap_or(u32::MAX);
        let slots_needed = ahead
            .saturating_add(1)
            .saturating_add(self.running)
            .saturating_sub(slots);
        self.service_times.mean().saturating_mul(slots_needed) / slots.max(1)
    }
}
