//! The columns of the table and the values that they accept.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// A column of one or more sheets.
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
    /// The adapter that a model serves with.
    Adapter,
    /// The IP address and port of an upstream.
    Address,
    /// Bytes of prompt in one cached block of a model.
    BlockBytes,
    /// Most requests that one caller may have in flight across the fleet.
    CallerLimit,
    /// Whether an upstream refuses orders that carry an old fencing token.
    ChecksFence,
    /// The default deadline of a kind of work, in milliseconds.
    Deadline,
    /// The failure domain of an upstream.
    Domain,
    /// Share of the capacity that a kind of work keeps under overload, in percent.
    Floor,
    /// Whether a kind of work may be run again.
    Idempotent,
    /// The BLAKE3 hash of a workspace's bearer key, as 64 hexadecimal digits.
    KeyHash,
    /// Most requests that may be in flight across the fleet.
    Limit,
    /// Most upstreams that may load weights of a model at once.
    LoadLimit,
    /// Fewest upstreams that must go on serving a model during a roll-out.
    MinimumServing,
    /// The model that an upstream serves.
    Model,
    /// The rank of a kind of work.
    Rank,
    /// Tokens per second that a workspace may use across the fleet.
    Rate,
    /// The role of an engine: prefill, decode or both.
    Role,
    /// Name under which a plain service is called.
    Service,
    /// Whether an upstream takes new work.
    Standing,
    /// Trade-off between time to first token (0) and cache hit rate (100).
    Trade,
    /// The type of an upstream.
    Type,
    /// The weights version that a model should serve.
    Version,
    /// A relative weight; the default is 100.
    Weight,
}

/// Type of the values that a column accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueType {
    /// An IP address and a port.
    Address,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Flag,
    /// 64 hexadecimal digits.
    Hash,
    /// A name of 1 to 64 letters, digits, dots, dashes and underscores.
    Name,
    /// A whole number within bounds, both included.
    Number {
        /// The least number.
        min: u64,
        /// The greatest number.
        max: u64,
    },
}

impl Column {
    /// Returns the type of the values that this column accepts.
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
