//! Tests of the tasks.

mod bench;
mod demo;
mod known_red;
mod tidy;
