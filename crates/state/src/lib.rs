//! The state on which decisions are based: the table, the ledger, the cache directory and queues.
//!
//! Nothing here does I/O or reads a clock. Times are passed in as milliseconds.

pub mod arena;
pub mod block_index;
pub mod cache_directory;
pub mod cell;
pub mod column;
pub mod edit;
pub mod fair_queue;
pub mod history;
pub mod ident;
pub mod ledger;
pub mod naming;
pub mod rank;
pub mod routing;
pub mod routing_index;
pub mod routing_layout;
pub mod row;
pub mod sheet;
pub mod table;
pub mod time;
