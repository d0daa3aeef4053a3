//! Final answers to clients: what an instance answered, a refusal, or that the outcome is unknown.

use std::time::Instant;

use http_edge::Response;
use mesh::admission::return_after;
use mesh::directory::Entry;
use protocol::call::NotRun;
use report::metrics::CallOutcome;
use serde_json::json;
use users_platform::responses;
use users_platform::responses::DaemonResponse;

use crate::ingress::NO_INSTANCE_RETRY;
use crate::logs::EventClass;
use crate::logs::fingerprint_text;
use crate::node::Node;
use crate::request_state::RequestState;

impl Node {
    pub(crate) fn return_answer(
        &self,
        state: &RequestState,
        entry: &Entry,
        res: Response,
    ) -> Response {
        let outcome = if res.status.is_server_error() {
            CallOutcome::Failed
        } else {
            CallOutcome::Answered
        };
        let took = state.began.elapsed();
        self.metrics.record_call(&state.service, outcome, took);
        self.record_customer(state.customer.as_ref(), outcome);
        let class = match outcome {
            CallOutcome::Answered => EventClass::Routine,
            _ => EventClass::Failure,
        };
        self.event_log.emit(class, "answered", Instant::now(), || {
            json!({
                "request": state.id,
                "route": state.route.name,
                "config": state.config,
                "daemon": entry.member.daemon,
                "revision": entry.member.revision,
                "tried": state.tried.len(),
                "status": res.status.as_u16(),
                "took_ms": took.as_millis(),
            })
        });
        res
    }

    pub(crate) fn return_refusal(&self, state: &RequestState, not_run: &NotRun) -> Response {
        // The last attempt was refused, but an earlier one was lost and may have run.
        if state.lost_attempt.is_some() {
            return self.return_unknown(state);
        }
        if let Some(token) = &state.token {
            self.give_back_token(token);
        }
        let took = state.began.elapsed();
        self.metrics
            .record_call(&state.service, CallOutcome::NotRun, took);
        self.record_customer(state.customer.as_ref(), CallOutcome::NotRun);
        let expected = not_run.retry_after.unwrap_or(NO_INSTANCE_RETRY);
        let left = state
            .client_deadline
            .saturating_duration_since(Instant::now());
        let after = if state.has_customers {
            return_after(expected, left, state.rank(), self.random())
        } else {
            expected
        };
        self.event_log
            .emit(EventClass::Failure, "refused", Instant::now(), || {
                json!({
                    "request": state.id,
                    "route": state.route.name,
                    "service": state.service,
                    "config": state.config,
                    "reason": format!("{:?}", not_run.reason),
                    "tried": state.tried,
                    "retry_after_ms": after.as_millis(),
                    "took_ms": took.as_millis(),
                })
            });
        responses::encode(DaemonResponse::NotRun(after), &state.id)
    }

    pub(crate) fn return_unknown(&self, state: &RequestState) -> Response {
        let took = state.began.elapsed();
        self.metrics
            .record_call(&state.service, CallOutcome::Unknown, took);
        self.record_customer(state.customer.as_ref(), CallOutcome::Unknown);
        self.event_log.emit(
            EventClass::Failure,
            "outcome-unknown",
            Instant::now(),
            || {
                json!({
                    "request": state.id,
                    "fingerprint": fingerprint_text(state.fingerprint),
                    "route": state.route.name,
                    "service": state.service,
                    "config": state.config,
                    "daemon": state.lost_attempt.as_ref().map(|(daemon, _)| daemon),
                    "reason": state.lost_attempt.as_ref().map(|(_, reason)| reason),
                    "took_ms": took.as_millis(),
                })
            },
        );
        responses::encode(DaemonResponse::OutcomeUnknown, &state.id)
    }
}
