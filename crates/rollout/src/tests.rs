//! Tests of the parts and of whole moves.

mod controller;
mod evidence;
mod fixture;
mod lease;
mod moves;
mod plan;
mod sequential;
