//! Moves bytes: HTTP, peer connections, files, clocks, threads and rings.

pub mod peer;
pub mod peer_frame;
pub mod peer_handshake;
pub mod peer_key;
pub mod peer_server;
