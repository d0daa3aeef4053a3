//! Messages between daemons, upstreams and the command line, and their encoding.
//!
//! Daemons exchange `MessagePack` over HTTP. Upstreams and the command line exchange JSON with
//! a daemon.

pub mod announce;
pub mod call;
pub mod codec;
pub mod evidence;
pub mod feed;
pub mod status;

/// Version of the protocol between daemons. Feed requests with any other version are refused, and
/// membership datagrams ignored.
pub const WIRE_VERSION: u16 = 1;

/// Paths of the protocol between daemons.
pub mod paths {
    /// One call from a caller-side daemon to an upstream-side daemon.
    pub const CALL: &str = "/inner/call";
    /// A [`ResolveRequest`](crate::call::ResolveRequest) for the outcome of an attempt.
    pub const RESOLVE: &str = "/inner/resolve";
    /// Records, lease and rollback facts from a parent to a child in the fan-out tree.
    pub const FEED: &str = "/inner/feed";
    /// Evidence from a daemon to the controller, and the controller's lease and rollback facts to
    /// daemons.
    pub const EVIDENCE: &str = "/inner/evidence";
    /// Anti-entropy exchange of membership state.
    pub const MEMBERS: &str = "/inner/members";
    /// Full state from a peer, for a daemon that starts.
    pub const SNAPSHOT: &str = "/inner/snapshot";
}

#[cfg(test)]
mod tests;
