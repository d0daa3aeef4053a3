//! Loopback addresses of a run. Concurrent runs use different ranges.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::SocketAddr;

use monoio::net::TcpListener;

use crate::error::Result;
use crate::error::TaskError;
use crate::soak::wire;

/// Number of address ranges for runs; concurrent runs use different ranges.
const ADDRESS_RANGES: u8 = 128;

/// Reserves an address range by listening at the store address of the range.
pub fn reserve_range() -> Result<(u8, TcpListener)> {
    let first = u8::try_from(std::process::id() % u32::from(ADDRESS_RANGES)).unwrap_or(0);
    let ranges = (first..ADDRESS_RANGES).chain(0..first);
    for range in ranges {
        let address = store_address(range);
        match http_edge::listen(address) {
            Ok(listener) => return Ok((range, listener)),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {}
            Err(e) => return Err(TaskError::Io(address.to_string(), e)),
        }
    }
    let text = format!("all {ADDRESS_RANGES} ranges of addresses are in use");
    Err(TaskError::Failed(text))
}

/// Returns the address of the store of a range.
pub fn store_address(range: u8) -> SocketAddr {
    SocketAddr::from(([127, 64 + range, u8::MAX, 1], wire::STORE_PORT))
}

/// Returns the address of a machine.
pub fn machine_address(range: u8, number: usize) -> IpAddr {
    let part = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    IpAddr::from([127, 64 + range, part(number / 200), part(number % 200 + 2)])
}
