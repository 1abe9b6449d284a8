//! Messages between daemons, and the wire formats of callers, upstreams and operators.

pub mod address;
pub mod block;
pub mod completion;
pub mod engine;
pub mod event_stream;
pub mod header;
pub mod json;
pub mod kv_store;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod refusal;
pub mod service;
pub mod voter;
pub mod weight_store;
