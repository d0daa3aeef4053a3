//! Registry of a daemon's metrics and their Prometheus text format.

mod labels;

use std::fmt;
use std::time::Duration;

pub use self::labels::CallOutcome;
pub use self::labels::CapOutcome;
pub use self::labels::DepartureOutcome;
pub use self::labels::Direction;
pub use self::labels::LogRequest;
pub use self::labels::Purpose;
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

/// Upper bounds of the histogram buckets for call latency, in seconds.
const CALL_BOUNDS_SECONDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// Upper bounds of the histogram buckets for added latency, in seconds.
const ADDED_BOUNDS_SECONDS: [f64; 9] = [
    0.0001, 0.0002, 0.0004, 0.0008, 0.0011, 0.002, 0.005, 0.01, 0.05,
];

/// Upper bounds of the histogram buckets for convergence time, in seconds.
const CONVERGENCE_BOUNDS_SECONDS: [f64; 8] = [0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 7.0, 15.0];

/// Errors of the metrics registry.
#[derive(Debug)]
pub enum MetricsError {
    /// The exporter could not be registered; holds its message.
    Exporter(String),
    /// The text format could not be encoded; holds the message of the encoder.
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

/// Gauges of the daemon's state, set when the state changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateGauges {
    /// Last accepted ticket that is in force.
    pub ticket: TicketNumber,
    /// Offset of the first record that the daemon lacks.
    pub next_offset: Offset,
    /// Epoch in force.
    pub epoch: Epoch,
    /// Number of live members, this daemon included.
    pub members: u64,
}

/// Metrics of one daemon, with the registry that exports them.
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    calls: Counter<u64>,
    customer_calls: Counter<u64>,
    call_time: Histogram<f64>,
    added_time: Histogram<f64>,
    attempts_not_run: Counter<u64>,
    unknown_kinds: Counter<u64>,
    configs_rejected: Counter<u64>,
    config_values_unreadable: Counter<u64>,
    proof_withheld: Gauge<u64>,
    control_bytes: Counter<u64>,
    log_requests: Counter<u64>,
    convergence: Histogram<f64>,
    departures: Histogram<f64>,
    rollouts_ended: Counter<u64>,
    ticket: Gauge<u64>,
    next_offset: Gauge<u64>,
    epoch: Gauge<u64>,
    members: Gauge<u64>,
    running_calls: Gauge<u64>,
    queued_calls: Gauge<u64>,
    kept_slots: Gauge<u64>,
    instance_requests: Counter<u64>,
    request_memory: Gauge<u64>,
    open_connections: Gauge<u64>,
    requests_unread: Counter<u64>,
    instance_ends: Counter<u64>,
    requests_quarantined: Counter<u64>,
    instance_limit: Gauge<f64>,
    cap_decisions: Counter<u64>,
    is_allocator: Gauge<u64>,
    instance_work_time: Gauge<f64>,
    requests_redirected: Counter<u64>,
    requests_crossed: Counter<u64>,
    zone_load: Gauge<f64>,
    zone_load_busiest: Gauge<f64>,
}

impl Metrics {
    /// Creates the metrics; none has a value yet.
    ///
    /// # Errors
    /// When the exporter cannot be registered.
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
            customer_calls: counter(&meter, "bronzehead_customer_calls", ""),
            call_time: seconds_histogram(&meter, "bronzehead_call", &CALL_BOUNDS_SECONDS),
            added_time: seconds_histogram(&meter, "bronzehead_call_added", &ADDED_BOUNDS_SECONDS),
            attempts_not_run: counter(&meter, "bronzehead_attempts_not_run", ""),
            unknown_kinds: counter(&meter, "bronzehead_route_kinds_unknown", ""),
            configs_rejected: counter(&meter, "bronzehead_configs_rejected", ""),
            config_values_unreadable: counter(&meter, "bronzehead_config_values_unreadable", ""),
            proof_withheld: gauge(&meter, "bronzehead_key_proof_withheld"),
            control_bytes: counter(&meter, "bronzehead_control", "By"),
            log_requests: counter(&meter, "bronzehead_log_requests", ""),
            convergence: seconds_histogram(
                &meter,
                "bronzehead_convergence",
                &CONVERGENCE_BOUNDS_SECONDS,
            ),
            departures: seconds_histogram(
                &meter,
                "bronzehead_departure",
                &CONVERGENCE_BOUNDS_SECONDS,
            ),
            rollouts_ended: counter(&meter, "bronzehead_moves_ended", ""),
            ticket: gauge(&meter, "bronzehead_ticket"),
            next_offset: gauge(&meter, "bronzehead_next_offset"),
            epoch: gauge(&meter, "bronzehead_epoch"),
            members: gauge(&meter, "bronzehead_members"),
            running_calls: gauge(&meter, "bronzehead_running_calls"),
            queued_calls: gauge(&meter, "bronzehead_queued_calls"),
            kept_slots: gauge(&meter, "bronzehead_kept_slots"),
            request_memory: gauge(&meter, "bronzehead_request_memory_bytes"),
            open_connections: gauge(&meter, "bronzehead_open_connections"),
            requests_unread: counter(&meter, "bronzehead_requests_unread", ""),
            instance_requests: counter(&meter, "bronzehead_instance_requests", ""),
            instance_ends: counter(&meter, "bronzehead_instance_ends", ""),
            requests_quarantined: counter(&meter, "bronzehead_requests_quarantined", ""),
            instance_limit: meter.f64_gauge("bronzehead_instance_limit").build(),
            cap_decisions: counter(&meter, "bronzehead_cap_decisions", ""),
            is_allocator: gauge(&meter, "bronzehead_cap_allocator"),
            instance_work_time: meter.f64_gauge("bronzehead_instance_work_time").build(),
            requests_redirected: counter(&meter, "bronzehead_requests_redirected", ""),
            requests_crossed: counter(&meter, "bronzehead_requests_crossed", ""),
            zone_load: meter.f64_gauge("bronzehead_zone_load").build(),
            zone_load_busiest: meter.f64_gauge("bronzehead_zone_load_busiest").build(),
            registry,
            provider,
        })
    }

    /// Records the outcome of a call, given `took` after its arrival.
    pub fn record_call(&self, service: &ServiceName, outcome: CallOutcome, took: Duration) {
        let labels = [
            service_label("service", service),
            static_label("outcome", outcome.label()),
        ];
        self.calls.add(1, &labels);
        self.call_time.record(took.as_secs_f64(), &labels);
    }

    /// Counts a call of a customer by its outcome. The number of different names must be bounded.
    pub fn record_customer_call(&self, customer: &str, outcome: CallOutcome) {
        let customer = KeyValue::new("customer", customer.to_owned());
        let outcome = static_label("outcome", outcome.label());
        self.customer_calls.add(1, &[customer, outcome]);
    }

    /// Records the latency that the system added to an answered call.
    pub fn record_added_latency(&self, service: &ServiceName, added: Duration) {
        let labels = [service_label("service", service)];
        self.added_time.record(added.as_secs_f64(), &labels);
    }

    /// Counts an attempt that did not start.
    pub fn record_not_run(&self, reason: &'static str) {
        self.attempts_not_run
            .add(1, &[static_label("reason", reason)]);
    }

    /// Counts a kind of request in an adopted configuration that this release does not know.
    pub fn record_unknown_kind(&self) {
        self.unknown_kinds.add(1, &[]);
    }

    /// Counts a configuration that did not come into force though it is not older than the one that is.
    pub fn record_config_rejected(&self) {
        self.configs_rejected.add(1, &[]);
    }

    /// Counts a value of an adopted configuration that could not be read, by the kind of its entry.
    pub fn record_unreadable_value(&self, entry: &'static str) {
        self.config_values_unreadable
            .add(1, &[static_label("entry", entry)]);
    }

    /// Sets whether reads of the operator's records prove nothing, as the latest configuration is not in force.
    pub fn set_proof_withheld(&self, is_withheld: bool) {
        self.proof_withheld.record(u64::from(is_withheld), &[]);
    }

    /// Counts bytes of control-plane traffic.
    pub fn record_control_bytes(&self, purpose: Purpose, direction: Direction, bytes: u64) {
        let purpose = static_label("purpose", purpose.label());
        let direction = static_label("direction", direction.label());
        self.control_bytes.add(bytes, &[purpose, direction]);
    }

    /// Counts a request to the log service.
    pub fn record_log_request(&self, kind: LogRequest) {
        self.log_requests
            .add(1, &[static_label("kind", kind.label())]);
    }

    /// Records that a ticket came into force on this daemon, `took` after it was recorded.
    pub fn record_convergence(&self, took: Duration) {
        self.convergence.record(took.as_secs_f64(), &[]);
    }

    /// Records the answer to the upstream's word that it leaves, `took` after it arrived.
    pub fn record_departure(&self, outcome: DepartureOutcome, took: Duration) {
        let outcome = static_label("outcome", outcome.label());
        self.departures.record(took.as_secs_f64(), &[outcome]);
    }

    /// Counts a rollout that ended.
    pub fn record_rollout_end(&self, service: &ServiceName, end: &RolloutOutcome) {
        let end = static_label("end", outcome_label(end));
        self.rollouts_ended
            .add(1, &[service_label("service", service), end]);
    }

    /// Sets the gauges of the daemon's state.
    pub fn set_state(&self, state: StateGauges) {
        self.ticket.record(state.ticket, &[]);
        self.next_offset.record(state.next_offset, &[]);
        self.epoch.record(state.epoch, &[]);
        self.members.record(state.members, &[]);
    }

    /// Sets the numbers of running and queued calls of the local upstream.
    pub fn set_load(&self, running: u32, queued: u32) {
        self.running_calls.record(u64::from(running), &[]);
        self.queued_calls.record(u64::from(queued), &[]);
    }

    /// Sets the number of slots of the local upstream that the least urgent calls leave free.
    pub fn set_kept_slots(&self, kept: u32) {
        self.kept_slots.record(u64::from(kept), &[]);
    }

    /// Sets what requests and connections take of the memory, and the number of connections.
    pub fn set_request_memory(&self, bytes: usize, connections: usize) {
        self.request_memory.record(bytes as u64, &[]);
        self.open_connections.record(connections as u64, &[]);
    }

    /// Counts requests and connections that gave way to others, or found no room.
    pub fn record_unread(&self, reason: &'static str, count: u64) {
        self.requests_unread
            .add(count, &[static_label("reason", reason)]);
    }

    /// Counts a request that was sent to the local instance.
    pub fn record_instance_request(&self) {
        self.instance_requests.add(1, &[]);
    }

    /// Counts an end of the local instance that no heartbeat had told.
    pub fn record_instance_end(&self) {
        self.instance_ends.add(1, &[]);
    }

    /// Counts a client's request that was refused since instances ended under it.
    pub fn record_quarantined(&self) {
        self.requests_quarantined.add(1, &[]);
    }

    /// Sets the rate that the local instance accepts, in requests a second; `None` if it states no
    /// limit.
    pub fn set_instance_limit(&self, per_sec: Option<f64>) {
        self.instance_limit
            .record(per_sec.unwrap_or(f64::INFINITY), &[]);
    }

    /// Counts a decision on a request of a customer with a usage cap. The caller bounds the number of
    /// customers.
    pub fn record_cap_decision(&self, customer: &str, outcome: CapOutcome) {
        let customer = KeyValue::new("customer", customer.to_owned());
        let outcome = static_label("outcome", outcome.label());
        self.cap_decisions.add(1, &[customer, outcome]);
    }

    /// Sets whether this daemon gives tokens of usage caps.
    pub fn set_is_allocator(&self, is_allocator: bool) {
        self.is_allocator.record(u64::from(is_allocator), &[]);
    }

    /// Sets how long work takes on the machine of the local instance, relative to its usual time.
    pub fn set_instance_work_time(&self, factor: f64) {
        self.instance_work_time.record(factor, &[]);
    }

    /// Counts a request that the daemon beside a full instance sent back to its caller.
    pub fn record_redirect(&self) {
        self.requests_redirected.add(1, &[]);
    }

    /// Counts a request that was sent to an instance of another zone.
    pub fn record_crossing(&self) {
        self.requests_crossed.add(1, &[]);
    }

    /// Sets the mean and the highest use of slots among the instances of the local service in this zone.
    pub fn set_zone_load(&self, mean: f64, busiest: f64) {
        self.zone_load.record(mean, &[]);
        self.zone_load_busiest.record(busiest, &[]);
    }

    /// Encodes all values in the Prometheus text format.
    ///
    /// # Errors
    /// When a value cannot be encoded.
    pub fn encode_text(&self) -> Result<String, MetricsError> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|e| MetricsError::Encode(e.to_string()))
    }

    /// Shuts down the meter provider.
    pub fn close(self) {
        // Values are exported only on request, so a failed shutdown loses nothing.
        let _ = self.provider.shutdown();
    }
}

/// Returns the outcome of a rollout as the label `end` and the burn report write it.
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

fn seconds_histogram(meter: &Meter, name: &'static str, bounds: &[f64]) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(bounds.to_vec())
        .build()
}

fn service_label(key: &'static str, value: &ServiceName) -> KeyValue {
    KeyValue::new(key, value.to_string())
}

fn static_label(key: &'static str, value: &'static str) -> KeyValue {
    KeyValue::new(key, value)
}
