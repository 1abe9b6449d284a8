//! Runs the hibiscushoist daemon.

pub mod ini;
pub mod settings;
