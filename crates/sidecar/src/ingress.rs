//! The way of a client's request: route, instance, attempts, final answer.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use base::DaemonId;
use base::ServiceName;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use ledger::Idempotency;
use mesh::balancer::Observation;
use mesh::config::Route;
use mesh::directory::Entry;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use protocol::call::NotRun;
use protocol::call::NotRunReason;
use report::metrics::CallOutcome;
use routing::budget::BudgetDecision;
use serde_json::json;
use smol_str::SmolStr;
use users_platform::requests;
use users_platform::responses;
use users_platform::responses::DaemonResponse;

use crate::forward::Forwarded;
use crate::forward::not_sent;
use crate::gate::Passed;
use crate::logs::EventClass;
use crate::node::Node;
use crate::node::Shared;

/// Time that a client waits when it does not say: more than any route of the users allows.
const DEFAULT_TIME: Duration = Duration::from_secs(10);

/// Refusals by gates after which the client is told to come back: three of a few instances tell that a
/// service is full.
const MAX_REFUSALS: usize = 3;

/// A request that was refused after this part of the time for its full value is not offered to
/// further gates: it would wait there again, while its client could come back.
const REFUSAL_PART: u32 = 4;

/// Time after which a client is told to come back where no instance takes requests: one round of gossip.
const NO_INSTANCE_RETRY: Duration = Duration::from_millis(250);

/// The instance gets this much less time than is left, for its answer's way back: two ways between
/// zones and to the client.
const WAY_BACK: Duration = Duration::from_millis(8);

/// Takes requests from clients and from the instance on this machine.
pub struct IngressHandler {
    pub node: Shared,
}

impl Handler for IngressHandler {
    async fn handle(&self, req: Request) -> Response {
        // Idle connections are many; on the heap, the journey takes memory only while it lasts.
        Box::pin(self.node.serve(req)).await
    }
}

/// One request on its way.
struct Journey {
    id: SmolStr,
    route: Rc<Route>,
    service: ServiceName,
    began: Instant,
    until: Instant,
    full_value_until: Instant,
    config: mesh::ConfigVersion,
    tried: Vec<DaemonId>,
    /// Instances that the request reached.
    sent: u32,
    /// The last refusal of a gate.
    refusal: Option<NotRun>,
    /// Daemon at which an attempt was lost that may have run, and how.
    lost: Option<(DaemonId, &'static str)>,
}

/// What to do after an attempt.
enum Step {
    Answer(Response),
    Again,
    GiveUp(NotRun),
    Unknown,
}

impl Node {
    async fn serve(&self, mut req: Request) -> Response {
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
        let table = self.tables.borrow().current().cloned();
        let Some(table) = table else {
            return self.refuse_unready(&head.id);
        };
        let Some(route) = table.find(&head.host, req.path()).cloned() else {
            self.event_log
                .emit(EventClass::Failure, "no-route", began, || {
                    json!({
                        "request": head.id,
                        "host": head.host,
                        "path": req.path(),
                        "config": table.version(),
                    })
                });
            return responses::encode(DaemonResponse::NoRoute, &head.id);
        };
        let Some(service) = route.pick_service(self.random()).cloned() else {
            return responses::encode(DaemonResponse::NoRoute, &head.id);
        };
        let left = head.time_left.unwrap_or(DEFAULT_TIME).min(route.timeout);
        let journey = Journey {
            id: head.id,
            service,
            began,
            until: began + left,
            full_value_until: began + route.target_latency.min(left),
            route,
            config: table.version(),
            tried: Vec::new(),
            sent: 0,
            refusal: None,
            lost: None,
        };
        requests::prepare_to_forward(&mut req, &self.own_service());
        self.retry_budgets
            .borrow_mut()
            .request_started(&journey.service, began);
        let (id, service, route) = (
            journey.id.clone(),
            journey.service.clone(),
            Rc::clone(&journey.route),
        );
        let travelled = monoio::time::timeout(left, self.travel(journey, &req)).await;
        if let Ok(res) = travelled {
            return res;
        }
        let now = Instant::now();
        self.metrics
            .record_call(&service, CallOutcome::Unknown, now - began);
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

    fn refuse_unready(&self, id: &str) -> Response {
        self.metrics.record_not_run("no-configuration");
        self.event_log.emit(
            EventClass::Failure,
            "no-configuration",
            Instant::now(),
            || json!({ "request": id }),
        );
        responses::encode(DaemonResponse::NotRun(NO_INSTANCE_RETRY), id)
    }

    async fn travel(&self, mut journey: Journey, req: &Request) -> Response {
        loop {
            let Some(entry) = self.choose(&journey.service, &journey.tried) else {
                return self.nobody_left(&journey);
            };
            let head = forward_head(&journey, &entry);
            let finish = Attempt::start(self, &entry, &journey.route);
            let forwarded = self.forward(&entry, &head, req).await;
            finish.end(observation(&forwarded));
            journey.tried.push(entry.member.daemon.clone());
            match self.step(&mut journey, &entry, forwarded) {
                Step::Answer(res) => return self.answered(&journey, &entry, res),
                Step::Again => {}
                Step::GiveUp(not_run) => return self.give_up(&journey, &not_run),
                Step::Unknown => return self.unknown(&journey),
            }
        }
    }

    /// No instance is left to try.
    fn nobody_left(&self, journey: &Journey) -> Response {
        if let Some(not_run) = &journey.refusal {
            return self.give_up(journey, not_run);
        }
        let not_run = NotRun {
            reason: NotRunReason::NoInstance,
            retry_after: Some(NO_INSTANCE_RETRY),
        };
        self.give_up(journey, &not_run)
    }

    /// Says what to do after an attempt.
    fn step(&self, journey: &mut Journey, entry: &Entry, forwarded: Forwarded) -> Step {
        match forwarded {
            Forwarded::Unreachable => unless_refused_often(journey, not_sent(NO_INSTANCE_RETRY)),
            Forwarded::Lost(reason) => self.after_loss(journey, entry, reason),
            Forwarded::Replied(Passed { outcome, res }) => match outcome {
                ForwardOutcome::Answered { .. } => match res {
                    Some(res) => Step::Answer(res),
                    None => self.after_loss(journey, entry, "reply without an answer"),
                },
                ForwardOutcome::NotRun(not_run) => unless_refused_often(journey, not_run),
                ForwardOutcome::Rejected(not_run) => {
                    journey.sent += 1;
                    journey.refusal = Some(not_run.clone());
                    if self.may_repeat(journey) {
                        Step::Again
                    } else {
                        Step::GiveUp(not_run)
                    }
                }
                ForwardOutcome::Unknown => {
                    self.after_loss(journey, entry, "no answer of the instance")
                }
            },
        }
    }

    fn after_loss(&self, journey: &mut Journey, entry: &Entry, reason: &'static str) -> Step {
        journey.sent += 1;
        journey.lost = Some((entry.member.daemon.clone(), reason));
        let is_repeatable = journey.route.repeat == Idempotency::Idempotent;
        if is_repeatable && self.may_repeat(journey) {
            Step::Again
        } else {
            Step::Unknown
        }
    }

    /// Whether the request may be sent to another instance.
    fn may_repeat(&self, journey: &Journey) -> bool {
        let now = Instant::now();
        if journey.sent >= journey.route.max_attempts || now >= journey.until {
            return false;
        }
        let spend = self
            .retry_budgets
            .borrow_mut()
            .try_spend(&journey.service, now);
        self.event_log.emit(EventClass::Failure, "repeat", now, || {
            json!({
                "request": journey.id,
                "service": journey.service,
                "sent": journey.sent,
                "granted": spend == BudgetDecision::Granted,
            })
        });
        spend == BudgetDecision::Granted
    }

    fn answered(&self, journey: &Journey, entry: &Entry, res: Response) -> Response {
        let outcome = if res.status.is_server_error() {
            CallOutcome::Failed
        } else {
            CallOutcome::Answered
        };
        let took = journey.began.elapsed();
        self.metrics.record_call(&journey.service, outcome, took);
        let class = match outcome {
            CallOutcome::Answered => EventClass::Routine,
            _ => EventClass::Failure,
        };
        self.event_log.emit(class, "answered", Instant::now(), || {
            json!({
                "request": journey.id,
                "route": journey.route.name,
                "config": journey.config,
                "daemon": entry.member.daemon,
                "revision": entry.member.revision,
                "tried": journey.tried.len(),
                "status": res.status.as_u16(),
                "took_ms": took.as_millis(),
            })
        });
        res
    }

    fn give_up(&self, journey: &Journey, not_run: &NotRun) -> Response {
        // A refusal of the last attempt says nothing of one before that was lost.
        if journey.lost.is_some() {
            return self.unknown(journey);
        }
        let took = journey.began.elapsed();
        self.metrics
            .record_call(&journey.service, CallOutcome::NotRun, took);
        let after = not_run.retry_after.unwrap_or(NO_INSTANCE_RETRY);
        self.event_log
            .emit(EventClass::Failure, "refused", Instant::now(), || {
                json!({
                    "request": journey.id,
                    "route": journey.route.name,
                    "service": journey.service,
                    "config": journey.config,
                    "reason": format!("{:?}", not_run.reason),
                    "tried": journey.tried,
                    "retry_after_ms": after.as_millis(),
                    "took_ms": took.as_millis(),
                })
            });
        responses::encode(DaemonResponse::NotRun(after), &journey.id)
    }

    fn unknown(&self, journey: &Journey) -> Response {
        let took = journey.began.elapsed();
        self.metrics
            .record_call(&journey.service, CallOutcome::Unknown, took);
        self.event_log.emit(
            EventClass::Failure,
            "outcome-unknown",
            Instant::now(),
            || {
                json!({
                    "request": journey.id,
                    "route": journey.route.name,
                    "service": journey.service,
                    "config": journey.config,
                    "daemon": journey.lost.as_ref().map(|(daemon, _)| daemon),
                    "reason": journey.lost.as_ref().map(|(_, reason)| reason),
                    "took_ms": took.as_millis(),
                })
            },
        );
        responses::encode(DaemonResponse::OutcomeUnknown, &journey.id)
    }
}

fn unless_refused_often(journey: &mut Journey, not_run: NotRun) -> Step {
    journey.refusal = Some(not_run.clone());
    let value_time = journey
        .full_value_until
        .saturating_duration_since(journey.began);
    let has_time = journey.began.elapsed() < value_time / REFUSAL_PART;
    if journey.tried.len() < MAX_REFUSALS && has_time {
        Step::Again
    } else {
        Step::GiveUp(not_run)
    }
}

fn forward_head(journey: &Journey, entry: &Entry) -> ForwardHead {
    let now = Instant::now();
    let left = |until: Instant| {
        let ms = until.saturating_duration_since(now).as_millis();
        u32::try_from(ms).unwrap_or(u32::MAX)
    };
    let instance = entry.member.instance.as_ref();
    ForwardHead {
        request: journey.id.clone(),
        instance: instance.map(|info| info.id.clone()).unwrap_or_default(),
        born: instance.map_or(0, |info| info.born),
        service: journey.service.clone(),
        version: instance
            .map(|info| info.version.clone())
            .unwrap_or_default(),
        route: journey.route.name.clone(),
        repeat: journey.route.repeat,
        rank: journey.route.rank,
        left_ms: left(journey.until.checked_sub(WAY_BACK).unwrap_or(now)),
        full_value_ms: left(journey.full_value_until),
        config: journey.config,
    }
}

fn observation(forwarded: &Forwarded) -> Observation {
    match forwarded {
        Forwarded::Unreachable | Forwarded::Lost(_) => Observation::Unreachable,
        Forwarded::Replied(passed) => match &passed.outcome {
            ForwardOutcome::Answered { took_ms } => match &passed.res {
                Some(res) if res.status.is_server_error() => Observation::Failed,
                _ => Observation::Success(Duration::from_millis(u64::from(*took_ms))),
            },
            ForwardOutcome::Rejected(_) | ForwardOutcome::Unknown => Observation::Failed,
            ForwardOutcome::NotRun(not_run) => match not_run.reason {
                NotRunReason::Unreachable => Observation::Unreachable,
                _ => Observation::Neutral,
            },
        },
    }
}

/// An attempt under way; counts as ended when dropped, as when the client goes away.
struct Attempt<'a> {
    node: &'a Node,
    entry: &'a Entry,
    route: &'a Route,
    observation: Observation,
}

impl<'a> Attempt<'a> {
    fn start(node: &'a Node, entry: &'a Entry, route: &'a Route) -> Self {
        node.balancer.borrow_mut().attempt_started(entry);
        Self {
            node,
            entry,
            route,
            observation: Observation::Neutral,
        }
    }

    fn end(mut self, observation: Observation) {
        self.observation = observation;
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.attempt_ended(
            self.entry,
            &self.route.name,
            self.observation,
            Instant::now(),
        );
    }
}
