//! The parts of bronzehead for those who embed them.
//!
//! Each module is one crate; see docs/ARCHITECTURE.md for the map.

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
