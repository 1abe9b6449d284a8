//! Kinds of work that compete for the allotment of one workspace.

use serde::Deserialize;
use serde::Serialize;

/// Least number of tokens of a large request: a prompt of this size keeps an engine busy for about
/// as long as a whole chunk of prefill.
pub const LARGE_TOKENS: u64 = 2_048;

/// How much one request of a kind costs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Size {
    /// A long prompt.
    Large,
    /// A short prompt or a call of a plain service.
    #[default]
    Small,
}

/// A kind of work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Kind {
    /// Rank of the route; 0 is the most urgent.
    pub rank: u32,
    /// Size of its requests.
    pub size: Size,
}

impl Kind {
    /// Returns the kind of a request whose prompt and longest answer have `tokens` tokens together.
    pub fn of(rank: u32, tokens: u64) -> Self {
        let size = match tokens >= LARGE_TOKENS {
            false => Size::Small,
            true => Size::Large,
        };
        Self { rank, size }
    }

    /// Returns what sorts kinds by when they are served: by rank, and small requests first, because
    /// many of them fit into the place of a large one.
    pub fn order(self) -> (u32, bool) {
        (self.rank, self.size == Size::Large)
    }
}
