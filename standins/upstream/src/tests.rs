//! Tests of the upstream stand-in.

mod faults;
mod service;
