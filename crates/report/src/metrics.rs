//! The registry of a daemon's metrics and its text form.

use std::fmt;
use std::time::Duration;

use base::Epoch;
use base::Offset;
use base::ServiceName;
use base::TicketNumber;
use ledger::RolloutOutcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the buckets of call times, in seconds.
const CALL_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Upper bounds of the buckets of added times, in seconds.
const ADDED_BOUNDS: [f64; 9] = [
    0.0001, 0.0002, 0.0004, 0.0008, 0.0011, 0.002, 0.005, 0.01, 0.05,
];

/// Upper bounds of the buckets of convergence times, in seconds.
const CONVERGENCE_BOUNDS: [f64; 8] = [0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 7.0, 15.0];

/// Why the metrics could not be set up or written.
#[derive(Debug)]
pub enum MetricsError {
    /// The exporter refused the registry.
    Exporter(String),
    /// The text form could not be written.
    Encode(String),
}

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exporter(e) => write!(f, "metrics cannot be exported: {e}"),
            Self::Encode(e) => write!(f, "metrics cannot be written: {e}"),
        }
    }
}

impl std::error::Error for MetricsError {}

/// Final answer of a call, as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered without a failure of its own.
    Answered,
    /// The upstream answered with a failure.
    Failed,
    /// The call was refused as not run.
    NotRun,
    /// Nobody knows whether the call ran.
    Unknown,
}

impl CallOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Which way bytes went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From this daemon.
    Sent,
    /// To this daemon.
    Received,
}

impl Direction {
    fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// What bytes of the control plane were for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Membership.
    Probe,
    /// Records, leases and facts between daemons.
    Feed,
    /// Evidence for the controller.
    Evidence,
    /// The log service.
    Log,
}

impl Purpose {
    fn label(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Feed => "feed",
            Self::Evidence => "evidence",
            Self::Log => "log",
        }
    }
}

/// Kind of a request to the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogRequest {
    /// A record was appended.
    Append,
    /// Records were read.
    Read,
}

impl LogRequest {
    fn label(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::Read => "read",
        }
    }
}

/// Values that the daemon sets when they change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateGauges {
    /// Last accepted ticket.
    pub ticket: TicketNumber,
    /// Offset of the first record that it lacks.
    pub next_offset: Offset,
    /// Epoch in force.
    pub epoch: Epoch,
    /// Live members, itself included.
    pub members: u64,
}

/// Metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    calls: Counter<u64>,
    call_time: Histogram<f64>,
    added_time: Histogram<f64>,
    not_run: Counter<u64>,
    control_bytes: Counter<u64>,
    log_requests: Counter<u64>,
    convergence: Histogram<f64>,
    moves: Counter<u64>,
    ticket: Gauge<u64>,
    next: Gauge<u64>,
    epoch: Gauge<u64>,
    members: Gauge<u64>,
    running: Gauge<u64>,
    queued: Gauge<u64>,
}

impl Metrics {
    /// Metrics of which none has a value yet.
    ///
    /// # Errors
    /// When the exporter refuses the registry.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|e| MetricsError::Exporter(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bronzehead");
        Ok(Self {
            calls: counter(&meter, "bronzehead_calls", ""),
            call_time: seconds(&meter, "bronzehead_call", &CALL_BOUNDS),
            added_time: seconds(&meter, "bronzehead_call_added", &ADDED_BOUNDS),
            not_run: counter(&meter, "bronzehead_attempts_not_run", ""),
            control_bytes: counter(&meter, "bronzehead_control", "By"),
            log_requests: counter(&meter, "bronzehead_log_requests", ""),
            convergence: seconds(&meter, "bronzehead_convergence", &CONVERGENCE_BOUNDS),
            moves: counter(&meter, "bronzehead_moves_ended", ""),
            ticket: gauge(&meter, "bronzehead_ticket"),
            next: gauge(&meter, "bronzehead_next_offset"),
            epoch: gauge(&meter, "bronzehead_epoch"),
            members: gauge(&meter, "bronzehead_members"),
            running: gauge(&meter, "bronzehead_running_calls"),
            queued: gauge(&meter, "bronzehead_queued_calls"),
            registry,
            provider,
        })
    }

    /// Counts the final answer of a call, `took` after its arrival.
    pub fn record_call(&self, service: &ServiceName, outcome: CallOutcome, took: Duration) {
        let labels = [label("service", service), fixed("outcome", outcome.label())];
        self.calls.add(1, &labels);
        self.call_time.record(took.as_secs_f64(), &labels);
    }

    /// Counts the time that the system added to an answered call.
    pub fn record_added_latency(&self, service: &ServiceName, added: Duration) {
        let labels = [label("service", service)];
        self.added_time.record(added.as_secs_f64(), &labels);
    }

    /// Counts an attempt that did not begin.
    pub fn record_not_run(&self, reason: &'static str) {
        self.not_run.add(1, &[fixed("reason", reason)]);
    }

    /// Counts bytes of the control plane.
    pub fn record_control_bytes(&self, purpose: Purpose, direction: Direction, bytes: u64) {
        let purpose = fixed("purpose", purpose.label());
        let direction = fixed("direction", direction.label());
        self.control_bytes.add(bytes, &[purpose, direction]);
    }

    /// Counts a request to the log service.
    pub fn record_log_request(&self, kind: LogRequest) {
        self.log_requests.add(1, &[fixed("kind", kind.label())]);
    }

    /// Counts a ticket that came into force here, `took` after its record.
    pub fn record_convergence(&self, took: Duration) {
        self.convergence.record(took.as_secs_f64(), &[]);
    }

    /// Counts the end of a move.
    pub fn record_rollout_end(&self, service: &ServiceName, end: &RolloutOutcome) {
        let end = fixed("end", outcome_label(end));
        self.moves.add(1, &[label("service", service), end]);
    }

    /// Sets where the daemon stands.
    pub fn set_state(&self, state: StateGauges) {
        self.ticket.record(state.ticket, &[]);
        self.next.record(state.next_offset, &[]);
        self.epoch.record(state.epoch, &[]);
        self.members.record(state.members, &[]);
    }

    /// Sets the load of the upstream beside the daemon.
    pub fn set_load(&self, running: u32, queued: u32) {
        self.running.record(u64::from(running), &[]);
        self.queued.record(u64::from(queued), &[]);
    }

    /// All values in the usual text form.
    ///
    /// # Errors
    /// When a value cannot be written.
    pub fn encode_text(&self) -> Result<String, MetricsError> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|e| MetricsError::Encode(e.to_string()))
    }

    /// Shuts the provider down.
    pub fn close(self) {
        // Nothing is exported by itself, so a failure loses nothing.
        let _ = self.provider.shutdown();
    }
}

/// How a move ended, as it is counted and told in reports.
#[must_use]
pub fn outcome_label(end: &RolloutOutcome) -> &'static str {
    match end {
        RolloutOutcome::Done => "done",
        RolloutOutcome::DoneLate { .. } => "done-late",
        RolloutOutcome::RolledBack { .. } => "taken-back",
        RolloutOutcome::Superseded { .. } => "superseded",
    }
}

fn counter(meter: &Meter, name: &'static str, unit: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_unit(unit).build()
}

fn gauge(meter: &Meter, name: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).build()
}

fn seconds(meter: &Meter, name: &'static str, bounds: &[f64]) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(bounds.to_vec())
        .build()
}

fn label(key: &'static str, value: &ServiceName) -> KeyValue {
    KeyValue::new(key, value.to_string())
}

fn fixed(key: &'static str, value: &'static str) -> KeyValue {
    KeyValue::new(key, value)
}
