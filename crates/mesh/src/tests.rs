//! Tests of the cores.

mod gate;
mod instance;
mod leads;
mod moves;
mod placing;
mod table;
