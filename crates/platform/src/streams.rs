//! Names of the streams that the system uses.

use base::streams::RECORD_STREAM;
use base::streams::SNAPSHOT_STREAM;
use smol_str::SmolStr;

/// Names of the streams of one system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Streams {
    /// Stream of tickets and of the controller's records.
    pub records: SmolStr,
    /// Stream of snapshots.
    pub snapshots: SmolStr,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            records: SmolStr::new_static(RECORD_STREAM),
            snapshots: SmolStr::new_static(SNAPSHOT_STREAM),
        }
    }
}
