//! The columns of the table and the form of their cells.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// Names a column of a sheet.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Column {
    /// Holds the adapter that a model serves with.
    Adapter,
    /// Holds the IP address and port of an upstream.
    Address,
    /// Holds the bytes of prompt in one cached block of a model.
    BlockBytes,
    /// Holds how many requests one caller may have in flight across the fleet.
    CallerLimit,
    /// Holds whether an upstream refuses orders that carry an old fencing number.
    ChecksFence,
    /// Holds the default deadline of a kind of work, in milliseconds.
    Deadline,
    /// Holds the failure domain of an upstream.
    Domain,
    /// Holds the share of capacity that a kind of work keeps in a flood, in percent.
    Floor,
    /// Holds whether a kind of work may be run again.
    Idempotent,
    /// Holds the BLAKE3 hash of a workspace's bearer key, as 64 hexadecimal digits.
    KeyHash,
    /// Holds how many requests may be in flight across the fleet.
    Limit,
    /// Holds how many upstreams may load weights of a model at once.
    LoadLimit,
    /// Holds how many upstreams must go on serving a model during a roll-out.
    MinimumServing,
    /// Holds the model that an upstream serves.
    Model,
    /// Holds the rank of a kind of work.
    Rank,
    /// Holds the tokens a second that a workspace may use across the fleet.
    Rate,
    /// Holds the role that an engine should play.
    Role,
    /// Holds the name under which a plain service is called.
    Service,
    /// Holds whether an upstream takes new work.
    Standing,
    /// Holds how far hit rate goes before first-token time, from 0 to 100.
    Trade,
    /// Holds the type of an upstream.
    Type,
    /// Holds the weights version that a model should serve.
    Version,
    /// Holds a relative weight; the default is 100.
    Weight,
}

/// Describes what a cell of a column may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueType {
    /// Accepts an IP address and a port.
    Address,
    /// Accepts one of the given words.
    Choice(&'static [&'static str]),
    /// Accepts `true` or `false`.
    Flag,
    /// Accepts 64 hexadecimal digits.
    Hash,
    /// Accepts a name of 1 to 64 letters, digits, dots, dashes and underscores.
    Name,
    /// Accepts a whole number within bounds, both included.
    Number {
        /// Gives the least number.
        min: u64,
        /// Gives the greatest number.
        max: u64,
    },
}

impl Column {
    /// Returns what a cell of this column may hold.
    pub fn value_type(self) -> ValueType {
        const LIMIT: ValueType = ValueType::Number {
            min: 0,
            max: 1_000_000,
        };
        const PERCENT: ValueType = ValueType::Number { min: 0, max: 100 };
        match self {
            Self::Address => ValueType::Address,
            Self::ChecksFence | Self::Idempotent => ValueType::Flag,
            Self::BlockBytes => ValueType::Number {
                min: 16,
                max: 16 << 20,
            },
            Self::CallerLimit | Self::Limit | Self::MinimumServing => LIMIT,
            Self::Deadline => ValueType::Number {
                min: 1,
                max: 86_400_000,
            },
            Self::Floor | Self::Trade => PERCENT,
            Self::KeyHash => ValueType::Hash,
            Self::LoadLimit => ValueType::Number { min: 1, max: 16 },
            Self::Adapter | Self::Domain | Self::Model | Self::Service | Self::Version => {
                ValueType::Name
            }
            Self::Rank => ValueType::Choice(&["background", "urgent"]),
            Self::Rate => ValueType::Number {
                min: 0,
                max: 1_000_000_000,
            },
            Self::Role => ValueType::Choice(&["decode", "mixed", "prefill"]),
            Self::Standing => ValueType::Choice(&["leaving", "off", "serving"]),
            Self::Type => ValueType::Choice(&["engine", "kv_store", "service", "weight_store"]),
            Self::Weight => ValueType::Number {
                min: 0,
                max: 10_000,
            },
        }
    }
}
