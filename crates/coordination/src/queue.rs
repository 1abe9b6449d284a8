//! Requests that wait for an upstream: their order, and the forecast of when they begin.

pub mod ticket;
