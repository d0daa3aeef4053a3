//! What the platform, its operator, its instances and its clients say: their names stand here alone.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use base::hash::stable;
use http::Method;
use http_edge::Request;
use http_edge::Response;
use serde_json::Value;
use serde_json::json;

/// Service that is moved to another version.
pub const ROLLOUT_SERVICE: &str = "a";
/// The other service.
pub const OTHER_SERVICE: &str = "b";
/// Version that serves before the move.
pub const OLD_VERSION: &str = "v1";
/// Target of the move.
pub const NEW_VERSION: &str = "v2";
/// Header with an instance's signature.
pub const RESPONSE_STAMP: &str = "x-response-stamp";
/// Header with the id of a request, and of the request that an answer is for.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the name of the instance that a request is meant for.
const TARGET_INSTANCE: &str = "x-target-instance";
/// Header of an answer to a request that did not run.
const NOT_EXECUTED: &str = "x-not-executed";
/// Environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "BRONZEHEAD_BOOT";
/// Path that tells whether a daemon is ready.
pub const READY_PATH: &str = "/-/readyz";
/// Topic of the operator's configurations and orders.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic of the reports on moves.
pub const REPORTS_TOPIC: &str = "keyed.status";
/// Topic of the daemons' own records.
pub const DAEMONS_TOPIC: &str = "keyed.mesh";
/// Host of clients' requests.
const CLIENT_HOST: &str = "shop.example";
/// Host of the routes that show which configuration is in force.
const PROBE_HOST: &str = "probe.example";
/// Configurations whose route stays, so that a slow daemon is not asked for one that is gone.
const RETAINED_PROBES: usize = 3;

/// Ports of a machine.
pub const CLIENTS_PORT: u16 = 9101;
pub const CLIENTS_PROXY_PORT: u16 = 9111;
pub const READY_PORT: u16 = 9102;
pub const CONTROL_PORT: u16 = 9103;
pub const INSTANCE_PORT: u16 = 9104;
pub const INSTANCE_PROXY_PORT: u16 = 9114;
pub const INNER_PORT: u16 = 9105;
pub const STORE_PORT: u16 = 9106;

/// The settings of a machine's daemon.
pub fn settings(name: &str, ip: IpAddr, zone: &str, service: &str) -> String {
    format!(
        "Node: \"{name}\"\nIp: \"{ip}\"\nZone: \"{zone}\"\nService: \"{service}\"\n\
         Listen: {{Inbound: \"{ip}:{INNER_PORT}\", Outbound: \"{ip}:{CLIENTS_PORT}\", Ready: \"{ip}:{READY_PORT}\", Control: \"{ip}:{CONTROL_PORT}\"}}\n\
         PortRange: [{INNER_PORT}, {INNER_PORT}]\nLimits: {{CpuShare: 0.2, Cores: 1, MemoryMb: 260, LinkMbps: 1000.0}}\n\
         Heartbeat: \"500ms\"\nBounds: [\"Grace=6s\", \"RetryRatio=0.2\", \"RetrySlack=60\"]\n\
         AppAddr: \"{ip}:{INSTANCE_PROXY_PORT}\"\nPlatform: {{Address: \"{ip}:{STORE_PORT}\", form: \"log\"}}\n"
    )
}

/// Body of a heartbeat.
pub fn heartbeat(
    (service, version): (&str, &str),
    address: SocketAddr,
    state: &str,
    sequence: u64,
    started_at_ms: u64,
) -> String {
    json!({
        "Service": service, "Version": version, "Address": address, "Zone": "z",
        "Slots": super::instance::SLOTS, "State": state, "ColdLeft": "0ms",
        "Seq": sequence, "born": started_at_ms,
    })
    .to_string()
}

/// Path of a heartbeat.
pub fn heartbeat_path(name: &str) -> String {
    format!("/-/Instances.Heartbeat/{name}")
}

/// Path of a leaving.
pub fn deregister_path(name: &str) -> String {
    format!("/-/Instances.Deregister/{name}")
}

/// The configuration of a version; `probes` are the versions before whose routes may stay.
pub fn config(version: u64, probes: &[u64]) -> String {
    let mut routes = serde_json::Map::new();
    for service in [ROLLOUT_SERVICE, OTHER_SERVICE] {
        let look = route(CLIENT_HOST, &format!("/{service}/"), service, "idempotent");
        let book = route(
            CLIENT_HOST,
            &format!("/{service}/book/"),
            service,
            "non_idempotent",
        );
        routes.insert(format!("look-{service}"), look);
        routes.insert(format!("book-{service}"), book);
    }
    for probe in probes.iter().rev().take(RETAINED_PROBES).chain([&version]) {
        let path = format!("/{OTHER_SERVICE}/v{probe}/");
        let probe_route = route(PROBE_HOST, &path, OTHER_SERVICE, "idempotent");
        routes.insert(format!("probe-{probe}"), probe_route);
    }
    json!({
        "Version": format!("r{version}"), "Routes": routes,
        "Services": { ROLLOUT_SERVICE: {}, OTHER_SERVICE: {} },
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
            "HeaderTimeout": "3s", "IdleTimeout": "15s",
        },
    })
    .to_string()
}

fn route(host: &str, prefix: &str, service: &str, kind: &str) -> Value {
    json!({
        "Hostname": host, "PathPrefix": prefix, "Kind": kind, "Service": service,
        "Timeout": "1500ms", "TargetLatency": "300ms", "Priority": 1, "Attempts": 2,
    })
}

/// An rollout_order to move the service.
pub fn rollout_order(within: Duration) -> (String, String) {
    let text = json!({
        "Service": ROLLOUT_SERVICE, "TargetVersion": NEW_VERSION,
        "Duration": format!("{}ms", within.as_millis()),
    });
    (format!("rollout/{ROLLOUT_SERVICE}"), text.to_string())
}

/// What a report says of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// It goes on.
    Running,
    /// The target has all requests.
    Complete,
    /// The target has none.
    RolledBack,
}

/// Reads a report; nothing where it is none.
pub fn parse_report(value: &[u8]) -> Option<ReportedState> {
    let report: Value = serde_json::from_slice(value).ok()?;
    match report.get("State")?.as_str()? {
        "running" => Some(ReportedState::Running),
        "complete" => Some(ReportedState::Complete),
        "rolled_back" => Some(ReportedState::RolledBack),
        _ => None,
    }
}

/// Name of the instance that a request is meant for.
pub fn target_instance(req: &Request) -> Option<&str> {
    req.header(TARGET_INSTANCE)
}

/// Marks an answer as one to a request that did not run.
pub fn not_executed(res: Response) -> Response {
    res.with_header(NOT_EXECUTED, "1")
}

/// A client's request.
pub fn request(method: Method, path: &str, id: &str, timeout: Duration) -> Request {
    Request::new(method, path, "")
        .with_header("host", CLIENT_HOST)
        .with_header(REQUEST_ID, id)
        .with_header("x-deadline-ms", timeout.as_millis().to_string())
}

/// A question for the route of a configuration.
pub fn probe(version: u64, id: &str) -> Request {
    Request::get(format!("/{OTHER_SERVICE}/v{version}/"))
        .with_header("host", PROBE_HOST)
        .with_header(REQUEST_ID, id)
        .with_header("x-deadline-ms", "1500")
}

/// The body that an instance answers to a request.
pub fn body_of(id: &str) -> Vec<u8> {
    let length = usize::try_from(stable(&[id.as_bytes()]) % 3000).unwrap_or(0);
    let mut body = format!("{id}:").into_bytes();
    body.resize(body.len() + length, b'x');
    body
}
