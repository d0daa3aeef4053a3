//! Default names of the streams in the log.

/// Default stream of tickets and of the controller's records.
pub const RECORD_STREAM: &str = "bronzehead";

/// Default stream of snapshots of the state that these records result in.
pub const SNAPSHOT_STREAM: &str = "bronzehead-snapshots";
