//! What callers get under `/v1/addresses`.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Lists the entry addresses that a caller should use, the preferred one first.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressList {
    /// Lists the addresses.
    pub addresses: Vec<SocketAddr>,
    /// Gives how long the caller may keep the answer, in milliseconds.
    pub lifetime_ms: u64,
}
