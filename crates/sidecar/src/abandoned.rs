//! Requests whose client leaves before the answer: their futures are dropped.

use std::time::Instant;

use mesh::wire::ForwardHead;
use report::metrics::CallOutcome;
use serde_json::json;

use crate::logs::EventClass;
use crate::node::Node;
use crate::request_state::RequestState;

/// Calls a function when dropped, unless it was closed before.
pub(crate) struct OnAbandon<F: FnOnce()> {
    abandoned: Option<F>,
}

impl<F: FnOnce()> OnAbandon<F> {
    pub(crate) fn new(abandoned: F) -> Self {
        Self {
            abandoned: Some(abandoned),
        }
    }

    /// Ends without a call: the request came to its end.
    pub(crate) fn close(mut self) {
        self.abandoned = None;
    }
}

impl<F: FnOnce()> Drop for OnAbandon<F> {
    fn drop(&mut self) {
        if let Some(abandoned) = self.abandoned.take() {
            abandoned();
        }
    }
}

impl Node {
    /// Watches over a client's request until its final answer; the client may leave before.
    pub(crate) fn watch_client<'a>(
        &'a self,
        state: &RequestState,
    ) -> OnAbandon<impl FnOnce() + use<'a>> {
        let (id, service, began) = (state.id.clone(), state.service.clone(), state.began);
        let customer = state.customer.clone();
        let route = state.route.name.clone();
        OnAbandon::new(move || {
            let took = began.elapsed();
            self.metrics
                .record_call(&service, CallOutcome::ClientLeft, took);
            self.record_customer(customer.as_ref(), CallOutcome::ClientLeft);
            let now = Instant::now();
            self.event_log
                .emit(EventClass::Failure, "client-left", now, || {
                    json!({
                        "request": id,
                        "route": route,
                        "service": service,
                        "took_ms": took.as_millis(),
                    })
                });
        })
    }

    /// Watches over a request that the instance runs; its caller may leave before the answer.
    pub(crate) fn watch_run<'a>(
        &'a self,
        head: &ForwardHead,
    ) -> OnAbandon<impl FnOnce() + use<'a>> {
        let (id, instance) = (head.request.clone(), head.instance.clone());
        let sent_at = Instant::now();
        OnAbandon::new(move || {
            let now = Instant::now();
            self.event_log
                .emit(EventClass::Failure, "run-abandoned", now, || {
                    json!({
                        "request": id,
                        "instance": instance,
                        "waited_ms": (now - sent_at).as_millis(),
                    })
                });
        })
    }
}
