//! Catalogue of the metrics that a daemon exposes: names, kinds, units and labels.
//!
//! Tests compare it with the exposed metrics and with the documentation.

/// Description of a metric as it appears in the Prometheus text format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricInfo {
    /// Name, with the suffixes that the exporter adds for unit and kind.
    pub name: &'static str,
    /// Kind in the `# TYPE` line.
    pub kind: MetricKind,
    /// Unit of the value.
    pub unit: &'static str,
    /// Label names, sorted.
    pub labels: &'static [&'static str],
    /// What the metric measures.
    pub description: &'static str,
}

/// Prometheus type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Only increases while the daemon runs; starts at 0 with the daemon.
    Counter,
    /// Current value, which can increase and decrease.
    Gauge,
    /// Counts of observed values by bucket.
    Histogram,
}

impl MetricKind {
    /// Returns the kind as the `# TYPE` line writes it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

const fn metric(
    name: &'static str,
    kind: MetricKind,
    unit: &'static str,
    labels: &'static [&'static str],
    description: &'static str,
) -> MetricInfo {
    MetricInfo {
        name,
        kind,
        unit,
        labels,
        description,
    }
}

/// All metrics, sorted by name.
pub const METRICS: &[MetricInfo] = &[
    metric(
        "bronzehead_attempts_not_run_total",
        MetricKind::Counter,
        "attempts",
        &["reason"],
        "Attempts that did not begin, by reason",
    ),
    metric(
        "bronzehead_call_added_seconds",
        MetricKind::Histogram,
        "seconds",
        &["service"],
        "Time that the system added to an answered call",
    ),
    metric(
        "bronzehead_call_seconds",
        MetricKind::Histogram,
        "seconds",
        &["outcome", "service"],
        "Time from a call's arrival to its final answer",
    ),
    metric(
        "bronzehead_calls_total",
        MetricKind::Counter,
        "calls",
        &["outcome", "service"],
        "Calls of clients, by final answer",
    ),
    metric(
        "bronzehead_cap_allocator",
        MetricKind::Gauge,
        "0 or 1",
        &[],
        "Whether this daemon gives tokens of usage caps",
    ),
    metric(
        "bronzehead_cap_decisions_total",
        MetricKind::Counter,
        "requests",
        &["customer", "outcome"],
        "Requests of customers with a usage cap, by decision; customers beyond the 16 with the largest caps count as `others`",
    ),
    metric(
        "bronzehead_config_values_unreadable_total",
        MetricKind::Counter,
        "values",
        &["entry"],
        "Values in adopted configurations that could not be read, by the kind of their entry",
    ),
    metric(
        "bronzehead_configs_rejected_total",
        MetricKind::Counter,
        "configurations",
        &[],
        "Configurations that were read and did not come into force for another reason than their age",
    ),
    metric(
        "bronzehead_control_bytes_total",
        MetricKind::Counter,
        "bytes",
        &["direction", "purpose"],
        "Bytes of the control plane",
    ),
    metric(
        "bronzehead_customer_calls_total",
        MetricKind::Counter,
        "calls",
        &["customer", "outcome"],
        "Calls of customers, by final answer; the 20 customers with the largest caps by name, the others as `(rest)`",
    ),
    metric(
        "bronzehead_convergence_seconds",
        MetricKind::Histogram,
        "seconds",
        &[],
        "Time from a ticket's record to its being in force on this daemon",
    ),
    metric(
        "bronzehead_departure_seconds",
        MetricKind::Histogram,
        "seconds",
        &["outcome"],
        "Time from the upstream's word that it leaves to the answer, which is an acknowledgement only if the store holds it",
    ),
    metric(
        "bronzehead_epoch",
        MetricKind::Gauge,
        "epoch",
        &[],
        "Epoch in force",
    ),
    metric(
        "bronzehead_instance_limit",
        MetricKind::Gauge,
        "requests/s",
        &[],
        "Rate that the upstream beside this daemon accepts from all daemons; infinite if it states none",
    ),
    metric(
        "bronzehead_instance_ends_total",
        MetricKind::Counter,
        "ends",
        &[],
        "Unannounced ends of the upstream beside this daemon under the requests that it ran",
    ),
    metric(
        "bronzehead_requests_quarantined_total",
        MetricKind::Counter,
        "requests",
        &[],
        "Requests of clients refused since upstreams have ended under them",
    ),
    metric(
        "bronzehead_instance_requests_total",
        MetricKind::Counter,
        "requests",
        &[],
        "Requests sent to the upstream beside this daemon",
    ),
    metric(
        "bronzehead_open_connections",
        MetricKind::Gauge,
        "connections",
        &[],
        "Connections that the servers of this daemon hold",
    ),
    metric(
        "bronzehead_request_memory_bytes",
        MetricKind::Gauge,
        "bytes",
        &[],
        "Memory that is charged to requests, answers and connections",
    ),
    metric(
        "bronzehead_requests_unread_total",
        MetricKind::Counter,
        "requests",
        &["reason"],
        "Incomplete requests that gave way to others (`evicted`), that found no room (`no-memory`), and connections that gave way (`no-connection`)",
    ),
    metric(
        "bronzehead_kept_slots",
        MetricKind::Gauge,
        "slots",
        &[],
        "Slots of the upstream beside this daemon that the least urgent calls leave free for more urgent ones",
    ),
    metric(
        "bronzehead_log_requests_total",
        MetricKind::Counter,
        "requests",
        &["kind"],
        "Requests to the log service",
    ),
    metric(
        "bronzehead_members",
        MetricKind::Gauge,
        "daemons",
        &[],
        "Live members that this daemon knows, itself included",
    ),
    metric(
        "bronzehead_moves_ended_total",
        MetricKind::Counter,
        "moves",
        &["end", "service"],
        "Moves whose end this daemon has folded",
    ),
    metric(
        "bronzehead_next_offset",
        MetricKind::Gauge,
        "offset",
        &[],
        "Offset of the first record that this daemon lacks",
    ),
    metric(
        "bronzehead_key_proof_withheld",
        MetricKind::Gauge,
        "flag",
        &[],
        "1 while the operator's latest configuration was read and is not in force here, so that keys stop in time",
    ),
    metric(
        "bronzehead_queued_calls",
        MetricKind::Gauge,
        "calls",
        &[],
        "Calls that wait for a slot of the upstream beside this daemon",
    ),
    metric(
        "bronzehead_route_kinds_unknown_total",
        MetricKind::Counter,
        "kinds",
        &[],
        "Kinds of request in adopted configurations that this release does not know",
    ),
    metric(
        "bronzehead_running_calls",
        MetricKind::Gauge,
        "calls",
        &[],
        "Calls that run on the upstream beside this daemon",
    ),
    metric(
        "bronzehead_ticket",
        MetricKind::Gauge,
        "ticket",
        &[],
        "Last accepted ticket that is in force here",
    ),
    metric(
        "bronzehead_instance_work_time",
        MetricKind::Gauge,
        "ratio",
        &[],
        "Time that work takes on the machine of the upstream beside this daemon, relative to its usual time; 1 if it states none",
    ),
    metric(
        "bronzehead_requests_crossed_total",
        MetricKind::Counter,
        "requests",
        &[],
        "Requests sent to an upstream in another zone",
    ),
    metric(
        "bronzehead_requests_redirected_total",
        MetricKind::Counter,
        "requests",
        &[],
        "Requests sent back to their caller, as the upstream beside this daemon is full and another one has room",
    ),
    metric(
        "bronzehead_zone_load",
        MetricKind::Gauge,
        "ratio",
        &[],
        "Mean part of the slots in use at the upstreams of this service in the zone, by reports of the last 500 ms",
    ),
    metric(
        "bronzehead_zone_load_busiest",
        MetricKind::Gauge,
        "ratio",
        &[],
        "The same at the busiest upstream; above 1, calls wait there",
    ),
];
