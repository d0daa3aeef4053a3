//! Requests for which the configuration in force names no service.

use std::time::Instant;

use http_edge::Response;
use mesh::RouteTable;
use serde_json::Value;
use serde_json::json;
use users_platform::requests::ClientHead;
use users_platform::responses;
use users_platform::responses::DaemonResponse;

use crate::ingress::NO_INSTANCE_RETRY;
use crate::logs::EventClass;
use crate::node::Node;

impl Node {
    /// Refuses a request before there is a configuration.
    pub(crate) fn refuse_without_config(&self, id: &str) -> Response {
        self.metrics.record_not_run("no-configuration");
        self.log_unrouted("no-configuration", || json!({ "request": id }));
        responses::encode(DaemonResponse::NotRun(NO_INSTANCE_RETRY), id)
    }

    /// Answers a request that matches no route. It is not found only if all routes could be read.
    pub(crate) fn refuse_without_route(
        &self,
        head: &ClientHead,
        path: &str,
        table: &RouteTable,
    ) -> Response {
        if table.hides_routes() {
            return self.refuse_unreadable_route(head, path, table);
        }
        self.log_unrouted("no-route", || fields(head, path, table));
        responses::encode(DaemonResponse::NoRoute, &head.id)
    }

    /// Refuses a request whose route, or whose target of it, could not be read from the configuration.
    pub(crate) fn refuse_unreadable_route(
        &self,
        head: &ClientHead,
        path: &str,
        table: &RouteTable,
    ) -> Response {
        self.metrics.record_not_run("route-unreadable");
        self.log_unrouted("route-unreadable", || fields(head, path, table));
        responses::encode(DaemonResponse::NotRun(NO_INSTANCE_RETRY), &head.id)
    }

    fn log_unrouted(&self, event: &'static str, fields: impl FnOnce() -> Value) {
        self.event_log
            .emit(EventClass::Failure, event, Instant::now(), fields);
    }
}

fn fields(head: &ClientHead, path: &str, table: &RouteTable) -> Value {
    json!({
        "request": head.id,
        "host": head.host,
        "path": path,
        "config": table.version(),
    })
}
