//! Moves bytes: HTTP, peer connections, files, clocks, threads and rings.

pub mod clock;
pub mod event;
pub mod http;
pub mod log;
pub mod metric;
pub mod ring;
