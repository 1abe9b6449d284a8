//! Stands in for upstreams and the platform in tests and in the demo.
//!
//! Each stand-in serves its contract on a loopback address of the calling process and has
//! switches for the faults of its kind.

mod connection;
pub mod engine;
mod engine_kv;
mod engine_stream;
mod http_client;
pub mod kv_store;
pub mod platform;
pub mod prefix_cache;
pub mod server;
pub mod service;
mod slots;
pub mod weight_store;
