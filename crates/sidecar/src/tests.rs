//! Unit tests of the sidecar.

mod compression;
