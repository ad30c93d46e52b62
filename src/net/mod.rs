//! The network layer of the sidecar. All tasks run on one thread. The driver owns the decision module, and all other
//! tasks send it events through a channel.

pub mod body;
pub mod bounded_read;
pub mod client;
pub mod client_stream;
pub mod config;
pub mod descriptors;
pub mod discovery;
pub mod driver;
pub mod host_list;
pub mod log;
pub mod memory_budget;
pub mod recent_request_ids;
pub mod request_head;
pub mod upstream_connection;
pub mod upstream_registry;
pub mod upstream_stream;
