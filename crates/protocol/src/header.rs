//! Names of the HTTP headers that the daemon reads and writes.

/// Carries how long an answer is worth waiting for, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Carries the caller's key for a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries the name of a row in the sheet of kinds.
pub const KIND: &str = "x-kind";
/// Carries the rank, `urgent` or `background`.
pub const RANK: &str = "x-rank";
/// Carries whether the answer of an order was replayed from the ledger.
pub const REPLAYED: &str = "x-replayed";
/// Carries the identifier under which a request can be explained.
pub const REQUEST_ID: &str = "x-request-id";
