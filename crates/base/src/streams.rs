//! Names of the log's streams where the settings name no others.

/// Stream of tickets and of the controller's records.
pub const RECORD_STREAM: &str = "bronzehead";

/// Stream of snapshots.
pub const SNAPSHOT_STREAM: &str = "bronzehead-snapshots";
