//! The sidecar daemon that runs next to one instance on the users' platform: tasks that own the
//! sockets and drive the I/O-free state machines of [`mesh`].
//!
//! A client's request enters at `ingress`, which chooses an instance. `forward` sends the request to
//! the daemon of that instance, whose `dispatch` admits it and sends it to the instance.
//!
//! Entry point: [`run`], which starts all tasks and stops them in order.

mod abandoned;
mod adoption;
mod announce;
mod answers;
mod attempt;
mod caps;
mod clock;
mod cold;
mod compression;
mod control;
mod departures;
mod dispatch;
mod dispatcher;
mod evacuation;
mod evidence;
mod forward;
mod gossip;
mod identity;
mod ingress;
mod knowledge;
mod limits;
pub mod logs;
mod members;
mod move_controller;
mod node;
mod notices;
mod peer_sync;
mod peers;
mod quarantine;
mod read_requests;
mod request_state;
pub mod run;
mod slot;
mod store_sync;
mod transfer;
mod unrouted;
mod versions;

#[cfg(test)]
mod tests;
