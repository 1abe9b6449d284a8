//! Requests that wait for an upstream: their order, and the forecast of when they begin.

pub mod line;
pub mod pace;
pub mod patience;
pub mod returning;
pub mod room;
pub mod short;
pub mod ticket;
