//! Moves bytes: HTTP, peer connections, files, clocks, threads and rings.

pub mod engine;
pub mod service;
pub mod sse;
pub mod upstream;
