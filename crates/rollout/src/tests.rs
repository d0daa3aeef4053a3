//! Unit tests, and simulations of whole rollouts.

mod controller;
mod evidence;
mod fixture;
mod lease;
mod moves;
mod plan;
mod sequential;
