//! One call of a client: carries out what its machine decides.

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

/// Attempts of one call at most.
const MAX_ATTEMPTS: usize = 3;

/// When a client may come back after a refusal that names no time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The route of a call.
pub(super) struct Matched {
    pub(super) prefix: RoutePrefix,
    pub(super) route: Route,
}

/// A call under way. Dropped before its end, it is given up: the client has gone.
pub(super) struct Call {
    cx: Rc<CallCx>,
    rx: unbounded::Rx<Event>,
    first: Vec<Action>,
    hedge_at: Option<Instant>,
}

/// What a call shares with its attempts.
pub(super) struct CallCx {
    pub(super) core: Rc<CallerCore>,
    pub(super) req: Request,
    pub(super) until: Instant,
    id: SmolStr,
    matched: Matched,
    machine: RefCell<CallStateMachine>,
    sent: RefCell<Vec<Option<Sent>>>,
    tried: RefCell<Vec<DaemonId>>,
    tx: unbounded::Tx<Event>,
}

/// One attempt that was sent, or is about to be.
#[derive(Clone)]
pub(super) struct Sent {
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
        matched: Matched,
        until: Instant,
    ) -> Self {
        let plan = CallPlan {
            repeat: matched.route.repeat,
            deadline: until,
            max_attempts: MAX_ATTEMPTS,
            retry_after: RETRY_AFTER,
        };
        let service = &matched.route.service;
        let (machine, first) = core.with_extras(service, |extras| {
            CallStateMachine::start(plan, &mut extras.budget)
        });
        let hedge = core.hedge_delay(service, plan.repeat);
        let (tx, rx) = unbounded::channel();
        let cx = CallCx {
            core: Rc::clone(core),
            req,
            until,
            id,
            matched,
            machine: RefCell::new(machine),
            sent: RefCell::default(),
            tried: RefCell::default(),
            tx,
        };
        Self {
            cx: Rc::new(cx),
            rx,
            first,
            hedge_at: hedge.map(|delay| Instant::now() + delay),
        }
    }

    /// Runs the call to its end; gives the answer if there is one.
    pub(super) async fn finish(mut self) -> (FinalOutcome, Option<Response>) {
        let mut actions = std::mem::take(&mut self.first);
        loop {
            if let Some(end) = carry_out(&self.cx, actions) {
                let answer = self.cx.answer(&end);
                return (end, answer);
            }
            let event = self.next_event().await;
            actions = self.cx.on(event);
        }
    }

    async fn next_event(&mut self) -> Event {
        let (at, due) = match self.hedge_at {
            Some(at) if at < self.cx.until => (at, Event::HedgeDue),
            _ => (self.cx.until, Event::DeadlinePassed),
        };
        let left = at.saturating_duration_since(Instant::now());
        monoio::select! {
            event = self.rx.recv() => event.unwrap_or(Event::DeadlinePassed),
            () = monoio::time::sleep(left) => {
                self.hedge_at = None;
                due
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let actions = self.cx.on(Event::ClientDisconnected);
        carry_out(&self.cx, actions);
    }
}

impl CallCx {
    /// Asks, right before the first byte of an attempt, whether it may be sent.
    pub(super) fn permit_send(&self, attempt: AttemptIndex) -> Permit {
        self.machine.borrow_mut().permit_send(attempt)
    }

    /// Feeds an event back.
    pub(super) fn tell(&self, event: Event) {
        // Nobody listens after the end of the call.
        let _ = self.tx.send(event);
    }

    /// Keeps further attempts away from an instance.
    pub(super) fn avoid(&self, daemon: &DaemonId) {
        self.tried.borrow_mut().push(daemon.clone());
    }

    fn on(&self, event: Event) -> Vec<Action> {
        let service = &self.matched.route.service;
        self.core.with_extras(service, |extras| {
            let mut machine = self.machine.borrow_mut();
            machine.on_event(event, &mut extras.budget, Instant::now())
        })
    }

    fn choose(&self) -> Option<Endpoint> {
        let service = &self.matched.route.service;
        self.core.choose(service, &self.tried.borrow())
    }

    fn prepare(&self, index: AttemptIndex, endpoint: Endpoint) -> Sent {
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
            remaining: self.until.saturating_duration_since(Instant::now()),
            offset: self.core.shared.table.get().offset(),
        };
        Sent {
            index,
            endpoint,
            head,
            cancel: Latch::default(),
            answer: Rc::default(),
        }
    }

    fn sent(&self, index: AttemptIndex) -> Option<Sent> {
        self.sent.borrow().get(index).cloned().flatten()
    }

    fn answer(&self, end: &FinalOutcome) -> Option<Response> {
        let FinalOutcome::Answer(index) = end else {
            return None;
        };
        self.sent(*index)?.answer.take()
    }
}

impl Sent {
    /// Keeps the answer until the call's end is known.
    pub(super) fn keep(&self, answer: Response) {
        self.answer.replace(Some(answer));
    }
}

/// Carries out actions; gives the end of the call if it is among them.
fn carry_out(cx: &Rc<CallCx>, actions: Vec<Action>) -> Option<FinalOutcome> {
    let mut end = None;
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
            // Answers are held whole, so none is passed on in parts.
            Action::Stream(_) => {}
            Action::Finish(last) => end = Some(last),
        }
    }
    end
}

fn send(cx: &Rc<CallCx>, index: AttemptIndex) {
    let Some(endpoint) = cx.choose() else {
        cx.sent.borrow_mut().push(None);
        return cx.tell(Event::NoInstance(index, NotRunReason::NoInstance));
    };
    // A hedge goes to another instance than the attempt before it.
    cx.avoid(&endpoint.daemon);
    let sent = cx.prepare(index, endpoint);
    cx.sent.borrow_mut().push(Some(sent.clone()));
    monoio::spawn(attempt::send(Rc::clone(cx), sent));
}
