//! Reads of the operator's records by daemons that do not lead, for leaders that the store does not answer.
//!
//! The next leaders of a zone may be turned away as well, and each of them finds that out by a timeout only.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use report::metrics::LogRequest;
use serde_json::json;
use users_platform::StoreError;
use users_platform::Topic;

use crate::node::Node;
use crate::node::SharedNode;

/// Interval between checks for a request; small against the two seconds within which a configuration must be
/// in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two requests to read for this daemon.
const READ_REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two reads of the operator's records for others; limits the load on a store that answers
/// nobody.
const REQUESTED_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a daemon goes on reading for others after a request; the next leaders of a zone need as
/// long to find one of them that the store answers.
const REQUESTED_READ_TIME: Duration = Duration::from_secs(5);

/// Requests to read, received and sent.
#[derive(Debug, Default)]
pub struct ReadRequests {
    /// Set when a leader that the store does not answer has asked for a read.
    pub is_requested: Cell<bool>,
    /// When this daemon last asked others.
    asked_at: Cell<Option<Instant>>,
}

/// Reads the operator's records for some seconds when a leader that the store does not answer asks for it, and
/// tells the other daemons of a newer configuration. Runs until the process ends.
pub async fn read_for_others(node: SharedNode) {
    let mut until = Instant::now();
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        if node.read_requests.is_requested.take() {
            until = Instant::now() + REQUESTED_READ_TIME;
        }
        if Instant::now() >= until || node.is_leader() {
            continue;
        }
        if node.read_operator_for_others().await.is_err() {
            until = Instant::now();
        }
        monoio::time::sleep(REQUESTED_READ_INTERVAL).await;
    }
}

impl Node {
    /// Asks others to read the operator's records, as the store does not answer this daemon.
    pub async fn ask_for_read(&self) {
        let now = Instant::now();
        let last = self.read_requests.asked_at.get();
        if last.is_some_and(|at| now.saturating_duration_since(at) < READ_REQUEST_INTERVAL) {
            return;
        }
        self.read_requests.asked_at.set(Some(now));
        self.send_read_request().await;
    }

    async fn read_operator_for_others(&self) -> Result<(), StoreError> {
        let before = self.active_table.borrow().version();
        self.metrics.record_log_request(LogRequest::Read);
        let read = self.read_newest(Topic::Operator).await;
        let after = self.active_table.borrow().version();
        self.log_state("read-for-others", || {
            let failure = read.as_ref().err().map(StoreError::to_string);
            json!({ "before": before, "version": after, "reason": failure })
        });
        if after != before {
            self.broadcast_announcement().await;
        }
        read.map(|_| ())
    }
}
