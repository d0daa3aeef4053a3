//! Tests of benchmark rows and of the parsers for `/proc` and metrics.

use crate::bench::control::sum_metric;
use crate::bench::proc::parse_resident_memory;
use crate::bench::proc::parse_stat;
use crate::bench::row::Bound;
use crate::bench::row::Row;
use crate::bench::row::parse_json_lines;
use crate::bench::row::percentile;
use crate::bench::row::sorted;
use crate::bench::row::to_json_lines;

/// Checks the cells after value and unit, with a baseline of half the value.
#[track_caller]
fn check(bound: Option<Bound>, cells: [&str; 3]) {
    let row = Row {
        bound,
        ..Row::new("m", 3.0, "ms")
    };
    let baseline = [Row::new("other", 9.0, "ms"), Row::new("m", 1.5, "ms")];
    assert_eq!(row.cells(&baseline)[3..], cells);
    assert_eq!(row.is_out_of_bound(), cells[1] == "NO");
}

#[test]
fn rows_say_whether_they_are_within_their_bound() {
    check(None, ["-", "-", "2.00"]);
    check(Some(Bound::AtMost(3.0)), ["<= 3", "yes", "2.00"]);
    check(Some(Bound::AtMost(2.9)), ["<= 2.9", "NO", "2.00"]);
    check(Some(Bound::AtLeast(3.0)), [">= 3", "yes", "2.00"]);
    check(Some(Bound::AtLeast(3.1)), [">= 3.1", "NO", "2.00"]);
    assert_eq!(Row::new("m", 1.0, "s").cells(&[])[5], "-");
}

#[test]
fn rows_survive_a_round_trip_through_json_lines() {
    let rows = vec![
        Row::new("a", 1.5, "ms").with_bound(Bound::AtMost(1.0)),
        Row::new("b", 2.0, "1/s"),
    ];
    let text = to_json_lines(&rows).unwrap();
    let first = text.lines().next().unwrap();
    assert!(
        first.ends_with(r#""bound":{"at-most":1.0},"within":false}"#),
        "{first}"
    );
    assert_eq!(parse_json_lines(&text).unwrap(), rows);
    assert!(parse_json_lines("{}").is_err());
}

#[test]
fn percentiles_use_the_nearest_rank() {
    let values = sorted([3.0, 1.0, 2.0]);
    assert_eq!(values, [1.0, 2.0, 3.0]);
    assert!((percentile(&values, 50) - 2.0).abs() < f64::EPSILON);
    assert!((percentile(&values, 99) - 3.0).abs() < f64::EPSILON);
}

#[test]
fn processor_time_and_memory_are_read_from_proc() {
    let stat = "7 (a) b) S 1 7 7 0 -1 4194560 300 0 0 0 150 50 0 0 20 0 1 0 99 1000 50";
    assert!((parse_stat(stat).unwrap() - 2.0).abs() < f64::EPSILON);
    let memory = parse_resident_memory("Name:\ta\nVmRSS:\t   2048 kB\n").unwrap();
    assert!((memory - 2.0).abs() < f64::EPSILON);
    assert!(parse_stat("x").is_none() && parse_resident_memory("x").is_none());
}

#[test]
fn a_metric_is_summed_over_its_labels() {
    let text = "# TYPE m_total counter\nm_total{a=\"x y\"} 3\nm_total{a=\"b\"} 4\nm_totals 9\n";
    assert_eq!(sum_metric(text, "m_total"), Some(7.0));
    assert_eq!(sum_metric(text, "n_total"), None);
}
