//! Tests of the command-line definition and of timelines from logs.

#[test]
fn the_command_line_is_well_defined() {
    crate::command().debug_assert();
}

fn lines(text: &str) -> Vec<crate::explain::LogLine> {
    crate::explain::parse_log("logs/one.log", text)
}

const REFUSED: &str = r#"
 12.5 front {"at_ms":1000,"event":"store-lost","topic":"Operator","reason":"down"}
 13.0 other {"at_ms":1500,"event":"store-lost","topic":"Operator","reason":"down"}
 13.2 back {"at_ms":3010,"event":"gate-refused","request":"r1","reason":"Overloaded","running":16,"queued":9,"slots":16}
 13.2 front {"at_ms":3012,"event":"refused","request":"r1","reason":"Overloaded","tried":["back"],"retry_after_ms":120}
 13.2 front {"at_ms":3013,"event":"refused","request":"r12","reason":"Overloaded","tried":["back"]}
 13.4 back {"at_ms":9000,"event":"stopping"}
half a line {"at_ms":90
"#;

#[test]
fn a_refused_request_shows_the_gate_that_refused_it() {
    let timeline = crate::explain::request_timeline(lines(REFUSED), "r1").to_string();
    assert!(
        timeline.ends_with(
            "end: refused without being run (Overloaded), retry after 120 ms; the gate of back \
             refused it as Overloaded with 16 of 16 slots taken and 9 waiting"
        ),
        "{timeline}"
    );
    // Context events of the daemons that handled the request are shown; other daemons, other
    // requests and events long after are not.
    assert_eq!(timeline.lines().count(), 4, "{timeline}");
    assert!(
        timeline.contains("front                store-lost"),
        "{timeline}"
    );
}

#[test]
fn a_refusal_shows_the_limit_of_the_instance() {
    let text = r#"
 1.0 back {"at_ms":10,"event":"gate-refused","request":"r1","reason":"RateLimited","running":2,"queued":4,"slots":12,"limit":"14.2/s"}
 1.0 front {"at_ms":12,"event":"refused","request":"r1","reason":"RateLimited","tried":["back"],"retry_after_ms":350}
"#;
    let timeline = crate::explain::request_timeline(lines(text), "r1").to_string();
    let end = "with 2 of 12 slots taken and 4 waiting, under a limit of 14.2/s";
    assert!(timeline.ends_with(end), "{timeline}");
}

#[test]
fn a_request_that_is_refused_by_its_key_says_why() {
    let text = r#"
 1.0 front {"at_ms":12,"event":"key-refused","request":"r1","reason":"key-unknown","config":7,"route":"look"}
"#;
    let timeline = crate::explain::request_timeline(lines(text), "r1").to_string();
    let end = "refused by its key without being run (key-unknown) in configuration 7";
    assert!(timeline.ends_with(end), "{timeline}");
}

#[test]
fn a_refused_body_is_named_as_the_cause() {
    let text = r#"
 1.0 back {"at_ms":10,"event":"transfer-refused","request":"r1","bytes":60000,"reason":"Overloaded"}
 1.0 front {"at_ms":12,"event":"refused","request":"r1","reason":"Overloaded","tried":["back"],"retry_after_ms":240}
"#;
    let timeline = crate::explain::request_timeline(lines(text), "r1").to_string();
    let end = "retry after 240 ms; back refused its body of 60000 bytes as Overloaded";
    assert!(timeline.ends_with(end), "{timeline}");
}

#[test]
fn a_request_whose_client_left_shows_where_it_was_given_up() {
    let text = r#"
 1.0 back {"at_ms":312,"event":"run-abandoned","request":"r1","instance":"i-3","waited_ms":298}
 1.0 front {"at_ms":312,"event":"client-left","request":"r1","route":"look","took_ms":301}
"#;
    let timeline = crate::explain::request_timeline(lines(text), "r1").to_string();
    let end = "end: given up as its client left after 301 ms; back closed its connection to i-3 \
               after 298 ms";
    assert!(timeline.ends_with(end), "{timeline}");
}

#[test]
fn a_failed_call_explains_the_failure_of_its_request() {
    let text = r#"
{"at_ms":10,"event":"refused","request":"r1.c7","reason":"NoInstance","tried":[]}
{"at_ms":20,"event":"answered","request":"r1","status":500,"daemon":"back"}
"#;
    let timeline = crate::explain::request_timeline(lines(text), "r1").to_string();
    let end = "end: answered with status 500 by the instance beside back; its call r1.c7 ended as \
               refused (NoInstance)";
    assert!(timeline.ends_with(end), "{timeline}");
    assert!(
        timeline.contains(" one "),
        "the file names the daemon: {timeline}"
    );
    assert!(crate::explain::request_timeline(lines(text), "r2").is_empty());
}

#[test]
fn a_configuration_is_followed_through_the_daemons() {
    let text = r#"
a {"at_ms":10,"event":"config-adopted","version":4,"before":2,"source":"store"}
b {"at_ms":35,"event":"config-adopted","version":4,"before":2,"source":"daemon"}
c {"at_ms":95,"event":"config-adopted","version":7,"before":2,"source":"daemon"}
a {"at_ms":80,"event":"config-adopted","version":7,"before":4,"source":"store"}
"#;
    let timeline = crate::explain::config_timeline(lines(text), 4).to_string();
    assert!(
        timeline
            .ends_with("end: 3 daemons have it or a later one, the last one 85 ms after the first")
    );
    assert_eq!(timeline.lines().count(), 4, "{timeline}");
    let timeline = crate::explain::config_timeline(lines(text), 5).to_string();
    assert!(
        timeline.ends_with("no daemon adopted this one; a later one came first"),
        "{timeline}"
    );
    assert!(crate::explain::config_timeline(lines(text), 8).is_empty());
}

#[test]
fn a_configuration_timeline_tells_what_could_not_be_read() {
    let text = r#"
a {"at_ms":10,"event":"config-adopted","version":4,"before":0,"source":"store"}
a {"at_ms":11,"event":"config-values-unreadable","version":4,"count":2,"values":["route one: Kind is malformed"]}
b {"at_ms":12,"event":"config-values-unreadable","version":5,"count":7}
a {"at_ms":20,"event":"config-unreadable","source":"store","reason":"version is not of the form r<number>"}
"#;
    let timeline = crate::explain::config_timeline(lines(text), 4).to_string();
    assert!(
        timeline.ends_with("; 2 of its values cannot be read"),
        "{timeline}"
    );
    assert!(timeline.contains("Kind is malformed"), "{timeline}");
    assert_eq!(timeline.lines().count(), 3, "{timeline}");
    let timeline = crate::explain::config_timeline(lines(text), 6).to_string();
    assert!(
        timeline.ends_with("later one; 1 times a configuration could not be read at all"),
        "{timeline}"
    );
    let text = r#"a {"at_ms":9,"event":"route-unreadable","request":"r1","host":"h","path":"/x/","config":4}"#;
    let timeline = crate::explain::request_timeline(lines(text), "r1").to_string();
    assert!(
        timeline.ends_with("configuration 4 holds a route or target for h/x/ that cannot be read"),
        "{timeline}"
    );
}

#[test]
fn a_rollout_timeline_ends_with_the_last_decision() {
    let text = r#"
a {"at_ms":10,"event":"move-learned","service":"s","stage":"Sharing(0)"}
a {"at_ms":20,"event":"move-decided","service":"s","target":"v2","stage":"RolledBack","verdict":"bad","elapsed_ms":900,"within_ms":16000}
b {"at_ms":30,"event":"move-learned","service":"t"}
"#;
    let timeline = crate::explain::rollout_timeline(lines(text), "s").to_string();
    assert!(
        timeline.ends_with(
            "last decision by a: RolledBack of v2, verdict bad, 900 ms after the order, which \
             allows 16000 ms"
        ),
        "{timeline}"
    );
    assert_eq!(timeline.lines().count(), 3, "{timeline}");
}
