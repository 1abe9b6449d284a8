//! The hibiscushoist daemon: settings, duties and the edges towards callers and operators.

pub mod admin;
pub mod answer;
pub mod attempt;
pub mod auth;
pub mod broker;
pub mod caller;
pub mod completions;
pub mod context;
pub mod daemon;
pub mod ini;
pub mod job;
pub mod journal;
pub mod links;
pub mod load;
pub mod member;
pub mod options;
pub mod peer;
pub mod pool;
pub mod request;
pub mod respond;
pub mod routes;
pub mod settings;
pub mod status;
pub mod voter;
