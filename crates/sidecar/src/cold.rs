//! Keeps the requests to the local instance within what it accepts while it is cold.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use mesh::cold::ColdWatch;
use mesh::cold::Statement;
use mesh::config::Service;
use mesh::instance::Heartbeat;
use serde_json::json;
use users_platform::requests;
use users_platform::responses;

use crate::node::Node;
use crate::node::SharedNode;

/// Time in which a probe must be answered: the instance treats it as any other request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Warmth of the local instance, and the limit that follows from it.
pub struct ColdGuard {
    watch: RefCell<ColdWatch>,
    /// When the limit that holds now came into force.
    limited_since: Cell<Option<Instant>>,
}

impl ColdGuard {
    /// Nothing is known of the instance yet.
    pub fn new(now: Instant) -> Self {
        Self {
            watch: RefCell::new(ColdWatch::new(now)),
            limited_since: Cell::new(None),
        }
    }
}

/// Puts the limit that holds now into force, and asks the instance where its warmth is in doubt and the
/// limit delays requests. Called at short intervals.
pub fn check_warmth(node: &SharedNode) {
    let now = Instant::now();
    if node.limits_cold_instances() {
        let interval = node.boot.borrow().heartbeat_interval;
        let is_overdue = node.cold.watch.borrow_mut().doubt_if_overdue(interval, now);
        if is_overdue {
            node.log_doubt("heartbeat-overdue");
        }
    }
    node.apply_cold_rate();
    let delays = node.dispatcher.admission.borrow().delays_for_cold(now);
    if node.cold.watch.borrow_mut().must_probe(delays, now) {
        monoio::spawn(probe(Rc::clone(node)));
    }
}

/// Asks the local instance for how long it stays cold.
async fn probe(node: SharedNode) {
    let path = node.own_service_cfg().and_then(|cfg| cfg.health_path);
    let id = node
        .local
        .borrow()
        .last_heartbeat()
        .map(|heartbeat| heartbeat.id.clone());
    let (Some(path), Some(id)) = (path, id) else {
        return;
    };
    let sent_at = Instant::now();
    node.dispatcher
        .admission
        .borrow_mut()
        .record_own_request(sent_at);
    let req = |address| requests::health_probe(&path, address);
    match node.dispatcher.call_instance(req, PROBE_TIMEOUT).await {
        Ok(res) => match responses::decode_cold_left(&res, &id) {
            Some(left) => node.record_warmth(left, Statement::Probe(sent_at), "probe"),
            None => node.log_failed_probe(&format!("status {}", res.status.as_u16())),
        },
        Err(reason) => node.log_failed_probe(&reason),
    }
}

impl Node {
    /// Returns what the configuration in force says about the service of the local instance.
    pub(crate) fn own_service_cfg(&self) -> Option<Service> {
        let table = self.active_table.borrow();
        table.current()?.service(&self.own_service()).cloned()
    }

    fn limits_cold_instances(&self) -> bool {
        self.own_service_cfg()
            .is_some_and(|service| service.cold.is_some())
    }

    /// Records the cold time that a heartbeat states, of another instance than before if `is_new`.
    pub fn record_heartbeat_warmth(&self, heartbeat: &Heartbeat, is_new: bool) {
        if is_new {
            let mut watch = self.cold.watch.borrow_mut();
            watch.replace_instance(Instant::now());
        }
        self.record_warmth(heartbeat.cold_left, Statement::Heartbeat, "heartbeat");
    }

    fn record_warmth(&self, left: Duration, statement: Statement, source: &'static str) {
        let now = Instant::now();
        let mut watch = self.cold.watch.borrow_mut();
        let before = watch.warmth(now);
        watch.record(left, statement, now);
        let has_changed =
            std::mem::discriminant(&before) != std::mem::discriminant(&watch.warmth(now));
        drop(watch);
        if has_changed && self.limits_cold_instances() {
            let event = if left.is_zero() {
                "instance-known-warm"
            } else {
                "instance-cold"
            };
            self.log_state(
                event,
                || json!({ "left_ms": left.as_millis(), "source": source }),
            );
        }
        self.apply_cold_rate();
    }

    /// Treats the local instance as cold until it says something else.
    pub fn doubt_warmth(&self, reason: &'static str) {
        self.cold.watch.borrow_mut().doubt(Instant::now());
        if self.limits_cold_instances() {
            self.log_doubt(reason);
        }
        self.apply_cold_rate();
    }

    /// Whether the local instance is or may be cold, where that limits its requests.
    pub fn is_maybe_cold(&self) -> bool {
        self.cold.limited_since.get().is_some()
    }

    fn log_doubt(&self, reason: &'static str) {
        self.log_state("instance-maybe-cold", || json!({ "reason": reason }));
    }

    fn log_failed_probe(&self, reason: &str) {
        self.log_state("instance-probe-failed", || json!({ "reason": reason }));
    }

    /// Puts the limit that follows from the warmth of the instance into force.
    pub fn apply_cold_rate(&self) {
        let now = Instant::now();
        let limit = self.own_service_cfg().and_then(|service| service.cold);
        let rate = limit.and_then(|limit| self.cold.watch.borrow_mut().rate(limit, now));
        let mut admission = self.dispatcher.admission.borrow_mut();
        admission.set_cold_rate(rate, now);
        drop(admission);
        match (rate, self.cold.limited_since.get()) {
            (Some(_), None) => self.cold.limited_since.set(Some(now)),
            (None, Some(since)) => {
                self.cold.limited_since.set(None);
                self.log_state("instance-warm", || {
                    let limited = now.saturating_duration_since(since);
                    json!({ "limited_ms": limited.as_millis() })
                });
            }
            _ => {}
        }
    }
}
