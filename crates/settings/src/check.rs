//! Validation beyond the format of single values: ranges, names and relations between values.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Settings;

/// Maximum length of the names of daemons, zones, regions and streams.
const MAX_NAME_BYTES: usize = 64;

/// Duration of the controller's lease, after which another daemon can become the controller.
///
/// `timing.lease` must be shorter, so that every daemon stops relying on the lease before another
/// controller decides.
pub const CONTROLLER_LEASE_DURATION: Duration = Duration::from_secs(4);

/// Result of a check; the error is the dotted path of the key and the message.
type CheckResult = Result<(), (String, String)>;

/// Checks the settings as a whole; returns the first error as key and message.
pub(crate) fn all(settings: &Settings) -> CheckResult {
    check_names(settings)?;
    check_addresses(settings)?;
    check_limits(settings)?;
    check_timing(settings)
}

fn check_names(settings: &Settings) -> CheckResult {
    check_name("daemon", &settings.daemon)?;
    check_name("zone", &settings.zone)?;
    check_name("region", &settings.region)?;
    check_name("log.stream", &settings.log.stream)?;
    check_name("log.snapshots", &settings.log.snapshots)?;
    if settings.log.stream == settings.log.snapshots {
        return invalid("log.snapshots", "expected another stream than log.stream");
    }
    Ok(())
}

/// Allows only characters that are safe in headers, paths and metrics, where names are used.
fn check_name(key: &str, text: &str) -> CheckResult {
    let is_safe = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let has_edge_hyphen = text.starts_with('-') || text.ends_with('-');
    if text.is_empty()
        || text.len() > MAX_NAME_BYTES
        || has_edge_hyphen
        || !text.chars().all(is_safe)
    {
        return invalid(
            key,
            &format!(
                "`{text}`: expected 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and -, \
                 with a letter or digit at both ends"
            ),
        );
    }
    Ok(())
}

fn check_addresses(settings: &Settings) -> CheckResult {
    let listen = &settings.listen;
    let endpoints = [
        ("listen.calls", listen.calls),
        ("listen.peers", listen.peers),
        ("listen.local", listen.local),
        ("log.address", settings.log.address),
    ];
    for (i, (key, address)) in endpoints.iter().enumerate() {
        let conflict = endpoints[..i]
            .iter()
            .find(|(_, other)| is_conflict(*address, *other));
        if let Some((other, _)) = conflict {
            return invalid(key, &format!("`{address}`: expected another than {other}"));
        }
    }
    if settings.log.address.port() == 0 {
        return invalid("log.address", "expected a port above 0");
    }
    check_seeds(settings)
}

fn check_seeds(settings: &Settings) -> CheckResult {
    for seed in &settings.seeds {
        if seed.port() == 0 {
            return invalid("seeds", &format!("`{seed}`: expected a port above 0"));
        }
    }
    Ok(())
}

/// Addresses with port 0 never conflict, because the operating system picks a free port for each.
fn is_conflict(left: SocketAddr, right: SocketAddr) -> bool {
    left == right && left.port() != 0
}

fn check_limits(settings: &Settings) -> CheckResult {
    let limits = &settings.limits;
    let non_zero = [
        ("limits.max_body", limits.max_body),
        ("limits.max_head", limits.max_head),
        ("limits.memory_of_calls", limits.memory_of_calls),
        (
            "limits.connections_per_peer",
            u64::from(limits.connections_per_peer),
        ),
        (
            "fanout.readers_per_zone",
            u64::from(settings.fanout.readers_per_zone),
        ),
        ("fanout.degree", u64::from(settings.fanout.degree)),
    ];
    if let Some((key, _)) = non_zero.iter().find(|(_, value)| *value == 0) {
        return invalid(key, "expected more than 0");
    }
    if limits.memory_of_calls < limits.max_body.saturating_add(limits.max_head) {
        return invalid(
            "limits.memory_of_calls",
            "expected room for one call of max_head and max_body",
        );
    }
    Ok(())
}

fn check_timing(settings: &Settings) -> CheckResult {
    let timing = &settings.timing;
    let durations = [
        ("log.timeout", settings.log.timeout),
        ("timing.connect", timing.connect),
        ("timing.probe_every", timing.probe_every),
        ("timing.suspicion", timing.suspicion),
        ("timing.lease", timing.lease),
        ("timing.idle", timing.idle),
        ("timing.drain", timing.drain),
        ("timing.heartbeat", timing.heartbeat),
    ];
    if let Some((key, _)) = durations
        .iter()
        .find(|(_, duration)| *duration == Duration::ZERO)
    {
        return invalid(key, "expected more than 0");
    }
    if timing.suspicion < timing.probe_every {
        return invalid("timing.suspicion", "expected at least timing.probe_every");
    }
    if timing.lease <= timing.heartbeat {
        return invalid("timing.lease", "expected more than timing.heartbeat");
    }
    if timing.lease >= CONTROLLER_LEASE_DURATION {
        return invalid(
            "timing.lease",
            "expected less than 4s, after which a controller is replaced",
        );
    }
    Ok(())
}

fn invalid(key: &str, message: &str) -> CheckResult {
    Err((key.to_owned(), message.to_owned()))
}
