//! Tests of the workspace tasks.

mod bench;
mod demo;
mod docs;
mod known_red;
mod soak;
mod tidy;
mod workspace;
