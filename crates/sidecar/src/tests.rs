//! Unit tests of the sidecar.

mod attempt;
mod caps;
mod compression;
mod isolation;
mod limits;
mod origins;
mod withheld_proof;
