//! Messages and names of the users' platform, its operator, its instances and its clients. No other
//! file of the soak contains names of the platform.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use base::hash::stable;
use http::Method;
use http_edge::Request;
use http_edge::Response;
use serde_json::Value;
use serde_json::json;

use crate::soak::notices::Stated;
use crate::soak::notices::Statement;

/// Service that the rollout changes.
pub const ROLLOUT_SERVICE: &str = "a";
/// Service that keeps its version.
pub const OTHER_SERVICE: &str = "b";
/// Version before the rollout.
pub const OLD_VERSION: &str = "v1";
/// Target version of the rollout.
pub const NEW_VERSION: &str = "v2";
/// Header in which an instance repeats the request id, so that a response that reaches the wrong
/// request is detected.
pub const RESPONSE_STAMP: &str = "x-response-stamp";
/// Header with the request id, in requests and responses.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the name of the instance that a request is addressed to.
const TARGET_INSTANCE: &str = "x-target-instance";
/// Header that marks a response to a request that did not run.
const NOT_EXECUTED: &str = "x-not-executed";
/// Header with the requests a second that an instance accepts.
const LIMIT: &str = "server-limit";
/// Header of an instance that is leaving.
const LEAVING: &str = "server-leaving";
/// Header with the name of the instance that answered; the daemons pass it on.
const INSTANCE: &str = "x-soak-instance";
/// Environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "BRONZEHEAD_BOOT";
/// Path of the readiness check of a daemon.
pub const READY_PATH: &str = "/-/readyz";
/// Topic of the operator's configurations and rollout orders.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic of the rollout reports.
pub const REPORTS_TOPIC: &str = "keyed.status";
/// Topic of the records that daemons share with each other.
pub const DAEMONS_TOPIC: &str = "keyed.mesh";
/// All topics of the store.
pub const TOPICS: [&str; 3] = [OPERATOR_TOPIC, REPORTS_TOPIC, DAEMONS_TOPIC];
/// Host of the requests of clients.
const CLIENT_HOST: &str = "shop.example";
/// Host of the probe routes, which show the configuration in force.
const PROBE_HOST: &str = "probe.example";
/// Number of earlier configurations whose probe routes are retained, so that a probe of a slow
/// daemon does not ask for a removed route.
const RETAINED_PROBES: usize = 3;

/// Port on which a daemon accepts clients.
pub const CLIENTS_PORT: u16 = 9101;
/// Port of the proxy in front of `CLIENTS_PORT`.
pub const CLIENTS_PROXY_PORT: u16 = 9111;
/// Port of a daemon's readiness check.
pub const READY_PORT: u16 = 9102;
/// Port on which a daemon accepts heartbeats of its instance.
pub const CONTROL_PORT: u16 = 9103;
/// Port of the instance.
pub const INSTANCE_PORT: u16 = 9104;
/// Port of the proxy in front of `INSTANCE_PORT`.
pub const INSTANCE_PROXY_PORT: u16 = 9114;
/// Port on which a daemon accepts other daemons.
pub const INNER_PORT: u16 = 9105;
/// Port of the store, and of a machine's proxy in front of it.
pub const STORE_PORT: u16 = 9106;

/// Returns the settings file of a machine's daemon.
pub fn settings(name: &str, ip: IpAddr, zone: &str, service: &str) -> String {
    format!(
        "Node: \"{name}\"\nIp: \"{ip}\"\nZone: \"{zone}\"\nService: \"{service}\"\n\
         Listen: {{Inbound: \"{ip}:{INNER_PORT}\", Outbound: \"{ip}:{CLIENTS_PORT}\", Ready: \"{ip}:{READY_PORT}\", Control: \"{ip}:{CONTROL_PORT}\"}}\n\
         PortRange: [{INNER_PORT}, {INNER_PORT}]\nLimits: {{CpuShare: 0.2, Cores: 1, MemoryMb: 260, LinkMbps: 1000.0}}\n\
         Heartbeat: \"500ms\"\nBounds: [\"Grace=6s\", \"RetryRatio=0.2\", \"RetrySlack=60\"]\n\
         AppAddr: \"{ip}:{INSTANCE_PROXY_PORT}\"\nPlatform: {{Address: \"{ip}:{STORE_PORT}\", form: \"log\"}}\n"
    )
}

/// Returns the body of a heartbeat; `started_at_ms` is the start of the instance in Unix
/// milliseconds.
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

/// Returns a heartbeat with a figure that no instance has; `turn` picks which.
pub fn odd_heartbeat(service: &str, address: SocketAddr, turn: u64) -> String {
    let (cold_left, slots, sequence, born) = match turn % 4 {
        0 => ("9999999999999999999s", "8", "9", "7"),
        1 => ("0ms", "4294967295", "9", "7"),
        2 => ("0ms", "8", "18446744073709551615", "7"),
        _ => ("0ms", "8", "9", "18446744073709551615"),
    };
    format!(
        r#"{{"Service":"{service}","Version":"v1","Address":"{address}","Zone":"z","Slots":{slots},"State":"ready","ColdLeft":"{cold_left}","Seq":{sequence},"born":{born}}}"#
    )
}

/// Returns the path of the heartbeats of an instance.
pub fn heartbeat_path(name: &str) -> String {
    format!("/-/Instances.Heartbeat/{name}")
}

/// Returns the path on which an instance deregisters.
pub fn deregister_path(name: &str) -> String {
    format!("/-/Instances.Deregister/{name}")
}

/// Returns the configuration of a version; `probes` are earlier versions, the last of which keep
/// their probe routes.
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

/// Returns the key and value of an order to roll out the new version.
pub fn rollout_order(within: Duration) -> (String, String) {
    let text = json!({
        "Service": ROLLOUT_SERVICE, "TargetVersion": NEW_VERSION,
        "Duration": format!("{}ms", within.as_millis()),
    });
    (format!("rollout/{ROLLOUT_SERVICE}"), text.to_string())
}

/// State of a rollout in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// The rollout is in progress.
    Running,
    /// The target version receives all requests.
    Complete,
    /// The target version receives no requests.
    RolledBack,
}

/// Parses a report; `None` if the value is not a valid report.
pub fn parse_report(value: &[u8]) -> Option<ReportedState> {
    let report: Value = serde_json::from_slice(value).ok()?;
    match report.get("State")?.as_str()? {
        "running" => Some(ReportedState::Running),
        "complete" => Some(ReportedState::Complete),
        "rolled_back" => Some(ReportedState::RolledBack),
        _ => None,
    }
}

/// Returns the name of the instance that a request is addressed to.
pub fn target_instance(req: &Request) -> Option<&str> {
    req.header(TARGET_INSTANCE)
}

/// Marks a response as belonging to a request that did not run.
pub fn not_executed(res: Response) -> Response {
    res.with_header(NOT_EXECUTED, "1")
}

/// Adds the headers of what an instance states, and its name.
pub fn with_statement(mut res: Response, statement: Statement, name: &str) -> Response {
    if let Some((per_sec, _)) = statement.limit {
        res = res.with_header(LIMIT, per_sec.to_string());
    }
    if statement.is_leaving {
        res = res.with_header(LEAVING, "1");
    }
    res.with_header(INSTANCE, name)
}

/// Returns the name of the instance that answered, and what it stated.
pub fn stated(res: &Response) -> Option<(&str, Stated)> {
    let stated = Stated {
        limit: res.header(LIMIT).and_then(|text| text.parse().ok()),
        leaving: res.header(LEAVING).is_some(),
    };
    Some((res.header(INSTANCE)?, stated))
}

/// Creates a client's request; `timeout` becomes its deadline.
pub fn request(method: Method, path: &str, id: &str, timeout: Duration) -> Request {
    Request::new(method, path, "")
        .with_header("host", CLIENT_HOST)
        .with_header(REQUEST_ID, id)
        .with_header("x-deadline-ms", timeout.as_millis().to_string())
}

/// Creates a request for the probe route of a configuration.
pub fn probe(version: u64, id: &str) -> Request {
    Request::get(format!("/{OTHER_SERVICE}/v{version}/"))
        .with_header("host", PROBE_HOST)
        .with_header(REQUEST_ID, id)
        .with_header("x-deadline-ms", "1500")
}

/// Returns the response body of a request; its length is derived from the id.
pub fn body_of(id: &str) -> Vec<u8> {
    let length = usize::try_from(stable(&[id.as_bytes()]) % 3000).unwrap_or(0);
    let mut body = format!("{id}:").into_bytes();
    body.resize(body.len() + length, b'x');
    body
}
