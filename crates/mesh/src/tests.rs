//! Tests of the cores.

mod admission;
mod balancer;
mod directory;
mod election;
mod instance;
mod moves;
mod table;
