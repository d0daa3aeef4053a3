//! The model: several callers and upstreams over a network that loses, delays, crosses and repeats messages,
//! with daemons that are killed and frozen. The runs are counted at the upstreams.

mod faults;

use std::collections::BTreeMap;
use std::time::Instant;

use base::FastSet;
use base::Incarnation;
use ledger::Idempotency;
use protocol::call::AttemptId;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use protocol::call::ResolveRequest;

use crate::attempt_table::AttemptTable;
use crate::attempt_table::AttemptTableLimits;
use crate::attempt_table::Begin;
use crate::attempt_table::Completion;
use crate::attempt_table::Refusal;
use crate::attempt_table::Resolution;
use crate::attempts::Action;
use crate::attempts::AttemptIndex;
use crate::attempts::CallPlan;
use crate::attempts::CallStateMachine;
use crate::attempts::Event;
use crate::attempts::FinalOutcome;
use crate::attempts::Permit;
use crate::attempts::Reply;
use crate::budget::RetryBudget;
use crate::budget::RetryBudgetConfig;
use crate::tests::ms;

const CALLERS: usize = 2;
const UPSTREAMS: usize = 3;
const RETRY_BURST: u64 = 5;

/// Small, so that each bound is met.
const LIMITS: AttemptTableLimits = AttemptTableLimits {
    max_ended: 8,
    max_callers: CALLERS,
    max_answer_bytes: 3,
};

type CallIndex = usize;

pub(super) struct World {
    seed: u64,
    random: u64,
    now: Instant,
    callers: Vec<Caller>,
    upstreams: Vec<Upstream>,
    pub(super) calls: Vec<Call>,
    network: Vec<Message>,
    /// Runs by call, counted at the upstreams.
    runs: BTreeMap<CallIndex, u32>,
    /// Attempts that ran, and attempts that some daemon called "not run".
    ran: FastSet<AttemptId>,
    called_not_run: FastSet<AttemptId>,
}

struct Caller {
    incarnation: Incarnation,
    sequence: u64,
    budget: RetryBudget,
    calls: u64,
    sent: u64,
}

struct Upstream {
    incarnation: Incarnation,
    health: Health,
    table: AttemptTable<CallIndex>,
    queued: Vec<Sent>,
    running: Vec<Sent>,
    /// Questions that wait for the end of a running attempt.
    waiting: Vec<Sent>,
}

#[derive(Clone, Copy, PartialEq)]
enum Health {
    Good,
    Frozen,
}

pub(super) struct Call {
    caller: usize,
    caller_incarnation: Incarnation,
    repeat: Idempotency,
    machine: CallStateMachine,
    sent: BTreeMap<AttemptIndex, Sent>,
    pub(super) finals: Vec<FinalOutcome>,
}

/// An attempt with where it went.
#[derive(Debug, Clone)]
struct Sent {
    call: CallIndex,
    attempt: AttemptIndex,
    id: AttemptId,
    to: usize,
    /// Incarnation that the caller side takes the peer for; it may lag.
    believed: Incarnation,
    /// Incarnation at the other end of the connection.
    connected: Incarnation,
}

#[derive(Debug, Clone)]
enum Message {
    Call(Sent),
    Question(Sent),
    Reply(Sent, Told),
    Resolved(Sent, Told),
}

/// A reply with the call whose answer it carries.
#[derive(Debug, Clone)]
struct Told(Reply, Option<CallIndex>);

impl World {
    pub(super) fn new(seed: u64) -> Self {
        let now = Instant::now();
        let cfg = RetryBudgetConfig {
            per_thousand: 100,
            floor_per_second: 0,
            burst: RETRY_BURST,
        };
        let caller = |_| Caller {
            incarnation: 1,
            sequence: 0,
            budget: RetryBudget::new(cfg, now),
            calls: 0,
            sent: 0,
        };
        Self {
            seed,
            random: seed,
            now,
            callers: (0..CALLERS).map(caller).collect(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::new(1)).collect(),
            calls: Vec::new(),
            network: Vec::new(),
            runs: BTreeMap::new(),
            ran: FastSet::default(),
            called_not_run: FastSet::default(),
        }
    }

    /// `SplitMix64`.
    fn draw(&mut self, below: usize) -> usize {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        usize::try_from((mixed ^ (mixed >> 31)) % below as u64).unwrap()
    }

    pub(super) fn step(&mut self) {
        match self.draw(200) {
            0..14 => self.start_call(),
            94..97 => self.cut(),
            97..100 => self.lose_sight(),
            100..103 => self.repeat_message(),
            103..141 => self.start_queued(),
            141..174 => self.end_running(),
            174..186 => self.refuse_queued(),
            186..187 => self.kill_upstream(),
            187..188 => self.kill_caller(),
            188..191 => self.freeze_or_thaw(),
            191..195 => self.timer(),
            // Most steps move a message, so that calls get on.
            _ => self.deliver(),
        }
    }

    fn start_call(&mut self) {
        let caller = self.draw(CALLERS);
        let repeat = match self.draw(3) {
            0 => Idempotency::Idempotent,
            _ => Idempotency::AtMostOnce,
        };
        let plan = CallPlan {
            repeat,
            deadline: self.now + ms(1000),
            max_attempts: 4,
            retry_after: ms(10),
        };
        self.callers[caller].calls += 1;
        let (machine, actions) = CallStateMachine::start(plan, &mut self.callers[caller].budget);
        self.calls.push(Call {
            caller,
            caller_incarnation: self.callers[caller].incarnation,
            repeat,
            machine,
            sent: BTreeMap::new(),
            finals: Vec::new(),
        });
        self.carry_out(self.calls.len() - 1, actions);
    }

    fn event(&mut self, call: CallIndex, event: Event) {
        let it = &mut self.calls[call];
        if it.caller_incarnation != self.callers[it.caller].incarnation {
            return;
        }
        let budget = &mut self.callers[it.caller].budget;
        let actions = it.machine.on_event(event, budget, self.now);
        self.carry_out(call, actions);
    }

    fn carry_out(&mut self, call: CallIndex, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(attempt) => self.send(call, attempt),
                Action::Resolve(attempt) => {
                    let sent = self.calls[call].sent[&attempt].clone();
                    self.network.push(Message::Question(sent));
                }
                Action::Finish(end) => self.calls[call].finals.push(end),
                Action::Cancel(_) | Action::Stream(_) => {}
            }
        }
    }

    fn send(&mut self, call: CallIndex, attempt: AttemptIndex) {
        if self.draw(10) == 0 {
            return self.event(call, Event::ConnectFailed(attempt));
        }
        if self.calls[call].machine.permit_send(attempt) == Permit::Denied {
            return;
        }
        let to = self.draw(UPSTREAMS);
        let connected = self.upstreams[to].incarnation;
        let lag = self.draw(4) == 0;
        let caller = &mut self.callers[self.calls[call].caller];
        let id = AttemptId {
            caller: self.calls[call].caller.to_string().into(),
            incarnation: caller.incarnation,
            sequence: caller.sequence,
        };
        caller.sequence += 1;
        caller.sent += 1;
        let sent = Sent {
            call,
            attempt,
            id,
            to,
            believed: if lag { connected - 1 } else { connected },
            connected,
        };
        self.calls[call].sent.insert(attempt, sent.clone());
        self.network.push(Message::Call(sent));
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let index = self.draw(self.network.len());
        match self.network.swap_remove(index) {
            message @ (Message::Call(_) | Message::Question(_)) if self.is_frozen(&message) => {
                self.network.push(message);
            }
            Message::Call(sent) => self.arrive(sent),
            Message::Question(sent) => self.ask(sent),
            Message::Reply(sent, told) => {
                self.check_own_answer(&sent, &told);
                self.event(sent.call, Event::Replied(sent.attempt, told.0));
            }
            Message::Resolved(sent, told) => {
                self.check_own_answer(&sent, &told);
                self.event(sent.call, Event::Resolved(sent.attempt, told.0));
            }
        }
    }

    fn check_own_answer(&self, sent: &Sent, told: &Told) {
        assert!(
            told.1.is_none_or(|answer| answer == sent.call),
            "seed {}: the answer belongs to another call",
            self.seed
        );
    }

    fn is_frozen(&self, message: &Message) -> bool {
        let (Message::Call(sent) | Message::Question(sent)) = message else {
            return false;
        };
        self.upstreams[sent.to].health == Health::Frozen
    }

    fn arrive(&mut self, sent: Sent) {
        let upstream = &mut self.upstreams[sent.to];
        if upstream.incarnation == sent.connected {
            upstream.queued.push(sent);
        } else {
            self.event(sent.call, Event::ConnectionLost(sent.attempt));
        }
    }

    fn ask(&mut self, sent: Sent) {
        let question = ResolveRequest {
            attempt: sent.id.clone(),
            incarnation: sent.believed,
            remaining: ms(100),
        };
        let told = match self.upstreams[sent.to].table.resolve(&question) {
            Resolution::Fenced => Told(not_run(NotRunReason::GivenUp), None),
            Resolution::Finished(answer) => Told(Reply::Answered, Some(*answer)),
            Resolution::Unknown => Told(Reply::Unknown, None),
            Resolution::Running => {
                self.upstreams[sent.to].waiting.push(sent);
                return;
            }
        };
        self.say(Message::Resolved(sent, told));
    }

    fn say(&mut self, message: Message) {
        if let Message::Reply(sent, told) | Message::Resolved(sent, told) = &message
            && matches!(told.0, Reply::NotRun(_))
        {
            self.called_not_run.insert(sent.id.clone());
        }
        self.network.push(message);
    }

    fn start_queued(&mut self) {
        let to = self.draw(UPSTREAMS);
        let Some(sent) = self.take(to, |upstream| &mut upstream.queued) else {
            return;
        };
        let told = match self.upstreams[to].table.begin(&sent.id) {
            Begin::Run => None,
            Begin::Fenced | Begin::TableFull => Some(not_run(NotRunReason::GivenUp)),
            Begin::Duplicate | Begin::Evicted => Some(Reply::Unknown),
        };
        if let Some(reply) = told {
            return self.say(Message::Reply(sent, Told(reply, None)));
        }
        if self.draw(6) == 0 {
            self.upstreams[to]
                .table
                .finish(&sent.id, Completion::NotRun);
            self.tell_end(&sent, &Told(not_run(NotRunReason::UpstreamRefused), None));
            return;
        }
        *self.runs.entry(sent.call).or_default() += 1;
        self.ran.insert(sent.id.clone());
        self.upstreams[to].running.push(sent);
    }

    fn end_running(&mut self) {
        let to = self.draw(UPSTREAMS);
        let Some(sent) = self.take(to, |upstream| &mut upstream.running) else {
            return;
        };
        let answer = sent.call;
        let (ending, told) = if self.draw(12) == 0 {
            (Completion::NoAnswer, Told(Reply::Unknown, None))
        } else {
            let ending = Completion::Answered { answer, bytes: 1 };
            (ending, Told(Reply::Answered, Some(answer)))
        };
        self.upstreams[to].table.finish(&sent.id, ending);
        self.tell_end(&sent, &told);
    }

    fn tell_end(&mut self, sent: &Sent, told: &Told) {
        let waiting = std::mem::take(&mut self.upstreams[sent.to].waiting);
        let (asked, rest) = waiting.into_iter().partition(|other| other.id == sent.id);
        self.upstreams[sent.to].waiting = rest;
        for other in Vec::into_iter(asked) {
            self.say(Message::Resolved(other, told.clone()));
        }
        self.say(Message::Reply(sent.clone(), told.clone()));
    }

    /// Admission finds no room for a call.
    fn refuse_queued(&mut self) {
        let to = self.draw(UPSTREAMS);
        let Some(sent) = self.take(to, |upstream| &mut upstream.queued) else {
            return;
        };
        let reply = match self.upstreams[to].table.refuse(&sent.id) {
            Refusal::NotRun => not_run(NotRunReason::Overloaded),
            Refusal::Unknown => Reply::Unknown,
        };
        self.say(Message::Reply(sent, Told(reply, None)));
    }

    fn take(&mut self, to: usize, list: impl Fn(&mut Upstream) -> &mut Vec<Sent>) -> Option<Sent> {
        if self.upstreams[to].health == Health::Frozen {
            return None;
        }
        let len = list(&mut self.upstreams[to]).len();
        let index = self.draw(len.max(1));
        (len > 0).then(|| list(&mut self.upstreams[to]).swap_remove(index))
    }

    /// A message is lost with its connection; the caller side notices.
    fn timer(&mut self) {
        let Some((call, _)) = self.any_attempt() else {
            return;
        };
        let event = match self.draw(4) {
            0 => Event::DeadlinePassed,
            1 => Event::ClientDisconnected,
            _ => Event::HedgeDue,
        };
        self.event(call, event);
    }

    /// One of the latest attempts.
    fn any_attempt(&mut self) -> Option<(CallIndex, AttemptIndex)> {
        let latest = self.calls.len().min(6);
        if latest == 0 {
            return None;
        }
        let call = self.calls.len() - 1 - self.draw(latest);
        let attempts = self.calls[call].sent.len();
        (attempts > 0).then(|| (call, self.draw(attempts)))
    }

    pub(super) fn check(&self) {
        let seed = self.seed;
        for (index, call) in self.calls.iter().enumerate() {
            let runs = self.runs.get(&index).copied().unwrap_or(0);
            let is_once = call.repeat == Idempotency::AtMostOnce;
            assert!(
                !is_once || runs <= 1,
                "seed {seed}: call {index} ran {runs} times"
            );
            assert!(
                call.finals.len() <= 1,
                "seed {seed}: two ends of call {index}"
            );
            let is_refused = matches!(call.finals[..], [FinalOutcome::NotRun(_)]);
            let is_false = is_refused && runs > 0;
            let repeat = call.repeat;
            assert!(
                !is_false,
                "seed {seed}: {repeat:?} call {index} was called not run, but ran"
            );
        }
        let both = self.ran.intersection(&self.called_not_run).next();
        assert!(
            both.is_none(),
            "seed {seed}: {both:?} was called not run, but ran"
        );
        for caller in &self.callers {
            let allowed = RETRY_BURST + caller.calls / 10;
            let extra = caller.sent.saturating_sub(caller.calls);
            assert!(
                extra <= allowed,
                "seed {seed}: {extra} extra attempts of {allowed}"
            );
        }
    }

    pub(super) fn check_ends(&mut self) {
        for call in 0..self.calls.len() {
            self.event(call, Event::DeadlinePassed);
            let ends = self.calls[call].finals.len();
            assert_eq!(ends, 1, "seed {}: ends of call {call}", self.seed);
        }
    }
}

impl Upstream {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            health: Health::Good,
            table: AttemptTable::new(incarnation, LIMITS),
            queued: Vec::new(),
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }
}

fn not_run(reason: NotRunReason) -> Reply {
    Reply::NotRun(NotRun {
        reason,
        retry_after: None,
    })
}
