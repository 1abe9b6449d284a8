//! Names of the HTTP headers that the daemon reads and writes.

/// Time within which the caller needs the answer, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// The caller's key for a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Kind of work: the name of a row in the sheet of kinds.
pub const KIND: &str = "x-kind";
/// Rank of the request, `urgent` or `background`.
pub const RANK: &str = "x-rank";
/// Whether the answer of an order was replayed from the ledger.
pub const REPLAYED: &str = "x-replayed";
/// Identifier of the request, under which an operator can look up how it was decided.
pub const REQUEST_ID: &str = "x-request-id";
