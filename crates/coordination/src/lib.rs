//! Decides what the fleet does: placement, admission, agreement and repair.
//!
//! Every decision is a step function: it takes the time and an event and returns typed effects.

mod raft_election;
mod raft_follower;
mod raft_leader;

pub mod addresses;
pub mod admission;
pub mod affinity;
pub mod ask;
pub mod assignment;
pub mod breaker;
pub mod broker;
pub mod bulletin;
pub mod capacity;
pub mod choice;
pub mod demand;
pub mod desired;
pub mod dispatch;
pub mod drain;
pub mod gossip;
pub mod grant;
pub mod holders;
pub mod host;
pub mod lease;
pub mod liveness;
pub mod machine;
pub mod membership;
pub mod order;
pub mod outage;
pub mod outlook;
pub mod placement;
pub mod pool;
pub mod quarantine;
pub mod quorum;
pub mod raft;
pub mod raft_entry;
pub mod raft_log;
pub mod raft_message;
pub mod raft_progress;
pub mod raft_settings;
pub mod reload;
pub mod rendezvous;
pub mod report;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod rotation;
pub mod rumor;
pub mod shard;
pub mod silence;
pub mod stream;
pub mod tally;
pub mod upstream;
pub mod view;
pub mod voters;
