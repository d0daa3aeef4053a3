//! Membership, failure detection, the fan-out tree and the record feed, as sans-I/O state machines.
//!
//! The crate performs no I/O and reads no clock: callers pass in the current time and a random
//! seed. A task of the daemon owns the sockets, passes in what arrives and executes the returned
//! outputs.

pub mod fanout;
pub mod feed;
pub mod member;
pub mod message;
pub mod rng;
pub mod swim;

pub use fanout::Fanout;
pub use fanout::Role;
pub use member::Member;
pub use member::MemberState;
pub use member::UpstreamInfo;
pub use message::Message;
pub use message::SyncReply;
pub use message::SyncRequest;
pub use swim::Output;
pub use swim::Swim;
pub use swim::SwimConfig;

#[cfg(test)]
mod tests;
