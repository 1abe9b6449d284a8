//! Load and speed of single upstreams, where they differ from each other.

pub mod packed;
pub mod told;
