//! Small HTTP/1.1 server and client on monoio's epoll driver.
//!
//! Messages are held completely in memory, within [`Limits`]: a retry sends the body again, and a
//! response that is delivered later needs all of it. A connection carries one request at a time. A
//! [`MemoryBudget`] bounds what all requests of a process take together.

mod body;
mod budget;
mod chunks;
mod client;
mod datagram;
mod encode;
mod error;
mod framing;
mod head;
mod incoming;
mod latch;
mod limits;
mod message;
mod pool;
mod runtime;
mod server;

pub use body::Body;
pub use budget::AnswerCharge;
pub use budget::BudgetLimits;
pub use budget::BudgetStats;
pub use budget::MemoryBudget;
pub use client::Conn;
pub use datagram::DatagramSocket;
pub use error::CallError;
pub use error::ConnectError;
pub use error::RequestError;
pub use head::RawHead;
pub use latch::Latch;
pub use limits::Limits;
pub use message::Request;
pub use message::Response;
pub use pool::Pool;
pub use pool::PoolCfg;
pub use runtime::block_on;
pub use server::Handler;
pub use server::Server;
pub use server::ServerCfg;
pub use server::listen;

#[cfg(test)]
mod tests;
