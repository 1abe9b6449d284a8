//! The HTTP contract of a plain service.
//!
//! A call reaches the service under the path, method, query and body that the caller gave, with
//! two headers more: the order's name and the attempt's number.

/// Names the request header with the name under which the ledger keeps the order.
pub const ORDER_ID_HEADER: &str = "x-order-id";
/// Names the request header with the number that fences the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Names the response header with which a service says that a call had no effect.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Holds the value of [`NOT_RUN_HEADER`] that says so.
pub const NOT_RUN_TRUE: &str = "true";
