//! Client requests: picks the route and an instance, forwards the request, retries where allowed,
//! and returns the final answer.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use http_edge::Handler;
use http_edge::RawHead;
use http_edge::Request;
use http_edge::Response;
use ledger::Idempotency;
use mesh::config::Route;
use mesh::customers::Identity;
use mesh::directory::Entry;
use mesh::link::Direction;
use mesh::quarantine::Standing;
use mesh::retry_budgets::LastAttempt;
use mesh::table::RouteTable;
use mesh::wire::ForwardOutcome;
use mesh::wire::RequestFingerprint;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use report::metrics::CallOutcome;
use routing::budget::BudgetDecision;
use serde_json::json;
use users_platform::requests;
use users_platform::requests::ClientHead;
use users_platform::requests::Sender;
use users_platform::responses;
use users_platform::responses::DaemonResponse;

use crate::attempt::Attempt;
use crate::attempt::NotRunBy;
use crate::attempt::may_try_another;
use crate::attempt::observation;
use crate::caps::Acquired;
use crate::caps::wait_until;
use crate::dispatch::Dispatched;
use crate::dispatch::Waiting;
use crate::forward::ForwardResult;
use crate::forward::not_sent;
use crate::identity::Identified;
use crate::logs::EventClass;
use crate::node::Node;
use crate::node::SharedNode;
use crate::quarantine::refuse_blocked;
use crate::request_state::RequestState;
use crate::request_state::forward_head;

/// Timeout of requests that carry no deadline; longer than the timeout of any configured route.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Times that a request may be sent to instances that reject it.
const MAX_SENDS: u32 = 4;

/// Divisor of the time in which an answer has its full value. A request may be redirected up to that
/// fraction of it.
const REDIRECT_TIME_DIVISOR: u32 = 8;

/// Retry delay sent to the client when no instance takes requests, when there is no configuration
/// yet, or when a refusal carries no delay: one gossip round.
pub(crate) const NO_INSTANCE_RETRY: Duration = Duration::from_millis(250);

/// Retry delay sent to the client when the daemon stops before the request could be answered. Its end is
/// near then, and a restart takes a moment.
const RESTART_RETRY: Duration = Duration::from_millis(500);

/// Handles requests from clients and from the local instance.
pub struct IngressHandler {
    pub node: SharedNode,
}

impl Handler for IngressHandler {
    async fn handle(&self, req: Request) -> Response {
        // Boxed because there are many idle connections: the state of a request takes memory only
        // while the request runs.
        let node = &self.node;
        node.record_transfer(Direction::In, req.wire_size());
        let res = Box::pin(node.serve(req)).await;
        node.record_transfer(Direction::Out, res.wire_size());
        res
    }

    fn refuse(&self, head: Option<&RawHead>) -> Response {
        self.node.refuse_unread(head)
    }
}

/// Whose request it is.
struct IdentifiedSender {
    customer: Option<Identity>,
    fingerprint: RequestFingerprint,
}

/// Next step after an attempt.
enum NextStep {
    Answer(Response),
    Retry,
    GiveUp(NotRun),
    Unknown,
}

impl Node {
    async fn serve(&self, req: Request) -> Response {
        let head = match requests::decode(&req) {
            Ok(head) => head,
            Err(fault) => {
                self.event_log.emit(
                    EventClass::Failure,
                    "request-unreadable",
                    Instant::now(),
                    || json!({ "fault": format!("{fault:?}") }),
                );
                return responses::encode(DaemonResponse::BadRequest, "");
            }
        };
        let began = Instant::now();
        let table = self.active_table.borrow().current().cloned();
        let Some(table) = table else {
            return self.refuse_without_config(&head.id);
        };
        let Some(route) = table.find(&head.host, req.path()).cloned() else {
            return self.refuse_without_route(&head, req.path(), &table);
        };
        let sender = match self.identify_sender(&table, &route, &head, &req) {
            Ok(sender) => sender,
            Err(res) => return responses::encode(res, &head.id),
        };
        let Some(service) = route.pick_service(self.random()).cloned() else {
            return self.refuse_unreadable_route(&head, req.path(), &table);
        };
        let client_left = head.time_left.unwrap_or(DEFAULT_TIMEOUT);
        let left = client_left.min(route.timeout);
        let left = left.saturating_sub(self.stood_still());
        let state = RequestState {
            id: head.id,
            fingerprint: sender.fingerprint,
            customer: sender.customer,
            has_customers: table.customers().is_some(),
            service,
            began,
            deadline: began + left,
            client_deadline: began + client_left,
            full_value_until: began + route.target_latency.min(left),
            route,
            config: table.version(),
            repeat_share: 0,
            tried: Vec::new(),
            sends: 0,
            delivered_to: Vec::new(),
            rejected_by: None,
            last_refusal: None,
            lost_attempt: None,
            token: None,
        };
        if self.ends_before(state.expectation()) {
            return self.return_refusal(&state, &not_sent(RESTART_RETRY));
        }
        if self.standing(state.fingerprint) == Standing::Blocked {
            self.record_blocked(&state.id, state.fingerprint);
            return self.return_refusal(&state, &refuse_blocked());
        }
        let watch = self.watch_client(&state);
        let res = self.serve_routed(state, req, left).await;
        watch.close();
        res
    }

    /// Answers a request whose route is known, within the time `left`.
    async fn serve_routed(
        &self,
        mut state: RequestState,
        mut req: Request,
        left: Duration,
    ) -> Response {
        if let Some(refusal) = self.take_token(&mut state).await {
            return refusal;
        }
        let began = state.began;
        let sender = sender(state.has_customers, state.customer.as_ref());
        requests::prepare_to_forward(&mut req, &self.own_service(), sender);
        self.add_to_budget(&mut state);
        let (id, service, route) = (
            state.id.clone(),
            state.service.clone(),
            Rc::clone(&state.route),
        );
        let customer = state.customer.clone();
        let completed = monoio::time::timeout(left, self.run_attempts(state, &req)).await;
        if let Ok(res) = completed {
            return res;
        }
        let now = Instant::now();
        self.metrics
            .record_call(&service, CallOutcome::Unknown, now - began);
        self.record_customer(customer.as_ref(), CallOutcome::Unknown);
        self.event_log
            .emit(EventClass::Failure, "timed-out", now, || {
                json!({
                    "request": id,
                    "route": route.name,
                    "service": service,
                    "left_ms": left.as_millis(),
                })
            });
        responses::encode(DaemonResponse::TimedOut, &id)
    }

    /// Finds the customer of a request, and what identifies the request.
    fn identify_sender(
        &self,
        table: &RouteTable,
        route: &Route,
        head: &ClientHead,
        req: &Request,
    ) -> Result<IdentifiedSender, DaemonResponse> {
        let customer = match self.identify(table, route, req, &head.id) {
            Identified::Nobody => None,
            Identified::Customer(identity) => Some(identity),
            Identified::Refused(res) => return Err(res),
        };
        let sender = sender(table.customers().is_some(), customer.as_ref());
        let fingerprint = requests::fingerprint(req, &head.host, sender);
        Ok(IdentifiedSender {
            customer,
            fingerprint,
        })
    }

    pub(crate) fn record_customer(&self, customer: Option<&Identity>, outcome: CallOutcome) {
        if let Some(identity) = customer {
            self.metrics.record_customer_call(&identity.label, outcome);
        }
    }

    /// Takes a token of the customer's usage cap, or returns the refusal.
    async fn take_token(&self, state: &mut RequestState) -> Option<Response> {
        let customer = state.customer.as_ref()?.customer.name.clone();
        let until = wait_until(state.began, state.full_value_until);
        let refused = match self.acquire_cap(&customer, until).await {
            Acquired::Granted(token) => {
                state.token = token;
                return None;
            }
            refused => refused,
        };
        self.log_cap_refusal(&state.id, &customer, &refused);
        let took = state.began.elapsed();
        self.metrics
            .record_call(&state.service, CallOutcome::NotRun, took);
        let res = match refused {
            Acquired::OverCap(after) => DaemonResponse::OverCap(after),
            Acquired::NoAllocator(after) => DaemonResponse::NotRun(after),
            Acquired::Granted(_) => return None,
        };
        self.record_customer(state.customer.as_ref(), CallOutcome::NotRun);
        Some(responses::encode(res, &state.id))
    }

    async fn run_attempts(&self, mut state: RequestState, req: &Request) -> Response {
        loop {
            let Some(entry) = self.next_instance(&state, req.body.len()) else {
                return self.refuse_without_instance(&state);
            };
            if let Some(identity) = state.keyed_customer()
                && let Some(not_run) = self.key_refusal(&identity.head(), state.config)
            {
                return self.return_refusal(&state, &not_run);
            }
            let limit = self.balancer.borrow().known_limit(&entry, Instant::now());
            let mut head = forward_head(&state, &entry, limit);
            head.is_isolated = self.standing(state.fingerprint) != Standing::Clear;
            let attempt = Attempt::start(self, &entry, &state.route);
            let waiting = self.waiting_at(&state, &entry);
            let result = self.forward(&entry, &head, req, waiting).await;
            attempt.end(observation(&result));
            state.tried.push(entry.member.daemon.clone());
            match self.next_step(&mut state, &entry, result) {
                NextStep::Answer(res) => return self.return_answer(&state, &entry, res),
                NextStep::Retry => {}
                NextStep::GiveUp(not_run) => return self.return_refusal(&state, &not_run),
                NextStep::Unknown => return self.return_unknown(&state),
            }
        }
    }

    /// Chooses an untried instance or, once the route allows no further one, the one that rejected
    /// the request last.
    fn next_instance(&self, state: &RequestState, body_bytes: usize) -> Option<Entry> {
        let trial = match self.standing(state.fingerprint) {
            Standing::TrialDue => Some(self.trial_daemon_of(&state.service, state.fingerprint)?),
            Standing::Blocked => return None,
            Standing::Isolated | Standing::Clear => None,
        };
        let is_allowed = |daemon: &DaemonId| {
            if trial.as_ref().is_some_and(|trial| trial != daemon) {
                false
            } else if state.has_instances_left() {
                !state.tried.contains(daemon)
            } else {
                state.rejected_by.as_ref() == Some(daemon)
            }
        };
        self.choose_instance(
            &state.service,
            &state.route.name,
            is_allowed,
            state.tried.is_empty(),
            body_bytes,
        )
    }

    /// Returns whether the request may wait at this instance. Only the first attempt goes back, and early
    /// enough that the next one is in time.
    fn waiting_at(&self, state: &RequestState, entry: &Entry) -> Waiting {
        let full_value = state
            .full_value_until
            .saturating_duration_since(state.began);
        let is_early = state.began.elapsed() < full_value / REDIRECT_TIME_DIVISOR;
        if state.tried.is_empty() && is_early && self.balancer.borrow().states_work_time(entry) {
            Waiting::Redirectable
        } else {
            Waiting::Allowed
        }
    }

    /// Answers a request for which no untried instance is left.
    fn refuse_without_instance(&self, state: &RequestState) -> Response {
        if let Some(not_run) = &state.last_refusal {
            return self.return_refusal(state, not_run);
        }
        let reason = if self.is_service_emptied(&state.service) {
            NotRunReason::Evacuated
        } else {
            NotRunReason::NoInstance
        };
        let not_run = NotRun {
            reason,
            retry_after: Some(NO_INSTANCE_RETRY),
        };
        self.return_refusal(state, &not_run)
    }

    /// Decides the next step from the result of an attempt.
    fn next_step(
        &self,
        state: &mut RequestState,
        entry: &Entry,
        result: ForwardResult,
    ) -> NextStep {
        match result {
            ForwardResult::Unreachable => {
                retry_unless_exhausted(state, not_sent(NO_INSTANCE_RETRY), NotRunBy::Nobody)
            }
            ForwardResult::Lost(reason) => self.after_lost_attempt(state, entry, reason),
            ForwardResult::Replied(Dispatched { outcome, res }) => match outcome {
                ForwardOutcome::Answered { .. } => match res {
                    Some(res) => NextStep::Answer(res),
                    None => self.after_lost_attempt(state, entry, "reply carries no response"),
                },
                ForwardOutcome::NotRun(not_run) if not_run.reason == NotRunReason::Quarantined => {
                    NextStep::GiveUp(not_run)
                }
                ForwardOutcome::NotRun(not_run) if not_run.reason == NotRunReason::Redirected => {
                    state.last_refusal = Some(not_run);
                    NextStep::Retry
                }
                ForwardOutcome::NotRun(not_run) => {
                    retry_unless_exhausted(state, not_run, NotRunBy::Refusal)
                }
                ForwardOutcome::Rejected(not_run) => {
                    state.record_delivery(entry);
                    state.rejected_by = Some(entry.member.daemon.clone());
                    state.last_refusal = Some(not_run.clone());
                    if self.may_retry(state, LastAttempt::Rejected) {
                        NextStep::Retry
                    } else {
                        NextStep::GiveUp(not_run)
                    }
                }
                ForwardOutcome::Unknown => {
                    self.after_lost_attempt(state, entry, "no response from the instance")
                }
                // A grant does not answer a request.
                ForwardOutcome::Granted => {
                    self.after_lost_attempt(state, entry, "unexpected reply")
                }
            },
        }
    }

    fn after_lost_attempt(
        &self,
        state: &mut RequestState,
        entry: &Entry,
        reason: &'static str,
    ) -> NextStep {
        state.record_delivery(entry);
        state.lost_attempt = Some((entry.member.daemon.clone(), reason));
        let is_idempotent = state.route.repeat == Idempotency::Idempotent;
        if is_idempotent && self.may_retry(state, LastAttempt::Lost) {
            NextStep::Retry
        } else {
            NextStep::Unknown
        }
    }

    /// Adds the request to the retry budget of its service, less what it counts for if the local instance
    /// made it in a repeated run.
    fn add_to_budget(&self, state: &mut RequestState) {
        let origins = self.dispatcher.origins.borrow();
        state.repeat_share = origins.share_of(state.client_deadline);
        self.retry_budgets.borrow_mut().request_started(
            &state.service,
            state.repeat_share,
            state.began,
        );
    }

    /// Returns whether the request may be sent to another instance; spends from the retry budget if
    /// so.
    fn may_retry(&self, state: &RequestState, last: LastAttempt) -> bool {
        let now = Instant::now();
        // An instance that rejected a request may get it again, unless the request may run only once: a copy of
        // the rejection would look like that of the second sending, which ran.
        let is_limited = match (last, state.route.repeat) {
            (LastAttempt::Rejected, Idempotency::Idempotent) => state.sends >= MAX_SENDS,
            _ => !state.has_instances_left(),
        };
        if is_limited || now >= state.deadline {
            return false;
        }
        let standing = self.standing(state.fingerprint);
        if matches!(standing, Standing::Blocked | Standing::TrialDue) {
            return false;
        }
        let decision = self.retry_budgets.borrow_mut().try_spend(
            &state.service,
            last,
            state.route.repeat,
            now,
        );
        self.event_log.emit(EventClass::Failure, "repeat", now, || {
            json!({
                "request": state.id,
                "service": state.service,
                "sent": state.sends,
                "repeat_share": state.repeat_share,
                "granted": decision == BudgetDecision::Granted,
            })
        });
        decision == BudgetDecision::Granted
    }
}

/// Returns who sends a request of this customer, if the deployment has customers.
fn sender(has_customers: bool, customer: Option<&Identity>) -> Sender<'_> {
    if has_customers {
        Sender::Customer(customer.map(|identity| identity.customer.name.as_str()))
    } else {
        Sender::ByCredentials
    }
}

fn retry_unless_exhausted(state: &mut RequestState, not_run: NotRun, by: NotRunBy) -> NextStep {
    state.last_refusal = Some(not_run.clone());
    let full_value_time = state
        .full_value_until
        .saturating_duration_since(state.began);
    let (tried, elapsed) = (state.tried.len(), state.began.elapsed());
    if may_try_another(by, state.route.repeat, tried, elapsed, full_value_time) {
        NextStep::Retry
    } else {
        NextStep::GiveUp(not_run)
    }
}
