//! Tests of the daemon.

mod packed;
