//! What an engine serves, and what it is told to change.

/// Describes what an engine serves, as it said itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// Names the adapter, if any.
    pub adapter: Option<String>,
    /// Names the version being loaded, if any.
    pub loading: Option<String>,
    /// Names the model.
    pub model: String,
    /// Names the role.
    pub role: String,
    /// Names the weights version.
    pub version: String,
}

/// Tells an engine what to change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Loads weights and empties the cache.
    Load {
        /// Names the adapter, if any.
        adapter: Option<String>,
        /// Names the model.
        model: String,
        /// Names the weights version.
        version: String,
    },
    /// Changes the role.
    Role(String),
}
