//! Runs `bronzehead config check` as a process.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use quickcheck::quickcheck;
use users_platform::operator;

const CONFIG: &str = r#"{"Version":"r7","Routes":{
"one":{"Hostname":"a.example","PathPrefix":"/x/","Kind":"idempotent","Timeout":"1200ms","TargetLatency":"300ms","Priority":2,"Service":"s","Attempts":2}},
"Services":{"s":{"HealthPath":"/healthz"}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}"#;

/// Writes a file that only this test uses.
fn file(name: &str, content: &[u8]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("bronzehead-{}-{name}", std::process::id()));
    std::fs::write(&path, content).expect("a writable folder");
    path
}

fn check(paths: &[&PathBuf], more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bronzehead"));
    command.args(["config", "check"]).arg(paths[0]);
    if let Some(against) = paths.get(1) {
        command.arg("--against").arg(against);
    }
    command.args(more).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

#[test]
fn a_sound_configuration_passes() {
    let path = file("sound.json", CONFIG.as_bytes());
    let output = check(&[&path], &[]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(text(&output.stdout), "version 7: nothing doubtful\n");
}

#[test]
fn an_error_names_line_and_column() {
    let path = file("cut.json", &CONFIG.as_bytes()[..120]);
    let output = check(&[&path], &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let message = text(&output.stderr);
    assert!(message.contains("line 2 column"), "{message}");
}

#[test]
fn each_value_that_the_daemons_would_leave_out_is_named() {
    let odd = CONFIG
        .replace("\"Kind\":\"idempotent\"", "\"Kind\":7")
        .replace("\"3000ms\"", "3000");
    let path = file("odd.json", odd.as_bytes());
    let output = check(&[&path], &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let message = text(&output.stderr);
    for part in [
        "route one: Kind is malformed",
        "limits: HeaderTimeout is malformed",
    ] {
        assert!(message.contains(part), "{message}");
    }
    // In force it is no reason to reject the next one.
    let sound = file("after-odd.json", CONFIG.replace("r7", "r9").as_bytes());
    let output = check(&[&sound, &path], &[]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn findings_and_differences_are_listed() {
    let old = file("old.json", CONFIG.as_bytes());
    let new = CONFIG
        .replace("\"r7\"", "\"r9\"")
        .replace("1200ms", "200ms");
    let new = file("new.json", new.as_bytes());
    let output = check(&[&new, &old], &[]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let shown = text(&output.stdout);
    for part in [
        "version 9: 1 doubtful entries",
        "below the target latency",
        "1 differences from version 7",
        "timeout: 1.2s -> 200ms",
    ] {
        assert!(shown.contains(part), "{part}: {shown}");
    }
    let output = check(&[&new, &old], &["--output", "json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["findings"][0]["kind"], "contradiction");
    assert_eq!(json["differences"][0]["field"], "timeout");
}

#[test]
fn a_version_that_the_daemons_would_not_take_is_reported() {
    let path = file("same.json", CONFIG.as_bytes());
    let output = check(&[&path, &path], &[]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(text(&output.stdout).contains("version 7 is in force"));
}

#[test]
fn what_customers_send_is_compared_with_their_caps() {
    let path = file("rates-of.json", CONFIG.as_bytes());
    let bad = file("rates.yaml", b"one: -1\n");
    let output = check(&[&path], &["--sent", bad.to_str().expect("a text path")]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(text(&output.stderr).contains("one: expected a rate"));
}

/// The configuration with some bytes replaced.
fn mutated(changes: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = CONFIG.as_bytes().to_vec();
    for (position, byte) in changes.iter().take(3) {
        let position = position % bytes.len();
        bytes[position] = *byte;
    }
    bytes
}

quickcheck! {
    fn the_check_rejects_what_the_daemons_reject(changes: Vec<(usize, u8)>) -> bool {
        let bytes = mutated(&changes);
        let path = file("mutated.json", &bytes);
        let is_rejected = check(&[&path], &[]).status.code() == Some(2);
        let is_whole = |cfg: mesh::Config| cfg.unreadable.values.is_empty();
        is_rejected != operator::decode_config(&bytes).is_ok_and(is_whole)
    }
}
