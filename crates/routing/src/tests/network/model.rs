//! Model of several callers and upstreams, whose daemons restart and freeze, over a network that
//! loses, delays, reorders and duplicates messages. Runs are counted at the upstreams.

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

/// Small limits, so that each of them is reached.
const LIMITS: AttemptTableLimits = AttemptTableLimits {
    max_ended: 8,
    max_callers: CALLERS,
    max_answer_bytes: 3,
};

type CallIndex = usize;

pub(super) struct ClusterModel {
    seed: u64,
    random: u64,
    now: Instant,
    callers: Vec<Caller>,
    upstreams: Vec<Upstream>,
    pub(super) calls: Vec<Call>,
    network: Vec<Message>,
    /// Number of runs of each call, counted at the upstreams.
    runs: BTreeMap<CallIndex, u32>,
    /// Attempts that ran; disjoint from those that any daemon reported as not run.
    ran: FastSet<AttemptId>,
    reported_not_run: FastSet<AttemptId>,
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
    /// Resolve requests that wait for the end of a running attempt.
    resolves: Vec<Sent>,
}

#[derive(Clone, Copy, PartialEq)]
enum Health {
    Responsive,
    Frozen,
}

pub(super) struct Call {
    caller: usize,
    caller_incarnation: Incarnation,
    repeat: Idempotency,
    machine: CallStateMachine,
    sent: BTreeMap<AttemptIndex, Sent>,
    pub(super) outcomes: Vec<FinalOutcome>,
}

/// An attempt and the upstream that it was sent to.
#[derive(Debug, Clone)]
struct Sent {
    call: CallIndex,
    attempt: AttemptIndex,
    id: AttemptId,
    to: usize,
    /// Incarnation of the peer according to the caller, which may be out of date.
    assumed: Incarnation,
    /// Incarnation of the peer at the other end of the connection.
    connected: Incarnation,
}

#[derive(Debug, Clone)]
enum Message {
    Call(Sent),
    ResolveQuery(Sent),
    Reply(Sent, Response),
    ResolveReply(Sent, Response),
}

/// A reply, and the call whose answer it carries.
#[derive(Debug, Clone)]
struct Response(Reply, Option<CallIndex>);

impl ClusterModel {
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
            reported_not_run: FastSet::default(),
        }
    }

    /// Returns a random number below `below` (`SplitMix64`).
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
            94..97 => self.drop_message(),
            97..100 => self.abandon_connection(),
            100..103 => self.duplicate_message(),
            103..141 => self.start_queued(),
            141..174 => self.end_running(),
            174..186 => self.refuse_queued(),
            186..187 => self.restart_upstream(),
            187..188 => self.restart_caller(),
            188..191 => self.toggle_freeze(),
            191..195 => self.fire_timer(),
            // Most steps deliver a message, so that calls make progress.
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
            outcomes: Vec::new(),
        });
        self.execute(self.calls.len() - 1, actions);
    }

    fn handle_event(&mut self, call: CallIndex, event: Event) {
        let state = &mut self.calls[call];
        if state.caller_incarnation != self.callers[state.caller].incarnation {
            return;
        }
        let budget = &mut self.callers[state.caller].budget;
        let actions = state.machine.on_event(event, budget, self.now);
        self.execute(call, actions);
    }

    fn execute(&mut self, call: CallIndex, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(attempt) => self.send(call, attempt),
                Action::Resolve(attempt) => {
                    let sent = self.calls[call].sent[&attempt].clone();
                    self.network.push(Message::ResolveQuery(sent));
                }
                Action::Finish(end) => self.calls[call].outcomes.push(end),
                Action::Cancel(_) | Action::Stream(_) => {}
            }
        }
    }

    fn send(&mut self, call: CallIndex, attempt: AttemptIndex) {
        if self.draw(10) == 0 {
            return self.handle_event(call, Event::ConnectFailed(attempt));
        }
        if self.calls[call].machine.permit_send(attempt) == Permit::Denied {
            return;
        }
        let to = self.draw(UPSTREAMS);
        let connected = self.upstreams[to].incarnation;
        let is_stale = self.draw(4) == 0;
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
            assumed: if is_stale { connected - 1 } else { connected },
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
            message @ (Message::Call(_) | Message::ResolveQuery(_)) if self.is_frozen(&message) => {
                self.network.push(message);
            }
            Message::Call(sent) => self.accept_call(sent),
            Message::ResolveQuery(sent) => self.answer_resolve(sent),
            Message::Reply(sent, response) => {
                self.check_answer_matches_call(&sent, &response);
                self.handle_event(sent.call, Event::Replied(sent.attempt, response.0));
            }
            Message::ResolveReply(sent, response) => {
                self.check_answer_matches_call(&sent, &response);
                self.handle_event(sent.call, Event::Resolved(sent.attempt, response.0));
            }
        }
    }

    fn check_answer_matches_call(&self, sent: &Sent, response: &Response) {
        assert!(
            response.1.is_none_or(|answer| answer == sent.call),
            "seed {}: the answer belongs to another call",
            self.seed
        );
    }

    fn is_frozen(&self, message: &Message) -> bool {
        let (Message::Call(sent) | Message::ResolveQuery(sent)) = message else {
            return false;
        };
        self.upstreams[sent.to].health == Health::Frozen
    }

    fn accept_call(&mut self, sent: Sent) {
        let upstream = &mut self.upstreams[sent.to];
        if upstream.incarnation == sent.connected {
            upstream.queued.push(sent);
        } else {
            self.handle_event(sent.call, Event::ConnectionLost(sent.attempt));
        }
    }

    fn answer_resolve(&mut self, sent: Sent) {
        let request = ResolveRequest {
            attempt: sent.id.clone(),
            incarnation: sent.assumed,
            remaining: ms(100),
        };
        let response = match self.upstreams[sent.to].table.resolve(&request) {
            Resolution::Fenced => Response(not_run(NotRunReason::GivenUp), None),
            Resolution::Finished(answer) => Response(Reply::Answered, Some(*answer)),
            Resolution::Unknown => Response(Reply::Unknown, None),
            Resolution::Running => {
                self.upstreams[sent.to].resolves.push(sent);
                return;
            }
        };
        self.send_to_caller(Message::ResolveReply(sent, response));
    }

    fn send_to_caller(&mut self, message: Message) {
        if let Message::Reply(sent, response) | Message::ResolveReply(sent, response) = &message
            && matches!(response.0, Reply::NotRun(_))
        {
            self.reported_not_run.insert(sent.id.clone());
        }
        self.network.push(message);
    }

    fn start_queued(&mut self) {
        let to = self.draw(UPSTREAMS);
        let Some(sent) = self.take(to, |upstream| &mut upstream.queued) else {
            return;
        };
        let response = match self.upstreams[to].table.begin(&sent.id) {
            Begin::Run => None,
            Begin::Fenced | Begin::TableFull => Some(not_run(NotRunReason::GivenUp)),
            Begin::Duplicate | Begin::BelowWatermark => Some(Reply::Unknown),
        };
        if let Some(reply) = response {
            return self.send_to_caller(Message::Reply(sent, Response(reply, None)));
        }
        if self.draw(6) == 0 {
            self.upstreams[to]
                .table
                .finish(&sent.id, Completion::NotRun);
            self.send_end(
                &sent,
                &Response(not_run(NotRunReason::UpstreamRefused), None),
            );
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
        let (completion, response) = if self.draw(12) == 0 {
            (Completion::NoAnswer, Response(Reply::Unknown, None))
        } else {
            let completion = Completion::Answered { answer, bytes: 1 };
            (completion, Response(Reply::Answered, Some(answer)))
        };
        self.upstreams[to].table.finish(&sent.id, completion);
        self.send_end(&sent, &response);
    }

    fn send_end(&mut self, sent: &Sent, response: &Response) {
        let resolves = std::mem::take(&mut self.upstreams[sent.to].resolves);
        let (matching, rest) = resolves.into_iter().partition(|other| other.id == sent.id);
        self.upstreams[sent.to].resolves = rest;
        for other in Vec::into_iter(matching) {
            self.send_to_caller(Message::ResolveReply(other, response.clone()));
        }
        self.send_to_caller(Message::Reply(sent.clone(), response.clone()));
    }

    /// Refuses a queued attempt, as admission control does under overload.
    fn refuse_queued(&mut self) {
        let to = self.draw(UPSTREAMS);
        let Some(sent) = self.take(to, |upstream| &mut upstream.queued) else {
            return;
        };
        let reply = match self.upstreams[to].table.refuse(&sent.id) {
            Refusal::NotRun => not_run(NotRunReason::Overloaded),
            Refusal::Unknown => Reply::Unknown,
        };
        self.send_to_caller(Message::Reply(sent, Response(reply, None)));
    }

    fn take(&mut self, to: usize, list: impl Fn(&mut Upstream) -> &mut Vec<Sent>) -> Option<Sent> {
        if self.upstreams[to].health == Health::Frozen {
            return None;
        }
        let len = list(&mut self.upstreams[to]).len();
        let index = self.draw(len.max(1));
        (len > 0).then(|| list(&mut self.upstreams[to]).swap_remove(index))
    }

    /// Fires the deadline or the hedge timer of a recent call, or disconnects its client.
    fn fire_timer(&mut self) {
        let Some((call, _)) = self.any_attempt() else {
            return;
        };
        let event = match self.draw(4) {
            0 => Event::DeadlinePassed,
            1 => Event::ClientDisconnected,
            _ => Event::HedgeDue,
        };
        self.handle_event(call, event);
    }

    /// Picks an attempt of one of the six latest calls.
    fn any_attempt(&mut self) -> Option<(CallIndex, AttemptIndex)> {
        let latest = self.calls.len().min(6);
        if latest == 0 {
            return None;
        }
        let call = self.calls.len() - 1 - self.draw(latest);
        let attempts = self.calls[call].sent.len();
        (attempts > 0).then(|| (call, self.draw(attempts)))
    }

    pub(super) fn check_invariants(&self) {
        let seed = self.seed;
        for (index, call) in self.calls.iter().enumerate() {
            let runs = self.runs.get(&index).copied().unwrap_or(0);
            let is_at_most_once = call.repeat == Idempotency::AtMostOnce;
            assert!(
                !is_at_most_once || runs <= 1,
                "seed {seed}: call {index} ran {runs} times"
            );
            assert!(
                call.outcomes.len() <= 1,
                "seed {seed}: call {index} has more than one outcome"
            );
            let is_refused = matches!(call.outcomes[..], [FinalOutcome::NotRun(_)]);
            let is_contradiction = is_refused && runs > 0;
            let repeat = call.repeat;
            assert!(
                !is_contradiction,
                "seed {seed}: {repeat:?} call {index} was reported as not run, but ran"
            );
        }
        let contradiction = self.ran.intersection(&self.reported_not_run).next();
        assert!(
            contradiction.is_none(),
            "seed {seed}: {contradiction:?} was reported as not run, but ran"
        );
        for caller in &self.callers {
            let allowed = RETRY_BURST + caller.calls / 10;
            let extra = caller.sent.saturating_sub(caller.calls);
            assert!(
                extra <= allowed,
                "seed {seed}: {extra} extra attempts, {allowed} allowed"
            );
        }
    }

    pub(super) fn finish_calls(&mut self) {
        for call in 0..self.calls.len() {
            self.handle_event(call, Event::DeadlinePassed);
            let count = self.calls[call].outcomes.len();
            assert_eq!(count, 1, "seed {}: outcomes of call {call}", self.seed);
        }
    }
}

impl Upstream {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            health: Health::Responsive,
            table: AttemptTable::new(incarnation, LIMITS),
            queued: Vec::new(),
            running: Vec::new(),
            resolves: Vec::new(),
        }
    }
}

fn not_run(reason: NotRunReason) -> Reply {
    Reply::NotRun(NotRun {
        reason,
        retry_after: None,
    })
}
