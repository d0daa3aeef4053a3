//! Names of the streams for records and for snapshots.

use base::streams::RECORD_STREAM;
use base::streams::SNAPSHOT_STREAM;
use smol_str::SmolStr;

/// Names of the two streams that one fleet uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Streams {
    /// Stream of tickets and of the controller's records; [`RECORD_STREAM`] by default.
    pub records: SmolStr,
    /// Stream of snapshots; [`SNAPSHOT_STREAM`] by default.
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
