//! One call of a client: executes the actions of its state machine.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::RoutePrefix;
use http_edge::Latch;
use http_edge::Request;
use http_edge::Response;
use ledger::Route;
use local_sync::mpsc::unbounded;
use protocol::WIRE_VERSION;
use protocol::call::CallHead;
use protocol::call::NotRunReason;
use routing::CallStateMachine;
use routing::Endpoint;
use routing::attempts::Action;
use routing::attempts::AttemptIndex;
use routing::attempts::CallPlan;
use routing::attempts::Event;
use routing::attempts::FinalOutcome;
use routing::attempts::Permit;
use smol_str::SmolStr;

use crate::calls::attempt;
use crate::calls::caller::CallerCore;

/// Most attempts of one call.
const MAX_ATTEMPTS: usize = 3;

/// Retry-after time for refusals that give none.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The route that matches a call.
pub(super) struct MatchedRoute {
    pub(super) prefix: RoutePrefix,
    pub(super) route: Route,
}

/// A running call. Dropping it before its end cancels it: the client has disconnected.
pub(super) struct Call {
    cx: Rc<CallCx>,
    rx: unbounded::Rx<Event>,
    first: Vec<Action>,
    hedge_at: Option<Instant>,
}

/// State that a call shares with its attempts.
pub(super) struct CallCx {
    pub(super) core: Rc<CallerCore>,
    pub(super) req: Request,
    pub(super) deadline_at: Instant,
    id: SmolStr,
    matched: MatchedRoute,
    machine: RefCell<CallStateMachine>,
    /// Attempts by index; `None` where no instance was available.
    sent: RefCell<Vec<Option<SentAttempt>>>,
    excluded: RefCell<Vec<DaemonId>>,
    tx: unbounded::Tx<Event>,
}

/// An attempt that was sent or is about to be sent.
#[derive(Clone)]
pub(super) struct SentAttempt {
    pub(super) index: AttemptIndex,
    pub(super) endpoint: Endpoint,
    pub(super) head: CallHead,
    pub(super) cancel: Latch,
    answer: Rc<RefCell<Option<Response>>>,
}

impl Call {
    pub(super) fn start(
        core: &Rc<CallerCore>,
        req: Request,
        id: SmolStr,
        matched: MatchedRoute,
        deadline_at: Instant,
    ) -> Self {
        let plan = CallPlan {
            repeat: matched.route.repeat,
            deadline: deadline_at,
            max_attempts: MAX_ATTEMPTS,
            retry_after: RETRY_AFTER,
        };
        let service = &matched.route.service;
        let (machine, first) = core.with_limits(service, |limits| {
            CallStateMachine::start(plan, &mut limits.budget)
        });
        let hedge = core.hedge_delay(service, plan.repeat);
        let (tx, rx) = unbounded::channel();
        let cx = CallCx {
            core: Rc::clone(core),
            req,
            deadline_at,
            id,
            matched,
            machine: RefCell::new(machine),
            sent: RefCell::default(),
            excluded: RefCell::default(),
            tx,
        };
        Self {
            cx: Rc::new(cx),
            rx,
            first,
            hedge_at: hedge.map(|delay| Instant::now() + delay),
        }
    }

    /// Runs the call to its end; returns its outcome and the answer if there is one.
    pub(super) async fn finish(mut self) -> (FinalOutcome, Option<Response>) {
        let mut actions = std::mem::take(&mut self.first);
        loop {
            if let Some(outcome) = execute(&self.cx, actions) {
                let answer = self.cx.answer(&outcome);
                return (outcome, answer);
            }
            let event = self.next_event().await;
            actions = self.cx.on_event(event);
        }
    }

    async fn next_event(&mut self) -> Event {
        let (at, timer_event) = match self.hedge_at {
            Some(at) if at < self.cx.deadline_at => (at, Event::HedgeDue),
            _ => (self.cx.deadline_at, Event::DeadlinePassed),
        };
        let left = at.saturating_duration_since(Instant::now());
        monoio::select! {
            event = self.rx.recv() => event.unwrap_or(Event::DeadlinePassed),
            () = monoio::time::sleep(left) => {
                self.hedge_at = None;
                timer_event
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let actions = self.cx.on_event(Event::ClientDisconnected);
        execute(&self.cx, actions);
    }
}

impl CallCx {
    /// Whether an attempt may be sent; asked immediately before its first byte.
    pub(super) fn permit_send(&self, attempt: AttemptIndex) -> Permit {
        self.machine.borrow_mut().permit_send(attempt)
    }

    /// Sends an event to the call.
    pub(super) fn send_event(&self, event: Event) {
        // The receiver is gone after the end of the call.
        let _ = self.tx.send(event);
    }

    /// Excludes an instance from further attempts of this call.
    pub(super) fn exclude(&self, daemon: &DaemonId) {
        self.excluded.borrow_mut().push(daemon.clone());
    }

    fn on_event(&self, event: Event) -> Vec<Action> {
        let service = &self.matched.route.service;
        self.core.with_limits(service, |limits| {
            let mut machine = self.machine.borrow_mut();
            machine.on_event(event, &mut limits.budget, Instant::now())
        })
    }

    fn choose_endpoint(&self) -> Option<Endpoint> {
        let service = &self.matched.route.service;
        self.core.choose(service, &self.excluded.borrow())
    }

    fn new_attempt(&self, index: AttemptIndex, endpoint: Endpoint) -> SentAttempt {
        let matched = &self.matched;
        let head = CallHead {
            wire: WIRE_VERSION,
            attempt: self.core.next_attempt(),
            call: self.id.clone(),
            service: matched.route.service.clone(),
            version: endpoint.version.clone(),
            route: matched.prefix.clone(),
            repeat: matched.route.repeat,
            class: matched.route.class,
            remaining: self.deadline_at.saturating_duration_since(Instant::now()),
            offset: self.core.shared.table.get().offset(),
        };
        SentAttempt {
            index,
            endpoint,
            head,
            cancel: Latch::default(),
            answer: Rc::default(),
        }
    }

    fn sent(&self, index: AttemptIndex) -> Option<SentAttempt> {
        self.sent.borrow().get(index).cloned().flatten()
    }

    fn answer(&self, outcome: &FinalOutcome) -> Option<Response> {
        let FinalOutcome::Answer(index) = outcome else {
            return None;
        };
        self.sent(*index)?.answer.take()
    }
}

impl SentAttempt {
    /// Stores the answer until the call's outcome is decided.
    pub(super) fn store_answer(&self, answer: Response) {
        self.answer.replace(Some(answer));
    }
}

/// Executes actions; returns the call's outcome if one of them finishes it.
fn execute(cx: &Rc<CallCx>, actions: Vec<Action>) -> Option<FinalOutcome> {
    let mut outcome = None;
    for action in actions {
        match action {
            Action::Send(index) => send(cx, index),
            Action::Resolve(index) => {
                if let Some(sent) = cx.sent(index) {
                    monoio::spawn(attempt::resolve(Rc::clone(cx), sent));
                }
            }
            Action::Cancel(index) => {
                if let Some(sent) = cx.sent(index) {
                    sent.cancel.set();
                }
            }
            // Answers are buffered whole, so there is nothing to stream.
            Action::Stream(_) => {}
            Action::Finish(last) => outcome = Some(last),
        }
    }
    outcome
}

fn send(cx: &Rc<CallCx>, index: AttemptIndex) {
    let Some(endpoint) = cx.choose_endpoint() else {
        cx.sent.borrow_mut().push(None);
        return cx.send_event(Event::NoInstance(index, NotRunReason::NoInstance));
    };
    // A hedge must go to another instance than the attempt before it.
    cx.exclude(&endpoint.daemon);
    let sent = cx.new_attempt(index, endpoint);
    cx.sent.borrow_mut().push(Some(sent.clone()));
    monoio::spawn(attempt::send(Rc::clone(cx), sent));
}
