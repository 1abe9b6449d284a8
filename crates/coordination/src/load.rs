//! Load and speed of single upstreams, where they differ from each other.

pub mod pace;
pub mod paces;
pub mod packed;
pub mod silent;
mod silent_dispatch;
pub mod silent_reports;
pub mod told;
