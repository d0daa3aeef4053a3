//! Unit tests of the sidecar.

mod attempt;
mod compression;
mod isolation;
