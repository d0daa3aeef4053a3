//! Endpoints on this machine: heartbeats of the local instance, and the readiness check of the
//! platform.

use std::time::Instant;
use std::time::SystemTime;

use base::ServiceName;
use base::units::unix_millis;
use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use mesh::instance::Change;
use mesh::instance::Heartbeat;
use mesh::instance::InstanceId;
use mesh::instance::Phase;
use protocol::call::NotRunReason;
use serde_json::json;
use users_platform::heartbeat;
use users_platform::heartbeat::InstanceCall;
use users_platform::heartbeat::InstanceCallError;
use users_platform::responses;

use crate::node::Node;
use crate::node::SharedNode;

/// Handles heartbeats and deregistrations of the local instance.
pub struct HeartbeatHandler {
    pub node: SharedNode,
}

impl Handler for HeartbeatHandler {
    async fn handle(&self, req: Request) -> Response {
        match heartbeat::decode(&req) {
            Ok(InstanceCall::Heartbeat(heartbeat)) => {
                Node::handle_heartbeat(&self.node, heartbeat).await
            }
            Ok(InstanceCall::Deregister(id)) => Node::handle_deregistration(&self.node, id).await,
            Err(InstanceCallError::UnknownCall) => {
                Response::text(StatusCode::NOT_FOUND, "no such call")
            }
            Err(InstanceCallError::InvalidBody(reason)) => {
                self.node
                    .log_state("heartbeat-unreadable", || json!({ "reason": reason }));
                Response::text(StatusCode::BAD_REQUEST, "unreadable heartbeat")
            }
        }
    }
}

impl Node {
    async fn handle_deregistration(node: &SharedNode, id: InstanceId) -> Response {
        let wall = unix_millis(SystemTime::now());
        let (key, change) = node.local.borrow_mut().mark_left(&id, wall);
        node.log_state(
            "instance-left",
            || json!({ "instance": id, "born": key.born, "change": format!("{change:?}") }),
        );
        if change == Change::Told {
            node.dispatcher.refuse_waiting(NotRunReason::Leaving);
        }
        Self::acknowledge_departure(node, &key).await
    }

    async fn handle_heartbeat(node: &SharedNode, heartbeat: Heartbeat) -> Response {
        let key = heartbeat.key();
        let phase = heartbeat.phase;
        if let Err(reason) = node.apply_heartbeat(heartbeat) {
            return Response::text(StatusCode::BAD_REQUEST, reason);
        }
        match phase {
            Phase::Ready => heartbeat::acknowledgement(),
            Phase::Draining => Self::acknowledge_departure(node, &key).await,
        }
    }

    /// Returns whether the settings or the configuration in force name a service.
    fn names_service(&self, service: &ServiceName) -> bool {
        let table = self.active_table.borrow();
        let is_defined = table
            .current()
            .is_some_and(|table| table.service(service).is_some());
        is_defined || self.boot.borrow().service == *service
    }

    /// Applies a heartbeat of the local instance.
    ///
    /// # Errors
    /// Why it cannot be one of this instance.
    fn apply_heartbeat(&self, heartbeat: Heartbeat) -> Result<(), &'static str> {
        let expected = self.boot.borrow().instance_address.to_string();
        if heartbeat.address != expected {
            self.log_state("heartbeat-misplaced", || {
                json!({ "instance": heartbeat.id, "address": heartbeat.address, "expected": expected })
            });
            return Err("address of another machine");
        }
        let wall = unix_millis(SystemTime::now());
        let is_named = |service: &ServiceName| self.names_service(service);
        let checked = heartbeat
            .check(wall)
            .and_then(|()| self.local.borrow().check_service(&heartbeat, is_named));
        if let Err(fault) = checked {
            self.log_state("heartbeat-unreadable", || {
                json!({
                    "instance": heartbeat.id,
                    "service": heartbeat.service,
                    "reason": format!("{fault:?} out of range"),
                })
            });
            return Err("unreadable heartbeat");
        }
        let (slots, born, phase) = (heartbeat.slots, heartbeat.born, heartbeat.phase);
        let fields = json!({
            "instance": heartbeat.id,
            "born": born,
            "service": heartbeat.service,
            "version": heartbeat.version,
            "phase": format!("{phase:?}"),
            "sequence": heartbeat.sequence,
        });
        let stated = heartbeat.clone();
        let is_new = self.dispatcher.counts.borrow().born != born;
        let change = self
            .local
            .borrow_mut()
            .record_heartbeat(heartbeat, Instant::now());
        if change != Change::Ignored {
            self.record_heartbeat_warmth(&stated, is_new);
        }
        match change {
            Change::None => {}
            Change::Ignored => self.log_state("heartbeat-ignored", || fields),
            Change::Told => {
                self.log_state("instance-changed", || fields);
                if self.local.borrow().is_leaving() {
                    self.dispatcher.refuse_waiting(NotRunReason::Leaving);
                } else {
                    self.dispatcher.set_slots(slots, born);
                }
            }
        }
        Ok(())
    }
}

/// Answers the platform's readiness check.
pub struct ReadyHandler {
    pub node: SharedNode,
}

impl Handler for ReadyHandler {
    async fn handle(&self, req: Request) -> Response {
        responses::readiness(&req, self.node.is_ready())
    }
}
