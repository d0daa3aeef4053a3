//! Limits of requests and connections, from the machine's settings and the configuration in force.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http_edge::BudgetLimits;
use http_edge::BudgetStats;
use http_edge::Limits;
use http_edge::MemoryBudget;
use http_edge::RawHead;
use http_edge::Response;
use http_edge::ServerCfg;
use mesh::config::ClientLimits;
use mesh::wire::ForwardHead;
use mesh::wire::ForwardOutcome;
use protocol::call::CALL_HEADER;
use protocol::call::NotRunReason;
use protocol::codec;
use serde_json::json;
use users_platform::BootConfig;
use users_platform::requests;
use users_platform::responses;
use users_platform::responses::DaemonResponse;

use crate::logs::EventClass;
use crate::node::Node;

/// Part of the process's memory that requests and connections may take, in tenths. The largest body
/// fits on the smallest machines, and the rest holds what daemons know and the answers of instances.
const MEMORY_TENTHS: usize = 7;

/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: usize = 200;

/// Part of the other descriptors that servers may use, in quarters; the rest is for connections to
/// instances and to other daemons.
const SERVER_QUARTERS: usize = 3;

/// Fewest connections that servers accept.
const MIN_CONNECTIONS: usize = 64;

/// Bytes of a client's head beyond the limit of the configuration, for its first line.
const FIRST_LINE_BYTES: usize = 4 * 1024;

/// Bytes that daemons add to the head of a request.
const ADDED_HEAD_BYTES: usize = 32 * 1024;

/// How much longer than stated a head may take, since packets get lost.
const HEAD_TIMEOUT_FACTOR: u32 = 2;

/// Idle time after which the server closes a connection from a peer: three times as long as the
/// peer reuses it.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Shortest idle time after which the server closes a client connection; longer than the 15 s or so
/// for which clients reuse one under the users' configurations.
const MIN_CLIENT_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// How long the rest of a refused request from a peer is dropped. The peer reads the refusal after it
/// has sent the request.
const PEER_LINGER: Duration = Duration::from_secs(10);

/// Time after which a client may send a request again for which there was no memory.
pub(crate) const MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Limits of the servers of a daemon.
pub struct RequestLimits {
    /// Memory and connections of all servers.
    pub budget: MemoryBudget,
    /// Settings of the server for clients.
    pub clients: Rc<Cell<ServerCfg>>,
    /// Settings of the server for peers.
    pub peers: Rc<Cell<ServerCfg>>,
    /// Counts up to the last update of the metrics.
    counted: Cell<BudgetStats>,
}

impl RequestLimits {
    /// Creates the limits that hold before the first configuration.
    pub fn new(boot: &BootConfig) -> Self {
        Self {
            budget: MemoryBudget::new(budget_limits(boot)),
            clients: Rc::new(Cell::new(client_cfg(&ClientLimits::default()))),
            peers: Rc::new(Cell::new(peer_cfg(&ClientLimits::default()))),
            counted: Cell::default(),
        }
    }
}

/// Returns what requests and connections may take on a machine.
pub(crate) fn budget_limits(boot: &BootConfig) -> BudgetLimits {
    let descriptors = boot.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let connections = (descriptors / 4 * SERVER_QUARTERS).max(MIN_CONNECTIONS);
    BudgetLimits {
        max_bytes: boot.memory_bytes / 10 * MEMORY_TENTHS,
        max_connections: connections,
    }
}

/// Returns the settings of the server for clients.
pub(crate) fn client_cfg(limits: &ClientLimits) -> ServerCfg {
    ServerCfg {
        limits: Limits {
            max_head_bytes: limits.max_head.saturating_add(FIRST_LINE_BYTES),
            max_body_bytes: limits.max_body,
        },
        idle_timeout: MIN_CLIENT_IDLE_TIMEOUT.max(limits.keep_alive_timeout),
        head_timeout: limits.head_timeout.saturating_mul(HEAD_TIMEOUT_FACTOR),
        max_connections: usize::MAX,
        ..ServerCfg::default()
    }
}

/// Returns the settings of the server for peers, whose requests have a longer head.
pub(crate) fn peer_cfg(limits: &ClientLimits) -> ServerCfg {
    // A peer writes a space after each colon.
    let written_head = limits.max_head.saturating_mul(2);
    ServerCfg {
        limits: Limits {
            max_head_bytes: written_head.saturating_add(ADDED_HEAD_BYTES),
            max_body_bytes: limits.max_body,
        },
        idle_timeout: PEER_IDLE_TIMEOUT,
        max_connections: usize::MAX,
        // A request that is on its way to a connection that closes may count as lost.
        keeps_connections: true,
        linger_timeout: PEER_LINGER,
        linger_bytes: limits.max_body,
        ..ServerCfg::default()
    }
}

impl Node {
    /// Applies the limits of the configuration in force, and counts what was refused.
    pub(crate) fn update_limits(&self) {
        let limits = &self.limits;
        limits.budget.set_limits(budget_limits(&self.boot.borrow()));
        if let Some(configured) = self
            .active_table
            .borrow()
            .current()
            .and_then(|table| table.limits())
        {
            limits.clients.set(client_cfg(configured));
            limits.peers.set(peer_cfg(configured));
        }
        let stats = limits.budget.stats();
        let before = limits.counted.replace(stats);
        self.metrics
            .set_request_memory(stats.used_bytes, stats.connections);
        for (reason, count) in [
            ("evicted", stats.evicted - before.evicted),
            ("no-memory", stats.refused - before.refused),
            ("no-connection", stats.closed - before.closed),
        ] {
            self.metrics.record_unread(reason, count);
        }
    }

    /// Refuses a client's request for which there is no memory.
    pub(crate) fn refuse_unread(&self, head: Option<&RawHead>) -> Response {
        let id = head.and_then(requests::unread_id).unwrap_or_default();
        self.log_unread(&id, "client");
        responses::encode(DaemonResponse::NotRun(MEMORY_RETRY), &id)
    }

    /// Returns the outcome of a peer's request for which there is no memory.
    pub(crate) fn refuse_unread_of_peer(&self, head: Option<&RawHead>) -> ForwardOutcome {
        let call = head
            .and_then(|head| head.header(CALL_HEADER))
            .and_then(|value| codec::decode_header_value::<ForwardHead>(&value).ok());
        let id = call.map(|call| call.request).unwrap_or_default();
        self.transfers.end(&id);
        self.log_unread(&id, "daemon");
        ForwardOutcome::NotRun(self.dispatcher.not_run(NotRunReason::Overloaded))
    }

    fn log_unread(&self, id: &str, from: &'static str) {
        self.event_log.emit(
            EventClass::Failure,
            "request-unread",
            Instant::now(),
            || {
                let stats = self.limits.budget.stats();
                json!({
                    "request": id,
                    "from": from,
                    "used_bytes": stats.used_bytes,
                    "connections": stats.connections,
                })
            },
        );
    }
}
