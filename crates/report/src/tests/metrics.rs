//! Tests that the metrics, the list of them and the page about them say the same.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ledger::RolloutOutcome;

use crate::Metrics;
use crate::catalogue::ALL;
use crate::metrics::CallOutcome;
use crate::metrics::Direction;
use crate::metrics::LogRequest;
use crate::metrics::Purpose;
use crate::metrics::Standing;

/// Text form with a value for every metric.
fn text() -> String {
    let metrics = Metrics::new().unwrap();
    let service = "bookings".into();
    metrics.call(&service, CallOutcome::Answered, Duration::from_millis(7));
    metrics.added(&service, Duration::from_micros(300));
    metrics.not_run("overloaded");
    metrics.control(Purpose::Feed, Direction::Sent, 120);
    metrics.log_request(LogRequest::Append);
    metrics.converged(Duration::from_millis(90));
    metrics.move_ended(&service, &RolloutOutcome::Done);
    metrics.load(3, 1);
    metrics.standing(Standing {
        ticket: 7,
        next: 40,
        epoch: 2,
        members: 12,
    });
    let text = metrics.text().unwrap();
    metrics.close();
    text
}

/// Label that the exporter adds to each line.
const SCOPE: &str = r#"otel_scope_name="bronzehead""#;

/// Names and kinds in the text form.
fn families(text: &str) -> BTreeMap<&str, &str> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    lines.filter_map(|line| line.split_once(' ')).collect()
}

#[test]
fn the_text_form_holds_just_the_listed_metrics() {
    let text = text();
    let listed: BTreeMap<&str, &str> = ALL
        .iter()
        .map(|metric| (metric.name, metric.kind.as_str()))
        .collect();
    assert_eq!(families(&text), listed);
}

#[test]
fn values_and_labels_are_those_that_were_given() {
    let text = text();
    for line in [
        "bronzehead_ticket{SCOPE} 7",
        "bronzehead_next_offset{SCOPE} 40",
        "bronzehead_members{SCOPE} 12",
        "bronzehead_running_calls{SCOPE} 3",
        r#"bronzehead_calls_total{outcome="answered",service="bookings",SCOPE} 1"#,
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
            metric.about,
        )
    };
    let wanted: Vec<String> = ALL.iter().map(row).collect();
    let wanted: BTreeSet<&str> = wanted.iter().map(String::as_str).collect();
    assert_eq!(rows, wanted);
}
