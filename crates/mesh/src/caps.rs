//! Usage caps of customers over all daemons together.
//!
//! One daemon at a time, the allocator, keeps a token bucket for each customer. A daemon that takes
//! a request spends a token, and gets tokens by asking the allocator. See
//! `docs/design/usage-caps.md`.
//!
//! - A token is valid for [`TOKEN_VALIDITY`] from the moment at which the asker sent its ask, so
//!   tokens of delayed answers and of daemons that stood still are worthless.
//! - With each ask a daemon promises its candidate not to promise another one for
//!   [`PROMISE_TIME`]. A candidate gives tokens only while a majority has promised, and begins with
//!   empty buckets. So the buckets of two allocators never fill at the same time.
//! - A daemon that has had no allocator for [`TOUCH_TIME`] uses its part of each cap. The allocator's
//!   buckets fill only by the parts of daemons that it has heard since.

pub mod allocator;
pub mod ballot;
pub mod holder;
pub mod local_share;
pub mod message;

use std::cmp::Reverse;
use std::time::Duration;

use base::DaemonId;
use base::FastMap;

use self::allocator::Allocator;
use self::ballot::Ballot;
use self::ballot::Effect;
use self::holder::Decision;
use self::holder::Holder;
use self::holder::Token;
use self::holder::Verdict;
use self::holder::WaiterId;
use self::local_share::LocalShares;
use self::message::Answer;
use self::message::Ask;
use self::message::CapMessage;
use self::message::Stamp;
use self::message::Standing;
use crate::config::ConfigVersion;
use crate::customers::Customer;
use crate::rate_limit::RequestRate;
use crate::wake::BootTime;
use crate::wire::Member;

/// Time for which a token is valid after its ask was sent. In any window the requests of a customer
/// exceed its rate and burst by what the allocator gave in this time before the window.
pub const TOKEN_VALIDITY: Duration = Duration::from_millis(300);

/// Time for which an ask binds its sender to one candidate.
pub const PROMISE_TIME: Duration = Duration::from_millis(800);

/// Time after the last answer of an allocator after which a daemon uses its own part of each cap.
pub const TOUCH_TIME: Duration = Duration::from_millis(800);

/// Time for which the allocator counts on a daemon whose ask echoes its stamp; shorter than
/// [`TOUCH_TIME`], which begins later.
pub const HEARD_TIME: Duration = Duration::from_millis(600);

/// Time between two asks of a daemon without requests that wait.
pub const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a waiting request is asked for again.
pub const ASK_AGAIN_TIME: Duration = Duration::from_millis(20);

/// Identifies a customer between daemons: a hash of its name, so that it is the same whatever
/// configuration they have.
pub type CapId = u64;

/// Usage cap of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cap {
    /// Requests a second that may run.
    pub rate: RequestRate,
    /// Requests that may run at once after a pause, beyond the rate.
    pub burst: u32,
}

impl Cap {
    /// Tokens that a bucket holds. A cap with a small burst still needs room for what fills between
    /// two asks.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.burst).max(1.0 + 0.1 * self.rate.per_sec())
    }
}

/// Returns the id of a customer.
#[must_use]
pub fn cap_id(name: &str) -> CapId {
    base::hash::stable(&[name.as_bytes()])
}

/// Caps of the customers by id; those without a cap are left out.
pub type CapTable = FastMap<CapId, Cap>;

/// The daemons, as far as caps depend on them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Number of known daemons, the own one included.
    pub members: usize,
    /// Number of daemons whose name precedes the own one.
    pub position: usize,
    /// Daemons that may allocate, the first one preferred.
    pub candidates: Vec<DaemonId>,
}

impl Fleet {
    /// Orders the members: the strongest ones allocate.
    #[must_use]
    pub fn new<'a>(own: &DaemonId, members: impl Iterator<Item = &'a Member>) -> Self {
        let members: Vec<&Member> = members.collect();
        let mut candidates: Vec<&Member> = members
            .iter()
            .copied()
            .filter(|member| member.is_open || member.daemon == *own)
            .collect();
        candidates.sort_by_key(|member| (Reverse(member.strength), &member.daemon));
        Self {
            members: members.len(),
            position: members.iter().filter(|member| member.daemon < *own).count(),
            candidates: candidates
                .into_iter()
                .map(|member| member.daemon.clone())
                .collect(),
        }
    }
}

/// What a request of a customer gets, and what a daemon must do for it.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run; the token goes back if it does not.
    Granted(Token),
    /// It waits for an answer of the allocator.
    Waits(WaiterId),
    /// The customer has spent its cap; a token may be free after this time.
    OverCap(Duration),
    /// No allocator answers, and the daemon's own part of the cap is spent.
    NoAllocator(Duration),
}

/// Time after which a request may return that found no allocator: a new one takes over in about that
/// time.
const NO_ALLOCATOR_RETRY: Duration = Duration::from_millis(400);

/// Caps of one daemon: its tokens, its promises, and the buckets if it is the allocator.
#[derive(Debug)]
pub struct UsageCaps {
    own: DaemonId,
    config: ConfigVersion,
    table: CapTable,
    fleet: Fleet,
    allocator: Allocator,
    ballot: Ballot,
    holder: Holder,
    shares: LocalShares,
}

impl UsageCaps {
    /// State of a daemon whose process has just started. `life` differs in each of its processes.
    #[must_use]
    pub fn new(own: DaemonId, life: u64, now: BootTime) -> Self {
        Self {
            ballot: Ballot::new(now),
            own,
            config: 0,
            table: CapTable::default(),
            fleet: Fleet::default(),
            allocator: Allocator::new(life),
            holder: Holder::default(),
            shares: LocalShares::default(),
        }
    }

    /// Takes the caps of a configuration into force.
    pub fn set_config(
        &mut self,
        version: ConfigVersion,
        customers: Option<&[Customer]>,
        now: BootTime,
    ) {
        let capped = customers
            .unwrap_or_default()
            .iter()
            .filter_map(|customer| Some((cap_id(&customer.name), customer.cap?)));
        self.set_table(version, capped.collect(), now);
    }

    /// Takes these caps into force.
    pub fn set_table(&mut self, version: ConfigVersion, table: CapTable, now: BootTime) {
        self.allocator.set_caps(&self.table, &table, now);
        self.config = version;
        self.table = table;
    }

    /// Records which daemons there are.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = fleet;
    }

    /// Returns the cap of a customer; `None` without one.
    #[must_use]
    pub fn cap(&self, id: CapId) -> Option<Cap> {
        self.table.get(&id).copied()
    }

    /// Whether any customer has a cap. Without, daemons exchange nothing.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        !self.table.is_empty()
    }

    /// Whether this daemon gives tokens to others.
    #[must_use]
    pub fn is_allocator(&self, now: BootTime) -> bool {
        self.allocator.leads(now)
    }

    /// Returns the allocator that answered within [`TOUCH_TIME`].
    #[must_use]
    pub fn known_allocator(&self, now: BootTime) -> Option<&DaemonId> {
        self.ballot.leader(now)
    }

    /// Decides on a request of a customer with this cap. `random` is uniformly distributed.
    pub fn request(&mut self, id: CapId, random: u64, now: BootTime) -> Admission {
        let Some(cap) = self.cap(id) else {
            return Admission::Granted(Token::unlimited(id));
        };
        if let Some(token) = self.holder.take(id, now) {
            return Admission::Granted(token);
        }
        if let Some(time) = self.ballot.time_out_of_touch(now) {
            let granted = self
                .shares
                .take(id, cap, &self.fleet, time)
                .then(|| Token::local(id));
            return match granted {
                Some(token) => Admission::Granted(token),
                None => Admission::NoAllocator(spread(NO_ALLOCATOR_RETRY, random)),
            };
        }
        match self.holder.wait(id, now) {
            Decision::Waits(waiter) => Admission::Waits(waiter),
            Decision::OverCap(after) => Admission::OverCap(spread(after, random)),
        }
    }

    /// Ends the wait of a request. Returns why it may not run.
    pub fn give_up(&mut self, id: CapId, waiter: WaiterId, random: u64) -> Admission {
        self.holder.remove(id, waiter);
        Admission::NoAllocator(spread(NO_ALLOCATOR_RETRY, random))
    }

    /// Takes a token back whose request did not run.
    pub fn give_back(&mut self, token: &Token, now: BootTime) {
        match token.expires {
            Some(_) => self.holder.give_back(token, now),
            None => self.shares.give_back(token.id),
        }
    }

    /// Returns the ask to send now, and to whom; `None` if none is due.
    pub fn next_ask(&mut self, now: BootTime) -> Option<(DaemonId, Ask)> {
        if !self.is_needed() || !self.holder.is_ask_due(now) {
            return None;
        }
        let pledge = self.ballot.pledge(&self.own, &self.fleet.candidates, now)?;
        let (seq, wants) = self.holder.start_ask(now);
        self.ballot.record_ask(&pledge.to, seq, now);
        let ask = Ask {
            from: self.own.clone(),
            seq,
            config: self.config,
            members: u32::try_from(self.fleet.members).unwrap_or(u32::MAX),
            promises: pledge.promises,
            echo: pledge.echo,
            wants,
        };
        Some((pledge.to, ask))
    }

    /// Returns when the next ask is due if no request comes.
    #[must_use]
    pub fn next_ask_at(&self) -> BootTime {
        self.holder.next_round()
    }

    /// Answers the ask of a daemon, possibly of this one.
    pub fn answer(&mut self, ask: &Ask, now: BootTime) -> Answer {
        let standing = self
            .allocator
            .answer(ask, &self.table, self.fleet.members, now);
        let standing = match standing {
            Standing::Follows(_) => Standing::Follows(self.ballot.leader(now).cloned()),
            Standing::Resigned(_) => Standing::Resigned(self.ballot.leader(now).cloned()),
            leads @ Standing::Leads(_) => leads,
        };
        Answer {
            seq: ask.seq,
            stamp: self.allocator.stamp(now),
            config: self.config,
            standing,
        }
    }

    /// Records an answer. Returns the waiting requests that it decides.
    pub fn record_answer(
        &mut self,
        answer: &Answer,
        random: u64,
        now: BootTime,
    ) -> Vec<(WaiterId, Admission)> {
        if self.ballot.record_answer(answer, now) == Effect::AskNow {
            self.holder.hurry();
        }
        let Standing::Leads(grants) = &answer.standing else {
            return Vec::new();
        };
        let verdicts = self.holder.record_grants(answer.seq, grants, now);
        let mut random = random;
        let decide = |(waiter, verdict)| {
            // The requests of one answer return at different times.
            random = base::hash::stable(&[&random.to_be_bytes()]);
            let admission = match verdict {
                Verdict::Granted(token) => Admission::Granted(token),
                Verdict::OverCap(after) => Admission::OverCap(spread(after, random)),
                Verdict::NoAllocator => Admission::NoAllocator(spread(NO_ALLOCATOR_RETRY, random)),
            };
            (waiter, admission)
        };
        verdicts.into_iter().map(decide).collect()
    }

    /// Gives no more tokens to others, ever: the process stops. Returns what to tell all daemons if it
    /// gave some until now.
    pub fn resign(&mut self, now: BootTime) -> Option<CapMessage> {
        let led = self.is_allocator(now);
        self.allocator.resign();
        led.then(|| CapMessage::Resigned(self.own.clone(), self.allocator.stamp(now)))
    }

    /// Records that a process will never give tokens again.
    pub fn record_resignation(&mut self, from: &DaemonId, stamp: Stamp, now: BootTime) {
        let effect = self.ballot.record_resignation(from, stamp.life, now);
        if effect == Effect::AskNow {
            self.holder.hurry();
        }
    }
}

/// Shortest time after which a refused request returns.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// Returns a time between `after` and twice of it, so that refused requests do not return together.
fn spread(after: Duration, random: u64) -> Duration {
    let after = after.max(MIN_RETRY);
    let part = u32::try_from(random >> 54).unwrap_or(0);
    after + after * part / 1024
}
