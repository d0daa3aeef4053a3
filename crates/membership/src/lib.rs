//! Members, failure detection, the fan-out tree and the feed of records, as pure cores.
//!
//! No I/O and no clock: time comes in as an argument, randomness as a seed. A task of the daemon
//! owns the sockets, hands in what arrives and carries out the returned outputs.

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
