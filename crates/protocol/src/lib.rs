//! Messages between the system's own processes, over HTTP with `rmp-serde`.

pub mod announce;
pub mod call;
pub mod codec;
pub mod evidence;
pub mod feed;
pub mod status;

/// Version of the wire; a peer with another major one is refused.
pub const WIRE_VERSION: u16 = 1;

/// Paths of the inner protocol.
pub mod paths {
    /// One call from a caller-side daemon to an upstream-side daemon.
    pub const CALL: &str = "/inner/call";
    /// The question what became of a call.
    pub const RESOLVE: &str = "/inner/resolve";
    /// Records, lease and facts from a parent to a child in the fan-out tree.
    pub const FEED: &str = "/inner/feed";
    /// Evidence from an upstream-side daemon to the controller.
    pub const EVIDENCE: &str = "/inner/evidence";
    /// Exchange of member lists.
    pub const MEMBERS: &str = "/inner/members";
    /// Whole state from a peer, for a daemon that starts.
    pub const SNAPSHOT: &str = "/inner/snapshot";
}

#[cfg(test)]
mod tests;
