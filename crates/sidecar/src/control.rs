//! Heartbeats of the instance beside this daemon, and the question whether the daemon is ready.

use std::time::Instant;

use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use mesh::instance::Change;
use mesh::instance::Heartbeat;
use mesh::instance::Phase;
use serde_json::json;
use users_platform::heartbeat;
use users_platform::heartbeat::CallError;
use users_platform::heartbeat::InstanceCall;
use users_platform::responses;

use crate::node::Node;
use crate::node::Shared;

/// Takes heartbeats.
pub struct HeartbeatHandler {
    pub node: Shared,
}

impl Handler for HeartbeatHandler {
    async fn handle(&self, req: Request) -> Response {
        match heartbeat::decode(&req) {
            Ok(InstanceCall::Heartbeat(heartbeat)) => self.node.take_heartbeat(heartbeat),
            Ok(InstanceCall::Deregister(id)) => {
                let change = self.node.local.borrow_mut().mark_left(&id);
                self.node.log_state(
                    "instance-left",
                    || json!({ "instance": id, "change": format!("{change:?}") }),
                );
                if change == Change::Told {
                    self.node.gate.refuse_waiting();
                }
                heartbeat::acknowledgement()
            }
            Err(CallError::UnknownCall) => Response::text(StatusCode::NOT_FOUND, "no such call"),
            Err(CallError::InvalidBody(reason)) => {
                self.node
                    .log_state("heartbeat-unreadable", || json!({ "reason": reason }));
                Response::text(StatusCode::BAD_REQUEST, "unreadable heartbeat")
            }
        }
    }
}

impl Node {
    fn take_heartbeat(&self, heartbeat: Heartbeat) -> Response {
        let expected = self.boot.borrow().instance_address.to_string();
        if heartbeat.address != expected {
            self.log_state("heartbeat-misplaced", || {
                json!({ "instance": heartbeat.id, "address": heartbeat.address, "expected": expected })
            });
            return Response::text(StatusCode::BAD_REQUEST, "address of another machine");
        }
        let (slots, born, phase) = (heartbeat.slots, heartbeat.born, heartbeat.phase);
        let told = json!({
            "instance": heartbeat.id,
            "born": born,
            "service": heartbeat.service,
            "version": heartbeat.version,
            "phase": format!("{phase:?}"),
            "sequence": heartbeat.sequence,
        });
        let change = self
            .local
            .borrow_mut()
            .record_heartbeat(heartbeat, Instant::now());
        match change {
            Change::None => {}
            Change::Ignored => self.log_state("heartbeat-ignored", || told),
            Change::Told => {
                self.log_state("instance-changed", || told);
                if phase == Phase::Draining {
                    self.gate.refuse_waiting();
                } else {
                    self.gate.set_slots(slots, born);
                }
            }
        }
        heartbeat::acknowledgement()
    }
}

/// Tells the platform whether the daemon is ready.
pub struct ReadyHandler {
    pub node: Shared,
}

impl Handler for ReadyHandler {
    async fn handle(&self, req: Request) -> Response {
        responses::readiness(&req, self.node.is_ready())
    }
}
