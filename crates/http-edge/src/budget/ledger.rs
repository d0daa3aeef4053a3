//! Decides who may take memory and who is evicted, without any waiting.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::FastMap;

use crate::budget::BudgetLimits;
use crate::budget::CONNECTION_BYTES;
use crate::budget::SMALL_BODY_BYTES;
use crate::budget::account::AccountState;
use crate::budget::account::Eviction;

/// Part of the memory that requests with large bodies may take, in eighths.
const LARGE_EIGHTHS: usize = 7;

/// Part of the memory up to which answers that nobody reads are kept, in quarters.
const UNREAD_QUARTERS: usize = 3;

/// Part of the memory that answers may take from their arrival until they are written, in quarters.
const ARRIVING_QUARTERS: usize = 1;

/// Time without a byte written after which the client of an answer counts as not reading.
const UNREAD_TIME: Duration = Duration::from_millis(5);

/// Connections beyond the limit that may be open for a moment while others close.
pub(super) const MAX_CLOSING: usize = 32;

/// Whether the body of a request is large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Size {
    Small,
    Large,
}

impl Size {
    /// Returns the class of a request whose body takes that many bytes.
    pub(crate) fn of_body(bytes: usize) -> Self {
        if bytes > SMALL_BODY_BYTES {
            Self::Large
        } else {
            Self::Small
        }
    }
}

/// Answer to a request for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    Granted,
    /// Evicted requests will give back enough.
    Wait,
    Refused,
}

/// What is taken of a budget, and counts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetStats {
    /// Bytes that requests and connections take.
    pub used_bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Incomplete requests that were evicted for others.
    pub evicted: u64,
    /// Requests that found no room.
    pub refused: u64,
    /// Connections that were closed for others.
    pub closed: u64,
}

/// Bytes in total, and those of large bodies.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Bytes {
    pub(super) all: usize,
    pub(super) large: usize,
}

impl Bytes {
    fn of(size: Size, bytes: usize) -> Self {
        Self {
            all: bytes,
            large: if size == Size::Large { bytes } else { 0 },
        }
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            all: self.all + other.all,
            large: self.large + other.large,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            all: self.all.saturating_sub(other.all),
            large: self.large.saturating_sub(other.large),
        }
    }
}

pub(super) struct Ledger {
    limits: BudgetLimits,
    used: Bytes,
    /// Part of `used` that evicted requests have still to give back.
    leaving: Bytes,
    /// Part of `used` of answers that are not being written yet.
    arriving: usize,
    /// Part of `used` of answers that are being written.
    answers: usize,
    accounts: FastMap<u64, Rc<AccountState>>,
    last_id: u64,
    stats: BudgetStats,
}

impl Ledger {
    pub(super) fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            used: Bytes::default(),
            leaving: Bytes::default(),
            arriving: 0,
            answers: 0,
            accounts: FastMap::default(),
            last_id: 0,
            stats: BudgetStats::default(),
        }
    }

    pub(super) fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    pub(super) fn stats(&self) -> BudgetStats {
        BudgetStats {
            used_bytes: self.used.all,
            connections: self.accounts.len(),
            ..self.stats
        }
    }

    pub(super) fn has_room(&self, body_bytes: usize) -> bool {
        let more = Bytes::of(Size::of_body(body_bytes), body_bytes);
        self.fits(self.used.plus(more))
    }

    /// Opens an account for a connection; `None` if there are too many and none can be closed.
    pub(super) fn open(&mut self, is_kept: bool) -> Option<(u64, Rc<AccountState>)> {
        if self.accounts.len() >= self.limits.max_connections {
            self.close_oldest()?;
        }
        self.last_id += 1;
        let state = Rc::new(AccountState::new(is_kept, Instant::now()));
        self.accounts.insert(self.last_id, Rc::clone(&state));
        self.used.all += CONNECTION_BYTES;
        Some((self.last_id, state))
    }

    /// Closes the connection that has been idle or stalled longest, one that was evicted before and one
    /// that is kept after the others,
    /// unless enough are closing already; `None` if requests run on all others.
    fn close_oldest(&mut self) -> Option<()> {
        if self.accounts.len() >= self.limits.max_connections + MAX_CLOSING {
            return None;
        }
        let staying = || self.accounts.values().filter(|state| !state.is_closing());
        if staying().count() < self.limits.max_connections {
            return Some(());
        }
        let oldest = staying()
            .filter(|state| !state.is_running())
            .min_by_key(|state| (!state.is_evicted(), state.is_kept(), state.progressed_at()));
        let oldest = Rc::clone(oldest?);
        self.evict(&oldest, Eviction::Connections);
        Some(())
    }

    /// Closes the account of a connection; what its request holds has been given back.
    pub(super) fn close(&mut self, id: u64) {
        self.accounts.remove(&id);
        self.used.all -= CONNECTION_BYTES;
    }

    /// Grants memory to a request, or evicts another one for it.
    pub(super) fn take(&mut self, state: &Rc<AccountState>, size: Size, bytes: usize) -> Step {
        if state.is_evicted() {
            return Step::Refused;
        }
        let more = Bytes::of(size, bytes);
        if self.fits(self.used.plus(more)) {
            self.used = self.used.plus(more);
            state.add(more);
            return Step::Granted;
        }
        while !self.fits(self.used.minus(self.leaving).plus(more)) {
            let needs_all = self.used.minus(self.leaving).all + more.all > self.limits.max_bytes;
            let largest = self.largest(needs_all);
            let Some(largest) = largest.filter(|other| !Rc::ptr_eq(other, state)) else {
                self.stats.refused += 1;
                return Step::Refused;
            };
            self.evict(&largest, Eviction::Memory);
        }
        Step::Wait
    }

    /// Charges an answer, and evicts others for it.
    pub(super) fn hold_answer(&mut self, state: &Rc<AccountState>, bytes: usize) {
        self.used.all += bytes;
        self.answers += bytes;
        state.set_answer(bytes);
        self.evict_unread(0);
        while self.used.minus(self.leaving).all > self.limits.max_bytes {
            let largest = self.largest(true);
            let Some(largest) = largest.filter(|other| !Rc::ptr_eq(other, state)) else {
                return;
            };
            self.evict(&largest, Eviction::Memory);
        }
    }

    /// Charges an answer before it is read, and evicts others for it; false if it has to wait until there is room.
    /// After it has waited, those that hold memory are written, if slowly, and more of it may be taken. If only
    /// requests hold memory, one answer is always admitted, since they may wait for it.
    pub(super) fn begin_arrival(&mut self, bytes: usize, has_waited: bool) -> bool {
        let max_arriving = self.limits.max_bytes / 4 * ARRIVING_QUARTERS;
        if self.arriving > 0 && self.arriving + bytes > max_arriving {
            return false;
        }
        self.evict_unread(bytes);
        let max = if has_waited {
            self.limits.max_bytes
        } else {
            self.max_with_unread()
        };
        let has_answers = self.arriving > 0 || self.answers > 0 || self.leaving.all > 0;
        if has_answers && self.used.all + bytes > max {
            return false;
        }
        self.arriving += bytes;
        self.used.all += bytes;
        true
    }

    /// Gives back memory of an answer that is written or dropped.
    pub(super) fn release_arrival(&mut self, bytes: usize) {
        self.arriving -= bytes;
        self.used.all -= bytes;
    }

    /// Evicts answers that nobody reads until so many more bytes find room beside the others.
    fn evict_unread(&mut self, bytes: usize) {
        while self.used.minus(self.leaving).all + bytes > self.max_with_unread() {
            let Some(unread) = self.longest_unread() else {
                return;
            };
            self.evict(&unread, Eviction::Memory);
        }
    }

    /// Returns up to how many bytes answers that nobody reads are kept.
    fn max_with_unread(&self) -> usize {
        self.limits.max_bytes / 4 * UNREAD_QUARTERS
    }

    /// Gives back memory of an answer.
    pub(super) fn release_answer(&mut self, state: &AccountState) {
        let answer = Bytes::of(Size::Small, state.answer());
        self.answers -= answer.all;
        state.set_answer(0);
        self.used = self.used.minus(answer);
        if state.is_evicted() {
            self.leaving = self.leaving.minus(answer);
        }
    }

    /// Gives back memory of an incomplete request.
    pub(super) fn release(&mut self, state: &AccountState) {
        let held = self.detach(state);
        self.give_back(held);
    }

    /// Makes the memory of a request that is whole independent of its account.
    pub(super) fn detach(&mut self, state: &AccountState) -> Bytes {
        let held = state.take_held();
        if state.is_evicted() {
            self.leaving = self.leaving.minus(held);
        }
        held
    }

    /// Gives back memory of a request that was whole.
    pub(super) fn give_back(&mut self, held: Bytes) {
        self.used = self.used.minus(held);
    }

    fn fits(&self, bytes: Bytes) -> bool {
        let max = self.limits.max_bytes;
        bytes.all <= max && bytes.large <= max / 8 * LARGE_EIGHTHS
    }

    /// Returns the connection whose incomplete request, and answer that its client does not read, hold the
    /// most; without regard to those that hold nothing of a large body unless all count.
    fn largest(&self, all_count: bool) -> Option<Rc<AccountState>> {
        let now = Instant::now();
        let held = |state: &AccountState| {
            let is_unread = now.duration_since(state.progressed_at()) >= UNREAD_TIME;
            let answer = if is_unread { state.answer() } else { 0 };
            state.held().plus(Bytes::of(Size::Small, answer))
        };
        let largest = self
            .evictable()
            .map(|state| (held(state), state))
            .filter(|(held, _)| held.large > 0 || (all_count && held.all > 0))
            .max_by_key(|(held, state)| (held.all, Reverse(state.progressed_at())));
        largest.map(|(_, state)| Rc::clone(state))
    }

    /// Returns the connection whose client has read nothing of its answer for longest: one that reads slowly goes
    /// after those that do not read.
    fn longest_unread(&self) -> Option<Rc<AccountState>> {
        let now = Instant::now();
        let unread = self.evictable().filter(|state| {
            state.answer() > 0 && now.duration_since(state.progressed_at()) >= UNREAD_TIME
        });
        unread
            .min_by_key(|state| state.progressed_at())
            .map(Rc::clone)
    }

    fn evictable(&self) -> impl Iterator<Item = &Rc<AccountState>> {
        self.accounts.values().filter(|state| !state.is_evicted())
    }

    fn evict(&mut self, state: &AccountState, eviction: Eviction) {
        if !state.is_evicted() {
            let answer = Bytes::of(Size::Small, state.answer());
            self.leaving = self.leaving.plus(state.held()).plus(answer);
        }
        match eviction {
            Eviction::Memory => self.stats.evicted += 1,
            Eviction::Connections => self.stats.closed += 1,
        }
        state.evict(eviction);
    }
}
