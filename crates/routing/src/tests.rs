//! Unit tests by module, and simulations of many calls over a model network and under overload.

mod admission;
mod attempt_table;
mod attempts;
mod balancer;
mod budget;
mod network;
mod overload;
mod table;

use std::time::Duration;
use std::time::Instant;

use base::Incarnation;
use protocol::call::AttemptId;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointPhase;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn endpoint(daemon: &str, zone: &str, version: &str, first_seen: Instant) -> Endpoint {
    Endpoint {
        daemon: daemon.into(),
        incarnation: 1,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        service: "bookings".into(),
        version: version.into(),
        slots: 20,
        cold_start: Duration::ZERO,
        first_seen,
        phase: EndpointPhase::Serving,
    }
}

fn attempt(incarnation: Incarnation, sequence: u64) -> AttemptId {
    AttemptId {
        caller: "suva-a-1".into(),
        incarnation,
        sequence,
    }
}
