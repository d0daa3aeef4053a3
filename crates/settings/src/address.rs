//! `serde_with` adapter for socket addresses.
//!
//! The error for a malformed address shows the expected format. Host names are not resolved.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserializer;
use serde::Serializer;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// `serde_with` adapter: a [`SocketAddr`] as IP address and port, such as `127.0.0.1:7100`.
pub struct Address;

impl SerializeAs<SocketAddr> for Address {
    fn serialize_as<S: Serializer>(source: &SocketAddr, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(source)
    }
}

impl<'de> DeserializeAs<'de, SocketAddr> for Address {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<SocketAddr, D::Error> {
        deserializer.deserialize_str(AddressVisitor)
    }
}

struct AddressVisitor;

impl serde::de::Visitor<'_> for AddressVisitor {
    type Value = SocketAddr;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an IP number and a port such as 127.0.0.1:7100")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<SocketAddr, E> {
        text.parse()
            .map_err(|_| E::invalid_value(serde::de::Unexpected::Str(text), &self))
    }
}
