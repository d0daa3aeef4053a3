//! Tests of the cores.

mod directory;
mod gate;
mod instance;
mod leads;
mod moves;
mod placing;
mod table;
