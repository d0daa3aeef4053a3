//! Tests of the tasks.

mod demo;
mod known_red;
mod tidy;
