//! Memory and descriptors of the daemon as a process, beside clients, instances and peers that do not behave.

mod calm;
mod crowd;
mod crowds;
mod endless_answers;
mod faulty_server;
#[allow(dead_code, reason = "the targets share it, and none uses all of it")]
#[path = "../site/mod.rs"]
mod site;
mod usage;
