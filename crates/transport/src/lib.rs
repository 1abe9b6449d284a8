//! Input and output: HTTP, peer connections, files, clocks, threads, channels, logs and metrics.

pub mod channel;
pub mod clock;
pub mod connection_pool;
pub mod disk;
pub mod disk_frame;
pub mod engine;
pub mod event;
pub mod http;
pub mod log;
pub mod metric;
pub mod peer;
pub mod peer_frame;
pub mod peer_handshake;
pub mod peer_key;
pub mod peer_server;
pub mod place;
pub mod platform;
pub mod raft_store;
pub mod reachability;
pub mod read_limit;
pub mod service;
pub mod sse;
pub mod upstream;
pub mod whole_body;
pub mod write_timeout;
