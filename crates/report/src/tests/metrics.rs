//! Tests that the exposed metrics, the catalogue and the documentation page agree.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ledger::RolloutOutcome;

use crate::Metrics;
use crate::catalogue::METRICS;
use crate::metrics::CallOutcome;
use crate::metrics::CapOutcome;
use crate::metrics::DepartureOutcome;
use crate::metrics::Direction;
use crate::metrics::LogRequest;
use crate::metrics::Purpose;
use crate::metrics::StateGauges;

/// Returns the text format with a value for every metric.
fn text() -> String {
    let metrics = Metrics::new().unwrap();
    let service = "bookings".into();
    metrics.record_call(&service, CallOutcome::Answered, Duration::from_millis(7));
    metrics.record_customer_call("gowns", CallOutcome::Answered);
    metrics.record_added_latency(&service, Duration::from_micros(300));
    metrics.record_unknown_kind();
    metrics.record_config_rejected();
    metrics.set_proof_withheld(true);
    metrics.record_unreadable_value("route");
    metrics.record_not_run("overloaded");
    metrics.record_control_bytes(Purpose::Feed, Direction::Sent, 120);
    metrics.record_log_request(LogRequest::Append);
    metrics.record_convergence(Duration::from_millis(90));
    metrics.record_departure(DepartureOutcome::Acknowledged, Duration::from_millis(8));
    metrics.record_rollout_end(&service, &RolloutOutcome::Done);
    metrics.set_load(3, 1);
    metrics.set_kept_slots(2);
    metrics.record_instance_request();
    metrics.set_request_memory(1, 1);
    metrics.record_unread("evicted", 1);
    metrics.record_instance_end();
    metrics.record_quarantined();
    metrics.set_instance_limit(Some(14.2));
    metrics.set_instance_work_time(2.5);
    metrics.record_redirect();
    metrics.record_crossing();
    metrics.set_zone_load(0.7, 1.1);
    metrics.record_cap_decision("gowns", CapOutcome::Granted);
    metrics.set_is_allocator(true);
    metrics.set_state(StateGauges {
        ticket: 7,
        next_offset: 40,
        epoch: 2,
        members: 12,
    });
    let text = metrics.encode_text().unwrap();
    metrics.close();
    text
}

/// Label that the exporter adds to each sample.
const SCOPE: &str = r#"otel_scope_name="bronzehead""#;

/// Returns the metric names and kinds in the text format.
fn families(text: &str) -> BTreeMap<&str, &str> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    lines.filter_map(|line| line.split_once(' ')).collect()
}

#[test]
fn text_format_contains_exactly_the_catalogue() {
    let text = text();
    let listed: BTreeMap<&str, &str> = METRICS
        .iter()
        .map(|metric| (metric.name, metric.kind.as_str()))
        .collect();
    assert_eq!(families(&text), listed);
}

#[test]
fn text_format_contains_the_recorded_values_and_labels() {
    let text = text();
    for line in [
        "bronzehead_ticket{SCOPE} 7",
        "bronzehead_next_offset{SCOPE} 40",
        "bronzehead_members{SCOPE} 12",
        "bronzehead_running_calls{SCOPE} 3",
        r#"bronzehead_calls_total{outcome="answered",service="bookings",SCOPE} 1"#,
        r#"bronzehead_customer_calls_total{customer="gowns",outcome="answered",SCOPE} 1"#,
        r#"bronzehead_control_bytes_total{direction="sent",purpose="feed",SCOPE} 120"#,
        r#"bronzehead_call_seconds_bucket{outcome="answered",service="bookings",SCOPE,le="0.005"} 0"#,
        r#"bronzehead_call_seconds_bucket{outcome="answered",service="bookings",SCOPE,le="0.01"} 1"#,
    ] {
        let line = line.replace("SCOPE", SCOPE);
        assert!(text.lines().any(|l| l == line), "no `{line}` in:\n{text}");
    }
}

#[test]
fn the_page_lists_each_metric_with_its_unit_and_labels() {
    let page = include_str!("../../../../docs/METRICS.md");
    let rows: BTreeSet<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let row = |metric: &crate::catalogue::MetricInfo| {
        format!(
            "| `{}` | {} | {} | {} | {} |",
            metric.name,
            metric.kind.as_str(),
            metric.unit,
            metric.labels.join(", "),
            metric.description,
        )
    };
    let wanted: Vec<String> = METRICS.iter().map(row).collect();
    let wanted: BTreeSet<&str> = wanted.iter().map(String::as_str).collect();
    assert_eq!(rows, wanted);
}
