//! In-memory stand-in for the store of the users' platform: keyed topics with one partition each,
//! served over the store's protocol, with fault injection.

mod service;
mod topic;

pub use service::Faults;
pub use service::StoreService;
pub use topic::Topic;
