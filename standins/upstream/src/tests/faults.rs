//! Tests of the decisions on single calls.

use std::time::Duration;
use std::time::Instant;

use crate::faults::CallMode;
use crate::faults::Fate;
use crate::faults::Faults;
use crate::faults::Injector;
use crate::faults::LoadReport;
use crate::load::LAG;
use crate::load::LoadMeter;
use crate::load::cold_factor;
use crate::response_body::ResponseBody;
use crate::response_body::ResponseBodyError;

/// Counts fates other than a plain answer among `calls` calls.
fn check(faults: &Faults, path: &str, load: f64, calls: usize, hit: usize) {
    let mut injector = Injector::default();
    injector.set(faults.clone());
    let fates = (0..calls).map(|_| injector.next(path, load));
    let got = fates.filter(|fate| *fate != Fate::Answer(1.0)).count();
    assert_eq!(got, hit, "{faults:?} on {path} at load {load}");
}

#[test]
fn faults_hit_just_the_calls_that_they_are_meant_for() {
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
    assert_eq!(meter.report(LoadReport::Lagging, 9, start + LAG), 7);
}

#[test]
fn an_upstream_is_slow_until_it_is_warm() {
    let cold_start = Duration::from_secs(2);
    let factor = |millis| cold_factor(Duration::from_millis(millis), cold_start);
    assert!((factor(0) - 4.0).abs() < 1e-9);
    assert!((factor(1000) - 2.5).abs() < 1e-9);
    assert!((factor(2000) - 1.0).abs() < 1e-9);
    assert!((cold_factor(Duration::ZERO, Duration::ZERO) - 1.0).abs() < 1e-9);
}

#[test]
fn only_the_whole_answer_to_the_own_call_is_taken() {
    let answer = ResponseBody {
        call_id: "c1".into(),
        version: "v1".into(),
        size: 100,
    };
    let body = answer.encode();
    assert_eq!(ResponseBody::verify(&body, "c1"), Ok(answer));
    let other = ResponseBodyError::OtherCall("c1".into());
    assert_eq!(ResponseBody::verify(&body, "c2"), Err(other));
    let cut = ResponseBodyError::Length(100, 90);
    assert_eq!(
        ResponseBody::verify(&body[..body.len() - 10], "c1"),
        Err(cut)
    );
    let mut mixed = body.to_vec();
    mixed.swap(20, 21);
    assert!(matches!(
        ResponseBody::verify(&mixed, "c1"),
        Err(ResponseBodyError::Byte(_))
    ));
    assert_eq!(
        ResponseBody::verify(b"hello", "c1"),
        Err(ResponseBodyError::Form)
    );
}
