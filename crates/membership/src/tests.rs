//! Unit tests of membership, fan-out and the record feed.

mod fanout;
mod feed;
mod fleet;
mod merge;
mod swim;

use base::DaemonId;
use smol_str::format_smolstr;

use crate::member::Member;
use crate::member::MemberState;

/// Returns member `number`, with an address derived from the number.
fn member(number: u16, zone: &str) -> Member {
    Member {
        daemon: name(number),
        incarnation: 1,
        version: 0,
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        zone: zone.into(),
        upstream: None,
        state: MemberState::Alive,
    }
}

fn name(number: u16) -> DaemonId {
    format_smolstr!("d{number}")
}
