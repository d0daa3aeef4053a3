//! Parsing of YAML tickets and the error messages.

use std::time::Duration;

use crate::Idempotency;
use crate::RolloutPolicy;
use crate::TrafficClass;
use crate::parse_ticket;

const FULL_TICKET: &str = "\
ticket: 42
services:
  bookings:
    version: v2
    finish_by: 2026-12-03T21:30:00Z
    policy:
      prefer: on-time
      probe_share: 20
      watch: 30s
routes:
  /bookings:
    service: bookings
    repeat: at-most-once
    class: internal
    timeout: 1.5s
remove_routes:
  - /old
";

#[test]
fn a_ticket_with_all_sections_is_parsed() {
    let ticket = parse_ticket(FULL_TICKET).expect("valid ticket");
    assert_eq!(ticket.ticket, 42);
    let spec = &ticket.services["bookings"];
    assert_eq!(spec.policy.probe_share, 20);
    assert_eq!(spec.policy.probe_calls, 200);
    assert!(spec.finish_by.is_some());
    let route = &ticket.routes["/bookings"];
    assert_eq!(route.repeat, Idempotency::AtMostOnce);
    assert_eq!(route.class, TrafficClass::Internal);
    assert_eq!(route.timeout, Duration::from_millis(1500));
}

#[test]
fn errors_name_the_line_the_key_and_what_was_expected() {
    let check = |from: &str, to: &str, words: &[&str]| {
        let text = FULL_TICKET.replacen(from, to, 1);
        assert_ne!(text, FULL_TICKET, "{from}");
        let error = parse_ticket(&text).expect_err(to).to_string();
        for word in words {
            assert!(error.contains(word), "`{error}` lacks `{word}`");
        }
    };
    check(
        "ticket: 42",
        "ticket: 0",
        &["line 1", "ticket", "at least 1"],
    );
    check("ticket: 42", "ticket: x", &["line 1", "ticket", "u64"]);
    check(
        "ticket: 42",
        "tickets: 42",
        &["line 1", "`tickets`", "`ticket`"],
    );
    check("    version: v2\n", "", &["services.bookings", "`version`"]);
    check(
        "version: v2",
        "version: ''",
        &["line 4", "services.bookings.version", "letters"],
    );
    check(
        "probe_share: 20",
        "probe_share: 0",
        &["line 8", "policy.probe_share", "1 to 1000"],
    );
    check(
        "probe_share: 20",
        "probe_share: 1001",
        &["line 8", "1 to 1000"],
    );
    check(
        "watch: 30s",
        "watch: 30",
        &["line 9", "watch", "a unit, one of"],
    );
    check("watch: 30s", "watch: 25h", &["line 9", "at most 24h"]);
    check(
        "2026-12-03T21:30:00Z",
        "soon",
        &["line 5", "finish_by", "expected a time"],
    );
    check("on-time", "never", &["line 7", "prefer", "`safety`"]);
    check(
        "  /bookings:",
        "  bookings:",
        &["line 11", "routes.`bookings`", "begins with `/`"],
    );
    check(
        "timeout: 1.5s",
        "timeout: 0s",
        &["line 15", "routes./bookings.timeout", "1ms to 1h"],
    );
    check("timeout: 1.5s", "timeout: 2h", &["line 15", "1ms to 1h"]);
    check(
        "at-most-once",
        "twice",
        &["line 13", "repeat", "`at-most-once`"],
    );
    check(
        "- /old",
        "- /bookings",
        &["line 11", "both set and removed"],
    );
    check(
        "routes:\n",
        "  bookings:\n    version: v3\nroutes:\n",
        &["services", "duplicate"],
    );
    check("ticket: 42", "ticket: [", &["line"]);
}

#[test]
fn the_ticket_in_the_docs_is_parsed() {
    let page = include_str!("../../../../docs/TICKETS.md");
    let (_, rest) = page
        .split_once("```yaml\n")
        .expect("page has a YAML example");
    let (text, _) = rest.split_once("```").expect("example is closed");
    let ticket = parse_ticket(text).expect("valid ticket");
    assert_eq!(ticket.services["bookings"].policy, RolloutPolicy::default());
}
