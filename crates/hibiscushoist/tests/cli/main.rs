//! The command line against scripted answers.

mod daemon;
mod load;
mod operator;
