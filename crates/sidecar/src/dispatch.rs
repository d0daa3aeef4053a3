//! Dispatch of requests to the local instance: connection and answer.

use std::time::Duration;
use std::time::Instant;

use http_edge::CallError;
use http_edge::Conn;
use http_edge::Request;
use http_edge::Response;
use mesh::directory::Entry;
use mesh::instance::Change;
use mesh::shutdown::Expectation;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use serde_json::json;
use users_platform::requests;
use users_platform::responses;
use users_platform::responses::InstanceResponse;

use crate::evidence::EvidenceSample;
use crate::logs::EventClass;
use crate::logs::fingerprint_text;
use crate::node::Node;
use crate::quarantine::Loss;
use crate::quarantine::refuse_blocked;
use crate::slot::SlotGuard;

/// Shortest time left with which a request is sent to the instance, which counts whole milliseconds.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// Time beyond the deadline during which an answer is still accepted: the instance answers at the
/// deadline, and the answer has to travel.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Returns the name of a reason in the metrics.
fn reason_name(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Overloaded => "overloaded",
        NotRunReason::DeadlineTooShort => "deadline-too-short",
        NotRunReason::Leaving => "leaving",
        NotRunReason::WrongVersion => "wrong-version",
        NotRunReason::UpstreamRefused => "upstream-refused",
        NotRunReason::Unreachable => "unreachable",
        NotRunReason::GivenUp => "given-up",
        NotRunReason::ProbeBudgetSpent => "probe-budget-spent",
        NotRunReason::NoInstance => "no-instance",
        NotRunReason::RetryBudgetSpent => "retry-budget-spent",
        NotRunReason::NoConfiguration => "no-configuration",
        NotRunReason::RateLimited => "rate-limited",
        NotRunReason::Quarantined => "quarantined",
        NotRunReason::Evacuated => "evacuated",
        NotRunReason::CapSpent => "cap-spent",
        NotRunReason::KeyUnproven => "key-unproven",
        NotRunReason::Redirected => "redirected",
    }
}

/// Whether a request may wait for a slot of the local instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// It may wait.
    Allowed,
    /// It is to go back to its caller if another instance has room.
    Redirectable,
}

/// Result of a dispatch to the local instance.
pub struct Dispatched {
    /// Outcome, as sent to the forwarding daemon.
    pub outcome: ForwardOutcome,
    /// Response of the instance, if it answered.
    pub res: Option<Response>,
}

impl Dispatched {
    fn without_answer(outcome: ForwardOutcome) -> Self {
        Self { outcome, res: None }
    }
}

impl Node {
    /// Admits a request to the local instance, sends it there and returns the result.
    pub async fn dispatch(
        &self,
        head: &ForwardHead,
        req: Request,
        arrived: Instant,
        waiting: Waiting,
    ) -> Dispatched {
        let result = if waiting == Waiting::Redirectable && self.redirects(head) {
            self.metrics.record_redirect();
            self.refuse(NotRunReason::Redirected)
        } else {
            self.execute(head, req, arrived).await
        };
        if let ForwardOutcome::NotRun(not_run) = &result.outcome {
            self.metrics.record_not_run(reason_name(not_run.reason));
            self.event_log
                .emit(EventClass::Failure, "gate-refused", Instant::now(), || {
                    let load = self.dispatcher.load();
                    json!({
                        "request": head.request,
                        "route": head.route,
                        "reason": format!("{:?}", not_run.reason),
                        "retry_after_ms": not_run.retry_after.map(|after| after.as_millis()),
                        "running": load.running,
                        "queued": load.queued,
                        "slots": load.slots,
                        "kept": self.dispatcher.kept_slots(head.rank),
                        "shortage_lasts": self.dispatcher.admission.borrow().has_lasting_shortage(),
                        "limit": self.dispatcher.limit().map(|limit| limit.to_string()),
                        "rank": head.rank,
                        "full_value_ms": head.full_value_ms,
                        "left_ms": head.left_ms,
                    })
                });
        }
        result
    }

    async fn execute(&self, head: &ForwardHead, mut req: Request, arrived: Instant) -> Dispatched {
        if let Some(reason) = self.mismatch(head) {
            return self.refuse(reason);
        }
        if self.is_blocked_here(head) {
            return Dispatched::without_answer(ForwardOutcome::NotRun(refuse_blocked()));
        }
        if let Some(not_run) = self.key_refusal_here(head) {
            return Dispatched::without_answer(ForwardOutcome::NotRun(not_run));
        }
        self.adopt_limit(head);
        let deadline = arrived + Duration::from_millis(u64::from(head.left_ms));
        let expected = Expectation {
            deadline,
            full_value_until: arrived + Duration::from_millis(u64::from(head.full_value_ms)),
        };
        if self.ends_before(expected) {
            return self.refuse(NotRunReason::Leaving);
        }
        let mut isolation = None;
        if self.runs_isolated(head) {
            isolation = self.isolation.enter(expected.full_value_until).await;
            if isolation.is_none() {
                return self.refuse(NotRunReason::Overloaded);
            }
        }
        let Some(admitted) = self.admit(head, arrived, deadline).await else {
            return self.refuse(NotRunReason::GivenUp);
        };
        let slot = match admitted {
            Ok(slot) => slot,
            Err(not_run) => return Dispatched::without_answer(ForwardOutcome::NotRun(not_run)),
        };
        // The instance may have left while the request was queued, or the shutdown begun.
        if let Some(reason) = self.mismatch(head) {
            return self.refuse(reason);
        }
        if self.ends_before(expected) {
            return self.refuse(NotRunReason::Leaving);
        }
        if self.is_blocked_here(head) {
            return Dispatched::without_answer(ForwardOutcome::NotRun(refuse_blocked()));
        }
        if let Some(not_run) = self.key_refusal_here(head) {
            return Dispatched::without_answer(ForwardOutcome::NotRun(not_run));
        }
        let mut conn = match self.dispatcher.connection_for(&head.request).await {
            Ok(conn) => conn,
            Err(e) => {
                if self.local.borrow_mut().mark_unreachable() == Change::Told {
                    self.log_state(
                        "instance-unreachable",
                        || json!({ "instance": head.instance, "reason": e.to_string() }),
                    );
                    self.doubt_warmth("instance-unreachable");
                }
                return self.refuse(NotRunReason::Unreachable);
            }
        };
        if self.is_own_zone_emptied() {
            self.dispatcher.conns.put(conn);
            return self.refuse(NotRunReason::Evacuated);
        }
        let began = Instant::now();
        let left = deadline
            .saturating_duration_since(began)
            .saturating_sub(self.stood_still());
        if left < MIN_TIME_LEFT {
            self.dispatcher.conns.put(conn);
            return self.refuse(NotRunReason::DeadlineTooShort);
        }
        if let Some(not_run) = self.key_refusal_here(head) {
            self.dispatcher.conns.put(conn);
            return Dispatched::without_answer(ForwardOutcome::NotRun(not_run));
        }
        requests::prepare_for_instance(&mut req, &head.instance, left);
        self.metrics.record_instance_request();
        let watch = self.watch_run(head);
        let answered = conn.call(req, left + ANSWER_GRACE).await;
        watch.close();
        let took = began.elapsed();
        let dispatched = match answered {
            Ok(res) => self.conclude(head, res, conn, slot, began),
            Err(e) => {
                drop(conn);
                let loss = match &e {
                    CallError::Broken(_) => self.detect_crash(head).await,
                    CallError::TooLarge | CallError::TimedOut => Loss::Connection,
                };
                self.record_missing_answer(head, took, loss, &e.to_string());
                Dispatched::without_answer(ForwardOutcome::Unknown)
            }
        };
        drop(isolation);
        dispatched
    }

    /// Records that no answer came. The end of an instance counts once, however many requests it ran.
    fn record_missing_answer(&self, head: &ForwardHead, took: Duration, loss: Loss, reason: &str) {
        if loss != Loss::BesideInstance {
            self.dispatcher.record_health(true);
            self.dispatcher.record_latency(self, head, took, true);
            self.dispatcher
                .record_evidence(self, head, EvidenceSample::Missing);
        }
        self.event_log.emit(
            EventClass::Failure,
            "answer-missing",
            Instant::now(),
            || {
                json!({
                    "request": head.request,
                    "fingerprint": fingerprint_text(head.fingerprint),
                    "route": head.route,
                    "instance": head.instance,
                    "reason": reason,
                    "waited_ms": took.as_millis(),
                })
            },
        );
    }

    /// Turns the instance's response into the result of the dispatch.
    fn conclude(
        &self,
        head: &ForwardHead,
        mut res: Response,
        conn: Conn,
        slot: SlotGuard<'_>,
        sent_at: Instant,
    ) -> Dispatched {
        let took = sent_at.elapsed();
        let answer = responses::decode(&res, &head.request);
        self.dispatcher
            .record_health(answer != InstanceResponse::Done);
        if answer == InstanceResponse::Mismatched {
            drop(conn);
            self.log_mismatch(head, &res);
            return Dispatched::without_answer(ForwardOutcome::Unknown);
        }
        if matches!(
            answer,
            InstanceResponse::NotRun | InstanceResponse::Misdirected
        ) {
            self.log_rejection(head, &res, &conn, took);
        }
        self.dispatcher.conns.put(conn);
        if answer != InstanceResponse::Misdirected {
            self.apply_notice(head, answer, responses::decode_notice(&res), sent_at);
        }
        match answer {
            InstanceResponse::NotRun => {
                self.dispatcher.record_refusal(&head.request);
                let not_run = self.dispatcher.not_run(NotRunReason::UpstreamRefused);
                Dispatched::without_answer(ForwardOutcome::Rejected(not_run))
            }
            InstanceResponse::Misdirected => {
                self.dispatcher.record_refusal(&head.request);
                self.refuse(NotRunReason::WrongVersion)
            }
            InstanceResponse::Mismatched => Dispatched::without_answer(ForwardOutcome::Unknown),
            InstanceResponse::Contradictory => {
                self.record_run(head, slot, took, true);
                self.log_contradiction(head, &res);
                Dispatched::without_answer(ForwardOutcome::Unknown)
            }
            InstanceResponse::Done | InstanceResponse::Failed => {
                self.record_run(head, slot, took, answer == InstanceResponse::Failed);
                responses::prepare_for_client(&mut res);
                Dispatched {
                    outcome: ForwardOutcome::Answered {
                        took_ms: u32::try_from(took.as_millis()).unwrap_or(u32::MAX),
                    },
                    res: Some(res),
                }
            }
        }
    }

    /// Records what a response that came for a request shows of the instance and its version.
    fn record_run(
        &self,
        head: &ForwardHead,
        slot: SlotGuard<'_>,
        took: Duration,
        is_failure: bool,
    ) {
        self.record_quarantine_answer(head.fingerprint);
        self.dispatcher.record_latency(self, head, took, is_failure);
        let sample = EvidenceSample::Answer { took, is_failure };
        self.dispatcher.record_evidence(self, head, sample);
        slot.finish(took);
    }

    /// Logs a response whose status and statement disagree on whether the request ran.
    fn log_contradiction(&self, head: &ForwardHead, res: &Response) {
        self.event_log.emit(
            EventClass::Failure,
            "answer-contradictory",
            Instant::now(),
            || {
                json!({
                    "request": head.request,
                    "instance": head.instance,
                    "status": res.status.as_u16(),
                    "stated": responses::states_not_run(res),
                })
            },
        );
    }

    /// Logs that the instance rejected a request, with what tells a copy of an earlier rejection from a new one.
    fn log_rejection(&self, head: &ForwardHead, res: &Response, conn: &Conn, took: Duration) {
        self.event_log.emit(
            EventClass::Failure,
            "instance-rejected",
            Instant::now(),
            || {
                json!({
                    "request": head.request,
                    "instance": head.instance,
                    "status": res.status.as_u16(),
                    "stated": responses::states_not_run(res),
                    "rejected_before": self.dispatcher.has_refused(&head.request),
                    "conn_age_ms": conn.opened_at().elapsed().as_millis(),
                    "took_ms": took.as_millis(),
                })
            },
        );
    }

    /// Logs an answer that is not that of the request. What it says of the request's outcome counts for nothing.
    fn log_mismatch(&self, head: &ForwardHead, res: &Response) {
        self.event_log.emit(
            EventClass::Failure,
            "answer-mismatched",
            Instant::now(),
            || {
                json!({
                    "request": head.request,
                    "instance": head.instance,
                    "status": res.status.as_u16(),
                    "answers": responses::echoed_id(res),
                })
            },
        );
    }

    /// Returns why a request of a customer may not be sent to the local instance now, if so.
    fn key_refusal_here(&self, head: &ForwardHead) -> Option<NotRun> {
        let customer = head.customer.as_ref()?;
        self.key_refusal(customer, head.config)
    }

    /// Whether a request that would wait here goes back to its caller, since another instance of the zone
    /// has room.
    fn redirects(&self, head: &ForwardHead) -> bool {
        if self.mismatch(head).is_some() {
            return false;
        }
        let directory = self.directory.borrow();
        let Some(own) = directory.get(&self.name()) else {
            return false;
        };
        let others: Vec<&Entry> = directory
            .serving(&head.service)
            .filter(|entry| !self.is_emptied(&entry.member.zone))
            .collect();
        let full_value_left = Duration::from_millis(u64::from(head.full_value_ms));
        self.balancer.borrow().redirects(
            own,
            &others,
            self.dispatcher.load(),
            full_value_left,
            Instant::now(),
        )
    }

    fn refuse(&self, reason: NotRunReason) -> Dispatched {
        let not_run = self.dispatcher.not_run(reason);
        Dispatched::without_answer(ForwardOutcome::NotRun(not_run))
    }

    /// Returns why the local instance is not the one that the request was routed to.
    pub(crate) fn mismatch(&self, head: &ForwardHead) -> Option<NotRunReason> {
        if self.is_own_zone_emptied() {
            return Some(NotRunReason::Evacuated);
        }
        let interval = self.boot.borrow().heartbeat_interval;
        let local = self.local.borrow();
        let Some(heartbeat) = local.serving(interval, Instant::now()) else {
            return Some(NotRunReason::Leaving);
        };
        let is_match = heartbeat.id == head.instance
            && heartbeat.born == head.born
            && heartbeat.service == head.service
            && heartbeat.version == head.version;
        (!is_match).then_some(NotRunReason::WrongVersion)
    }
}
