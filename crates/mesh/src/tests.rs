//! Tests of the decision logic.

mod admission;
mod balancer;
mod directory;
mod election;
mod instance;
mod moves;
mod table;
