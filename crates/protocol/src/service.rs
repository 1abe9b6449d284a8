//! The HTTP contract of a plain service.
//!
//! A call is sent to the service with the path, method, query and body that the caller gave, and
//! with two more headers: the id of the order and the number of the attempt.

/// Request header with the id under which the ledger records the order.
pub const ORDER_ID_HEADER: &str = "x-order-id";
/// Request header with the fencing token of the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Response header by which a service reports that a call had no effect.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Value of [`NOT_RUN_HEADER`] for a call that had no effect.
pub const NOT_RUN_TRUE: &str = "true";
