//! Tests of the tasks.

mod known_red;
mod tidy;
