//! The response to callers under `/v1/addresses`.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The entry addresses that a caller should use, the preferred one first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressList {
    /// The addresses.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may use the list, in milliseconds.
    pub lifetime_ms: u64,
}
