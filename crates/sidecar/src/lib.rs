//! A daemon beside one instance on the users' platform: tasks that own sockets and drive the
//! cores of [`mesh`].
//!
//! Begin with [`run`]: it starts every part and stops them in order.

mod announce;
mod control;
mod follow;
mod forward;
mod gate;
mod gossip;
mod ingress;
pub mod logs;
mod mover;
mod node;
mod packed;
pub mod run;

#[cfg(test)]
mod tests;
