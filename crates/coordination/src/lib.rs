//! Decides in step functions that do no I/O and read no clock.

pub mod membership;
