//! Checks across values: what each value's own form cannot rule out.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Settings;

/// Longest name of a daemon or a zone, in bytes.
const MAX_NAME: usize = 64;

/// Life of the controller's own lease. A proxy's has to end before another controller decides.
pub const CONTROLLER_LEASE_DURATION: Duration = Duration::from_secs(4);

type Check = Result<(), (String, String)>;

/// Checks the settings as a whole; an error holds the key and what was expected.
pub(crate) fn all(settings: &Settings) -> Check {
    names(settings)?;
    addresses(settings)?;
    limits(settings)?;
    timing(settings)
}

fn names(settings: &Settings) -> Check {
    name("daemon", &settings.daemon)?;
    name("zone", &settings.zone)?;
    name("region", &settings.region)?;
    name("log.stream", &settings.log.stream)?;
    name("log.snapshots", &settings.log.snapshots)?;
    if settings.log.stream == settings.log.snapshots {
        return refuse("log.snapshots", "expected another stream than log.stream");
    }
    Ok(())
}

/// Names go into headers, paths and metrics, so they hold only characters safe in all three.
fn name(key: &str, text: &str) -> Check {
    let safe = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let edges = text.starts_with('-') || text.ends_with('-');
    if text.is_empty() || text.len() > MAX_NAME || edges || !text.chars().all(safe) {
        return refuse(
            key,
            &format!(
                "`{text}`: expected 1 to {MAX_NAME} characters of a-z, 0-9 and -, \
                 with a letter or digit at both ends"
            ),
        );
    }
    Ok(())
}

fn addresses(settings: &Settings) -> Check {
    let listen = &settings.listen;
    let known = [
        ("listen.calls", listen.calls),
        ("listen.peers", listen.peers),
        ("listen.local", listen.local),
        ("log.address", settings.log.address),
    ];
    for (i, (key, address)) in known.iter().enumerate() {
        let earlier = known[..i].iter().find(|(_, other)| same(*address, *other));
        if let Some((other, _)) = earlier {
            return refuse(key, &format!("`{address}`: expected another than {other}"));
        }
    }
    if settings.log.address.port() == 0 {
        return refuse("log.address", "expected a port above 0");
    }
    seeds(settings)
}

fn seeds(settings: &Settings) -> Check {
    for seed in &settings.seeds {
        if seed.port() == 0 {
            return refuse("seeds", &format!("`{seed}`: expected a port above 0"));
        }
    }
    Ok(())
}

/// Port 0 lets the system choose, so two such addresses are not the same one.
fn same(left: SocketAddr, right: SocketAddr) -> bool {
    left == right && left.port() != 0
}

fn limits(settings: &Settings) -> Check {
    let limits = &settings.limits;
    let sizes = [
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
    if let Some((key, _)) = sizes.iter().find(|(_, size)| *size == 0) {
        return refuse(key, "expected more than 0");
    }
    if limits.memory_of_calls < limits.max_body + limits.max_head {
        return refuse(
            "limits.memory_of_calls",
            "expected room for one call of max_head and max_body",
        );
    }
    Ok(())
}

fn timing(settings: &Settings) -> Check {
    let timing = &settings.timing;
    let spans = [
        ("log.timeout", settings.log.timeout),
        ("timing.connect", timing.connect),
        ("timing.probe_every", timing.probe_every),
        ("timing.suspicion", timing.suspicion),
        ("timing.lease", timing.lease),
        ("timing.idle", timing.idle),
        ("timing.drain", timing.drain),
        ("timing.heartbeat", timing.heartbeat),
    ];
    if let Some((key, _)) = spans.iter().find(|(_, span)| *span == Duration::ZERO) {
        return refuse(key, "expected more than 0");
    }
    if timing.suspicion < timing.probe_every {
        return refuse("timing.suspicion", "expected at least timing.probe_every");
    }
    if timing.lease <= timing.heartbeat {
        return refuse("timing.lease", "expected more than timing.heartbeat");
    }
    if timing.lease >= CONTROLLER_LEASE_DURATION {
        return refuse(
            "timing.lease",
            "expected less than 4s, after which a controller is replaced",
        );
    }
    Ok(())
}

fn refuse(key: &str, expected: &str) -> Check {
    Err((key.to_owned(), expected.to_owned()))
}
