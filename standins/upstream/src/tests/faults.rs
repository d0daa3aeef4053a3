//! Tests of fault injection, load reports, the cold start and response bodies, without a server.

use std::time::Duration;
use std::time::Instant;

use crate::faults::CallAction;
use crate::faults::CallMode;
use crate::faults::FaultInjector;
use crate::faults::Faults;
use crate::faults::LoadReport;
use crate::load::LoadMeter;
use crate::load::REPORT_LAG;
use crate::load::cold_start_factor;
use crate::response_body::ResponseBody;
use crate::response_body::ResponseBodyError;

/// Checks how many of `calls` calls get another action than a plain answer.
fn check(faults: &Faults, path: &str, load: f64, calls: usize, affected: usize) {
    let mut injector = FaultInjector::default();
    injector.set(faults.clone());
    let actions = (0..calls).map(|_| injector.next_action(path, load));
    let got = actions
        .filter(|action| *action != CallAction::Answer(1.0))
        .count();
    assert_eq!(got, affected, "{faults:?} on {path} at load {load}");
}

#[test]
fn faults_apply_only_to_matching_calls() {
    let fail = |fail| Faults {
        fail,
        ..Faults::default()
    };
    check(&Faults::default(), "/a", 1.0, 100, 0);
    check(&fail(0.25), "/a", 0.0, 100, 25);
    check(&fail(1.0), "/a", 0.0, 100, 100);
    let on_route = Faults {
        route: "/a".into(),
        ..fail(1.0)
    };
    check(&on_route, "/a/b", 0.0, 10, 10);
    check(&on_route, "/b", 0.0, 10, 0);
    let later = Faults {
        after_calls: 30,
        ..fail(1.0)
    };
    check(&later, "/a", 0.0, 100, 70);
    let under_load = Faults {
        over_load: 0.5,
        ..fail(1.0)
    };
    check(&under_load, "/a", 0.4, 10, 0);
    check(&under_load, "/a", 0.6, 10, 10);
    let refuse = Faults {
        mode: CallMode::Refuse,
        ..Faults::default()
    };
    check(&refuse, "/a", 0.0, 10, 10);
    let slow = Faults {
        slow: 3.0,
        ..Faults::default()
    };
    check(&slow, "/a", 0.0, 10, 10);
}

#[test]
fn load_reports_lag_or_mislead() {
    let start = Instant::now();
    let mut meter = LoadMeter::default();
    assert_eq!(meter.report(LoadReport::Honest, 7, start), 7);
    assert_eq!(meter.report(LoadReport::Misleading, 7, start), 0);
    assert_eq!(meter.report(LoadReport::Lagging, 9, start), 0);
    assert_eq!(meter.report(LoadReport::Lagging, 9, start + REPORT_LAG), 7);
}

#[test]
fn service_time_factor_falls_to_one_over_the_cold_start() {
    let cold_start = Duration::from_secs(2);
    let factor = |millis| cold_start_factor(Duration::from_millis(millis), cold_start);
    assert!((factor(0) - 4.0).abs() < 1e-9);
    assert!((factor(1000) - 2.5).abs() < 1e-9);
    assert!((factor(2000) - 1.0).abs() < 1e-9);
    assert!((cold_start_factor(Duration::ZERO, Duration::ZERO) - 1.0).abs() < 1e-9);
}

#[test]
fn verification_rejects_other_truncated_and_altered_bodies() {
    let expected = ResponseBody {
        call_id: "c1".into(),
        version: "v1".into(),
        size: 100,
    };
    let body = expected.encode();
    assert_eq!(ResponseBody::verify(&body, "c1"), Ok(expected));
    let other = ResponseBodyError::CallIdMismatch("c1".into());
    assert_eq!(ResponseBody::verify(&body, "c2"), Err(other));
    let truncated = ResponseBodyError::LengthMismatch(100, 90);
    assert_eq!(
        ResponseBody::verify(&body[..body.len() - 10], "c1"),
        Err(truncated)
    );
    let mut altered = body.to_vec();
    altered.swap(20, 21);
    assert!(matches!(
        ResponseBody::verify(&altered, "c1"),
        Err(ResponseBodyError::ContentMismatch(_))
    ));
    assert_eq!(
        ResponseBody::verify(b"hello", "c1"),
        Err(ResponseBodyError::MalformedHeader)
    );
}
