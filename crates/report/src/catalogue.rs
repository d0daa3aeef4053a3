//! The metrics that a daemon exposes: names, units and labels.

/// One metric, as it stands in the text form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricInfo {
    /// Name.
    pub name: &'static str,
    /// Kind.
    pub kind: MetricKind,
    /// Unit of its value.
    pub unit: &'static str,
    /// Labels.
    pub labels: &'static [&'static str],
    /// What it counts.
    pub help: &'static str,
}

/// Kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Rises only, while the daemon runs.
    Counter,
    /// Rises and falls.
    Gauge,
    /// Counts by size.
    Histogram,
}

impl MetricKind {
    /// The kind as the text form writes it.
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
    help: &'static str,
) -> MetricInfo {
    MetricInfo {
        name,
        kind,
        unit,
        labels,
        help,
    }
}

/// All metrics, by name.
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
        "bronzehead_control_bytes_total",
        MetricKind::Counter,
        "bytes",
        &["direction", "purpose"],
        "Bytes of the control plane",
    ),
    metric(
        "bronzehead_convergence_seconds",
        MetricKind::Histogram,
        "seconds",
        &[],
        "Time from a ticket's record to its being in force on this daemon",
    ),
    metric(
        "bronzehead_epoch",
        MetricKind::Gauge,
        "epoch",
        &[],
        "Epoch in force",
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
        "bronzehead_queued_calls",
        MetricKind::Gauge,
        "calls",
        &[],
        "Calls that wait for a slot of the upstream beside this daemon",
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
];
