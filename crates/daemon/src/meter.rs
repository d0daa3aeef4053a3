//! Records what the parts of a daemon do, for its metrics and its history of calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;
use std::time::SystemTime;

use base::ServiceName;
use base::UnixMillis;
use base::units::unix_millis;
use http::StatusCode;
use http_edge::Response;
use platform::Usage;
use report::Metrics;
use report::history::CallResult;
use report::history::History;
use report::metrics::CallOutcome;
use report::metrics::Direction;
use report::metrics::LogRequest;
use report::metrics::Purpose;
use report::metrics::StateGauges;

use crate::shared_state::SharedState;

/// Metrics and history of one daemon.
pub struct Meter {
    /// `None` when the metrics could not be set up; the daemon then runs without them.
    metrics: Option<Metrics>,
    history: RefCell<History>,
}

impl Default for Meter {
    fn default() -> Self {
        let metrics = Metrics::new();
        if let Err(e) = &metrics {
            log::error!("daemon: cannot set up metrics, running without them: {e}");
        }
        Self {
            metrics: metrics.ok(),
            history: RefCell::new(History::new(now())),
        }
    }
}

impl Meter {
    /// Records the final answer of a call and the time from its arrival to that answer.
    pub fn record_call(&self, service: &ServiceName, outcome: CallOutcome, took: Duration) {
        let result = match outcome {
            CallOutcome::Answered => Some(CallResult::Good),
            CallOutcome::Failed | CallOutcome::NotRun | CallOutcome::Unknown => {
                Some(CallResult::Bad)
            }
            CallOutcome::ClientLeft => None,
        };
        if let Some(result) = result {
            self.history.borrow_mut().record(service, result, now());
        }
        self.with_metrics(|metrics| metrics.record_call(service, outcome, took));
    }

    /// Adds bytes of the control plane that were sent or received for `purpose`.
    pub fn record_control_bytes(&self, purpose: Purpose, direction: Direction, bytes: u64) {
        self.with_metrics(|metrics| metrics.record_control_bytes(purpose, direction, bytes));
    }

    /// Records the usage of a log client since `before` and returns `after`.
    pub fn record_log_usage(&self, kind: LogRequest, before: Usage, after: Usage) -> Usage {
        self.record_control_bytes(
            Purpose::Log,
            Direction::Sent,
            after.bytes_sent - before.bytes_sent,
        );
        self.record_control_bytes(
            Purpose::Log,
            Direction::Received,
            after.bytes_received - before.bytes_received,
        );
        self.with_metrics(|metrics| {
            for _ in before.requests..after.requests {
                metrics.record_log_request(kind);
            }
        });
        after
    }

    /// Records that a ticket came into force here; `published` is the time of its record.
    pub fn record_convergence(&self, published: UnixMillis) {
        let took = Duration::from_millis(now().saturating_sub(published));
        self.with_metrics(|metrics| metrics.record_convergence(took));
    }

    /// Response with the metrics in text form.
    pub(crate) fn metrics_response(&self) -> Response {
        match self.metrics.as_ref().map(Metrics::encode_text) {
            Some(Ok(text)) => Response::text(StatusCode::OK, text),
            Some(Err(e)) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
            None => Response::text(StatusCode::NOT_FOUND, "no metrics"),
        }
    }

    /// Response with the history of calls as JSON.
    pub(crate) fn history_response(&self) -> Response {
        match serde_json::to_vec(self.history.borrow().view()) {
            Ok(text) => Response::json(StatusCode::OK, text),
            Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }

    fn with_metrics(&self, f: impl FnOnce(&Metrics)) {
        if let Some(metrics) = &self.metrics {
            f(metrics);
        }
    }
}

/// Updates the gauges of state and membership whenever one of them changes.
pub(crate) async fn run(shared: SharedState) {
    let last_counted_end = Cell::new(0);
    loop {
        let state = shared.state.revision();
        let peers = shared.peers.revision();
        update_gauges(&shared, &last_counted_end);
        monoio::select! {
            _ = shared.state.changed_since(state) => {}
            _ = shared.peers.changed_since(peers) => {}
        }
    }
}

fn update_gauges(shared: &SharedState, last_counted_end: &Cell<UnixMillis>) {
    let state = shared.state.get();
    shared.meter.with_metrics(|metrics| {
        metrics.set_state(StateGauges {
            ticket: state.ticket,
            next_offset: state.next,
            epoch: state.epoch,
            members: shared.peers.get().len() as u64,
        });
        let last = last_counted_end.get();
        for report in state.ends.iter().filter(|report| report.at > last) {
            metrics.record_rollout_end(&report.service, &report.end);
            last_counted_end.set(last_counted_end.get().max(report.at));
        }
    });
}

fn now() -> UnixMillis {
    unix_millis(SystemTime::now())
}
