//! The command line against scripted answers.

mod daemon;
mod fleet;
mod load;
mod operator;
