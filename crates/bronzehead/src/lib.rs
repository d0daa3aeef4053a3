//! Re-exports the crates of bronzehead for programs that embed them.
//!
//! Each module is one crate; docs/ARCHITECTURE.md describes how they depend on each other.

pub use base;
pub use daemon;
pub use http_edge;
pub use ledger;
pub use membership;
pub use platform;
pub use protocol;
pub use report;
pub use rollout;
pub use routing;
pub use settings;
