//! Tests of valid settings and of the error messages for invalid ones.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use ledger::Ticket;

use crate::LogLevel;
use crate::Settings;
use crate::SettingsError;

const MINIMAL: &str = "\
daemon: suva-a-bookings-1
zone: suva-a
listen:
  calls: 127.0.0.1:7100
  peers: 127.0.0.1:7101
  local: 127.0.0.1:7102
log:
  address: 127.0.0.1:7000
";

fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Checks that `MINIMAL` with `from` replaced by `to` fails with exactly this message.
#[track_caller]
fn check(from: &str, to: &str, message: &str) {
    assert!(
        MINIMAL.contains(from),
        "`{from}` is not in the minimal settings"
    );
    let text = MINIMAL.replacen(from, to, 1);
    match Settings::parse(&text, "f.yaml") {
        Ok(_) => panic!("accepted, but expected the error: {message}"),
        Err(error) => assert_eq!(error.to_string(), message),
    }
}

#[test]
fn minimal_settings_get_the_defaults() {
    let settings = Settings::parse(MINIMAL, "f.yaml").unwrap();
    assert_eq!(settings.region, "default");
    assert_eq!(settings.log.stream, "bronzehead");
    assert_eq!(settings.log.timeout, Duration::from_secs(2));
    assert_eq!(settings.limits.max_body, 1024 * 1024);
    assert_eq!(settings.timing.connect, Duration::from_millis(250));
    assert_eq!(settings.fanout.readers_per_zone, 2);
    assert_eq!(settings.logs.level, LogLevel::Info);
}

#[test]
fn settings_survive_a_round_trip() {
    let settings = Settings::parse(MINIMAL, "f.yaml").unwrap();
    let text = serde_yaml_ng::to_string(&settings).unwrap();
    assert_eq!(Settings::parse(&text, "g.yaml").unwrap(), settings);
}

#[test]
fn unknown_and_missing_keys_are_errors() {
    check(
        "zone: suva-a\n",
        "zone: suva-a\nzones: 3\n",
        "f.yaml:3: unknown field `zones`, expected one of `daemon`, `zone`, `region`, `listen`, \
         `log`, `seeds`, `limits`, `timing`, `fanout`, `logs`",
    );
    check("zone: suva-a\n", "", "f.yaml:1: missing field `zone`");
    check(
        "log:\n",
        "timing: {\n  conect: 3s }\nlog:\n",
        "f.yaml:8: timing: unknown field `conect`, expected one of `connect`, `probe_every`, \
         `suspicion`, `lease`, `idle`, `drain`, `heartbeat`",
    );
}

#[test]
fn values_without_a_unit_or_in_a_wrong_format_are_errors() {
    check(
        "log:\n",
        "timing:\n  idle: 30s\n  connect: 250\nlog:\n",
        "f.yaml:9: timing.connect: `250`: expected a unit, one of us, ms, s, m, h, d",
    );
    check(
        "log:\n",
        "limits: { max_body: 1MB }\nlog:\n",
        "f.yaml:7: limits.max_body: `1MB`: expected a unit, one of B, KiB, MiB, GiB",
    );
    check(
        "127.0.0.1:7101",
        "localhost:7101",
        "f.yaml:5: listen.peers: invalid value: string \"localhost:7101\", expected an IP number \
         and a port such as 127.0.0.1:7100",
    );
    check(
        "log:\n",
        "limits: { queue: -1 }\nlog:\n",
        "f.yaml:7: limits.queue: invalid type: integer `-1`, expected u32",
    );
    check(
        "log:\n",
        "logs: { level: loud }\nlog:\n",
        "f.yaml:7: logs.level: unknown variant `loud`, expected one of `off`, `error`, `warn`, \
         `info`, `debug`, `trace`",
    );
}

#[test]
fn out_of_range_and_contradictory_values_are_errors() {
    check(
        "suva-a-bookings-1",
        "Suva A",
        "f.yaml:1: daemon: `Suva A`: expected 1 to 64 characters of a-z, 0-9 and -, with a letter \
         or digit at both ends",
    );
    check(
        "7102",
        "7101",
        "f.yaml:6: listen.local: `127.0.0.1:7101`: expected another than listen.peers",
    );
    check(
        "log:\n",
        "seeds: [127.0.0.1:7101, 127.0.0.1:0]\nlog:\n",
        "f.yaml:7: seeds: `127.0.0.1:0`: expected a port above 0",
    );
    check(
        "log:\n",
        "timing:\n  # no lease: 0s here\n  lease: 0s\nlog:\n",
        "f.yaml:9: timing.lease: expected more than 0",
    );
    check(
        "log:\n",
        "timing: { lease: 4s }\nlog:\n",
        "f.yaml:7: timing.lease: expected less than 4s, after which a controller is replaced",
    );
    check(
        "log:\n",
        "timing: { lease: 1s, heartbeat: 1s }\nlog:\n",
        "f.yaml:7: timing.lease: expected more than timing.heartbeat",
    );
    check(
        "log:\n",
        "limits: { max_body: 8MiB }\nlog:\n",
        "f.yaml: limits.memory_of_calls: expected room for one call of max_head and max_body",
    );
    check(
        "log:\n",
        "limits: { max_body: 18446744073709551615B }\nlog:\n",
        "f.yaml: limits.memory_of_calls: expected room for one call of max_head and max_body",
    );
    check(
        "7000\n",
        "7000\n  snapshots: bronzehead\n",
        "f.yaml:9: log.snapshots: expected another stream than log.stream",
    );
}

#[test]
fn error_names_the_missing_file() {
    let error = Settings::load("no-such-file.yaml").unwrap_err();
    assert!(matches!(error, SettingsError::Read { .. }));
    let text = error.to_string();
    assert!(
        text.starts_with("no-such-file.yaml: cannot be read"),
        "{text}"
    );
}

#[test]
fn example_settings_are_valid() {
    let tanoa = Settings::load(examples().join("tanoa.yaml")).unwrap();
    assert_eq!(tanoa.zone, "suva-a");
    let glykotheke = Settings::load(examples().join("glykotheke.yaml")).unwrap();
    assert_eq!(glykotheke.zone, "attiki-a");
}

#[test]
fn example_tickets_parse() {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(examples().join("tickets")).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let ticket: Ticket = serde_yaml_ng::from_str(&text)
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        for route in ticket.routes.values() {
            assert!(ticket.services.contains_key(&route.service));
        }
        numbers.push(ticket.ticket);
    }
    numbers.sort_unstable();
    assert_eq!(numbers, [1, 2, 3]);
}
