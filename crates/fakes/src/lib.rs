//! Fake upstreams, stores and a fake platform for tests and the demo.
//!
//! Each fake runs in the process of its caller, serves the HTTP contract of what it replaces on a
//! loopback address and can inject the faults that are typical of it.

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
